/// Reads a batch: records of 48 bytes, each for the instance named by the last address record.
#include <algorithm>

#include "simulator_adapter/big_endian.h"
#include "simulator_adapter/codec.h"

namespace keelflow::simulator_adapter {
namespace {

using scheduler::AttemptFinished;
using scheduler::AttemptResult;
using scheduler::AttemptStarted;
using scheduler::ClientDisconnected;
using scheduler::EndpointEntry;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::HealthCheckResult;
using scheduler::ListScope;
using scheduler::LoadReport;
using scheduler::PeerMessage;
using scheduler::RequestArrived;
using scheduler::ResponseStreamStarted;
using scheduler::TimerFired;

// Record codes, stored in the first byte of each record.
constexpr std::uint8_t kHealthCheckResult = 10;
constexpr std::uint8_t kPeerMessage = 20;
constexpr std::uint8_t kProgress = 30;
constexpr std::uint8_t kStop = 40;
constexpr std::uint8_t kEndpointList = 50;
constexpr std::uint8_t kAddress = 60;
constexpr std::uint8_t kRequestArrived = 70;
constexpr std::uint8_t kClientDisconnected = 80;
constexpr std::uint8_t kSpawn = 90;
constexpr std::uint8_t kStreamStarted = 100;
constexpr std::uint8_t kTimer = 110;
constexpr std::uint8_t kAttemptFinished = 120;

constexpr std::uint32_t kIndexMask = 0x7fffffff;  // tenants and peers have a sign bit on the wire
constexpr unsigned kHasHint = 1;                  // attribute bits of a request
constexpr unsigned kIsClientRetry = 2;
constexpr std::uint8_t kProgressStarted = 1;
constexpr int kReportValues = 4;

LoadReport read_report(std::string_view record, std::size_t offset) {
  LoadReport report;
  report.count = std::min<int>(get_u8(record, offset), kReportValues);
  for (std::size_t i = 0; i < kReportValues; ++i)
    report.values[i] = get_f32(record, offset + 1 + sizeof(float) * i);
  return report;
}

AttemptResult to_result(unsigned code) {
  switch (code) {
    case 0:
      return AttemptResult::ok;
    case 1:
      return AttemptResult::cancelled;
    case 4:
      return AttemptResult::timeout;
    case 8:
      return AttemptResult::rejected;
    case 9:
      return AttemptResult::withheld;
    case 10:
      return AttemptResult::reset;
    case 14:
      return AttemptResult::connect_failed;
    default:
      return AttemptResult::error;  // code 13 and unknown codes: the attempt may have run
  }
}

RequestArrived read_request(std::string_view record) {
  RequestArrived arrival;
  unsigned attributes = get_u8(record, 42);
  arrival.request = get<std::uint32_t>(record, 1);
  arrival.class_index = get_u8(record, 5);
  arrival.tenant = static_cast<int>(get<std::uint32_t>(record, 6) & kIndexMask);
  arrival.key = get<std::uint64_t>(record, 10);
  arrival.client_timeout_ms = get_f64(record, 18);
  arrival.hint = (attributes & kHasHint) != 0 ? get_f64(record, 26) : 0;
  arrival.slots = get_f32(record, 34);
  arrival.memory = get_f32(record, 38);
  arrival.is_client_retry = (attributes & kIsClientRetry) != 0;
  return arrival;
}

AttemptFinished read_attempt_finished(std::string_view record) {
  AttemptFinished finished;
  finished.request = get<std::uint32_t>(record, 1);
  finished.attempt = get_u8(record, 5);
  finished.result = to_result(get<std::uint16_t>(record, 10));
  finished.elapsed_ms = get_f64(record, 12);
  finished.request_finished = get_u8(record, 20) != 0;
  finished.report = read_report(record, 25);
  return finished;
}

HealthCheckResult read_health_check(std::string_view record) {
  return {get<std::uint32_t>(record, 1), get<std::uint16_t>(record, 5) == 0, get_f64(record, 7),
          read_report(record, 15)};
}

class BatchReader {
 public:
  BatchReader(const BatchHeader& header, std::string_view body)
      : count_(header.records), body_(body) {
    if (static_cast<std::uint64_t>(count_) * kEventSize > body.size())
      throw WireError("batch header: " + std::to_string(count_) + " records do not fit in " +
                      std::to_string(body.size()) + " bytes");
    tail_ = body_.substr(count_ * kEventSize);
  }

