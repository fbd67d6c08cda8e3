/// Writes a reply: records of 24 bytes, followed by a tail with the variable-size fields.
#include "simulator_adapter/big_endian.h"
#include "simulator_adapter/codec.h"

namespace keelflow::simulator_adapter {
namespace {

using scheduler::CancelAttempt;
using scheduler::FailRequest;
using scheduler::PollEndpointList;
using scheduler::RejectRequest;
using scheduler::SendAttempt;
using scheduler::SendHealthCheck;
using scheduler::SendPeerMessage;
using scheduler::SetTimer;

// Record codes, stored in the first byte of each record.
constexpr std::uint8_t kSendAttempt = 10;
constexpr std::uint8_t kRejectRequest = 20;
constexpr std::uint8_t kFailRequest = 30;
constexpr std::uint8_t kCancelAttempt = 40;
constexpr std::uint8_t kSetTimer = 50;
constexpr std::uint8_t kHealthCheck = 60;
constexpr std::uint8_t kPeerMessage = 80;
constexpr std::uint8_t kInstanceFailed = 100;
constexpr std::uint8_t kPollList = 110;
constexpr std::uint8_t kInstance = 130;

}  // namespace

/// Writes one action; has an overload for each type of action.
struct ReplyWriter::ActionWriter {
  ReplyWriter& writer;

  void operator()(const SendAttempt& action) const {
    char* record = writer.append_record(kSendAttempt);
    put(record + 1, action.request);
    put(record + 5, action.endpoint);
    put_f64(record + 9, action.timeout_ms);
  }
  void operator()(const RejectRequest& action) const {
    char* record = writer.append_record(kRejectRequest);
    put(record + 1, action.request);
    put_f64(record + 5, action.retry_after_ms);
  }
  void operator()(const FailRequest& action) const {
    put(writer.append_record(kFailRequest) + 1, action.request);
  }
  void operator()(const CancelAttempt& action) const {
    char* record = writer.append_record(kCancelAttempt);
    put(record + 1, action.request);
    record[5] = static_cast<char>(action.attempt);
  }
  void operator()(const SetTimer& action) const {
    char* record = writer.append_record(kSetTimer);
    put(record + 1, action.id);
    put_f64(record + 9, action.when);
  }
  void operator()(const SendHealthCheck& action) const {
    put(writer.append_record(kHealthCheck) + 1, action.endpoint);
  }
  void operator()(const PollEndpointList&) const { writer.append_record(kPollList)[1] = 1; }
  void operator()(const SendPeerMessage& action) const {
    char* record = writer.append_record(kPeerMessage);
    put(record + 1, static_cast<std::uint16_t>(action.peer));
    writer.append_tail(record + 3, action.bytes);
  }
};

char* ReplyWriter::append_record(std::uint8_t code) {
  ++count_;
  records_.append(kActionSize, '\0');
  char* record = records_.data() + records_.size() - kActionSize;
  *record = static_cast<char>(code);
  return record;
}

void ReplyWriter::append_tail(char* field, std::string_view text) {
  put(field, static_cast<std::uint32_t>(tail_.size()));
  put(field + 4, static_cast<std::uint32_t>(text.size()));
  tail_ += text;
}

void ReplyWriter::write_instance_failure(std::string_view reason) {
  append_tail(append_record(kInstanceFailed) + 1, reason);
}

void ReplyWriter::instance(std::uint32_t id) {
  put(append_record(kInstance) + 1, id);
}

void ReplyWriter::action(const Action& action) {
  std::visit(ActionWriter{*this}, action);
}

std::string ReplyWriter::finish() {
  std::string frame(kReplyHeader, '\0');
  put(frame.data(), static_cast<std::uint32_t>(records_.size() + tail_.size()));
  put(frame.data() + 4, count_);
  frame += records_;
  frame += tail_;
  records_.clear();
  tail_.clear();
  count_ = 0;
  return frame;
}

}  // namespace keelflow::simulator_adapter