  std::vector<AddressedRecord> read() {
    std::vector<AddressedRecord> records;
    records.reserve(count_);
    bool is_addressed = false;
    std::uint32_t instance = 0;
    for (record_number_ = 0; record_number_ < count_; ++record_number_) {
      record_ = body_.substr(record_number_ * kEventSize, kEventSize);
      if (get_u8(record_, 0) == kAddress) {
        instance = get<std::uint32_t>(record_, 1);
        is_addressed = true;
        continue;
      }
      if (!is_addressed)
        throw_error("event before any address record");
      records.push_back({instance, read_record()});
    }
    return records;
  }

 private:
  [[noreturn]] void throw_error(const std::string& what) const {
    throw WireError("batch record " + std::to_string(record_number_) + ": " + what);
  }

  // Returns the part of the tail (the variable-length data behind all records) given by the offset
  // and the count at `field_offset` of the record.
  std::string_view tail(std::size_t field_offset, std::size_t unit) const {
    std::uint64_t offset = get<std::uint32_t>(record_, field_offset);
    std::uint64_t bytes =
        static_cast<std::uint64_t>(get<std::uint32_t>(record_, field_offset + 4)) * unit;
    if (offset > tail_.size() || bytes > tail_.size() - offset)
      throw_error("tail (variable-length part of the record) out of bounds");
    return tail_.substr(offset, bytes);
  }

  Record read_record() const {
    auto subject = get<std::uint32_t>(record_, 1);
    switch (std::uint8_t code = get_u8(record_, 0)) {
      case kSpawn:
        return SpawnInstance{get<std::uint64_t>(record_, 1), std::string(tail(9, 1))};
      case kStop:
        return StopInstance{};
      case kEndpointList:
        return Event(read_list());
      case kRequestArrived:
        return Event(read_request(record_));
      case kStreamStarted:
        return Event(ResponseStreamStarted{subject});
      case kProgress:
        if (get_u8(record_, 10) != kProgressStarted)
          return Ignored{};
        return Event(AttemptStarted{subject, get_u8(record_, 5)});
      case kClientDisconnected:
        return Event(ClientDisconnected{subject});
      case kTimer:
        return Event(TimerFired{get<std::uint64_t>(record_, 1)});
      case kPeerMessage:
        return Event(PeerMessage{static_cast<int>(subject & kIndexMask), std::string(tail(5, 1))});
      case kHealthCheckResult:
        return Event(read_health_check(record_));
      case kAttemptFinished:
        return Event(read_attempt_finished(record_));
      default:
        return Unknown{code};
    }
  }

  ListScope read_scope() const {
    switch (int scope = get_u8(record_, 1)) {
      case 0:
        return ListScope::cached;
      case 1:
        return ListScope::failed;
      case 2:
        return ListScope::delta;
      case 3:
        return ListScope::full;
      default:
        throw_error("unknown list scope " + std::to_string(scope));
    }
  }

  EndpointState to_state(int phase) const {
    switch (phase) {
      case 0:
        return EndpointState::gone;
      case 1:
        return EndpointState::ready;
      case 2:
        return EndpointState::draining;
      default:
        throw_error("unknown endpoint state " + std::to_string(phase));
    }
  }

  EndpointEntry read_entry(std::string_view bytes) const {
    EndpointEntry entry;
    entry.endpoint = get<std::uint32_t>(bytes, 0);
    entry.zone = get_u8(bytes, 4);
    entry.kind = get_u8(bytes, 5);
    entry.cell = get<std::uint16_t>(bytes, 6);
    entry.state = to_state(get_u8(bytes, 8));
    entry.nominal_capacity = get_f32(bytes, 9);
    entry.started_at = get_f64(bytes, 13);
    return entry;
  }

  EndpointList read_list() const {
    EndpointList list;
    list.scope = read_scope();
    std::string_view entries = tail(10, kEntrySize);
    for (std::size_t i = 0; i < entries.size(); i += kEntrySize)
      list.entries.push_back(read_entry(entries.substr(i, kEntrySize)));
    return list;
  }

  std::uint32_t count_;
  std::string_view body_;
  std::string_view tail_;
  std::string_view record_;  // the record being read
  std::size_t record_number_ = 0;
};

}  // namespace

BatchHeader read_header(std::string_view bytes) {
  return {get<std::uint32_t>(bytes, 0), get_f64(bytes, 4), get<std::uint32_t>(bytes, 12)};
}

std::vector<AddressedRecord> read_body(const BatchHeader& header, std::string_view body) {
  return BatchReader(header, body).read();
}

}  // namespace keelflow::simulator_adapter
