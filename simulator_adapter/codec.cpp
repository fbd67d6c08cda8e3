#include "simulator_adapter/codec.h"

#include <bit>
#include <cstring>

namespace keelflow::simulator_adapter {
namespace {

using scheduler::AttemptFinished;
using scheduler::AttemptResult;
using scheduler::AttemptStarted;
using scheduler::CancelAttempt;
using scheduler::ClientDisconnected;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::FailRequest;
using scheduler::HealthCheckResult;
using scheduler::ListScope;
using scheduler::LoadReport;
using scheduler::PeerMessage;
using scheduler::PollEndpointList;
using scheduler::RejectRequest;
using scheduler::RequestArrived;
using scheduler::ResponseStreamStarted;
using scheduler::SendAttempt;
using scheduler::SendHealthCheck;
using scheduler::SendPeerMessage;
using scheduler::SetTimer;
using scheduler::TimerFired;

template <typename T>
T get(std::string_view b, std::size_t at) {
  T v = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    v = static_cast<T>((v << 8) | static_cast<unsigned char>(b[at + i]));
  return v;
}
std::uint8_t get8(std::string_view b, std::size_t at) {
  return static_cast<std::uint8_t>(b[at]);
}
double get_f64(std::string_view b, std::size_t at) {
  return std::bit_cast<double>(get<std::uint64_t>(b, at));
}
float get_f32(std::string_view b, std::size_t at) {
  return std::bit_cast<float>(get<std::uint32_t>(b, at));
}

template <typename T>
void put(char* to, T v) {
  for (std::size_t i = sizeof(T); i-- > 0; v = static_cast<T>(v >> 8))
    to[i] = static_cast<char>(v & 0xff);
}
void put_f64(char* to, double v) {
  put(to, std::bit_cast<std::uint64_t>(v));
}

LoadReport read_report(std::string_view r, std::size_t at) {
  LoadReport report;
  report.count = std::min<int>(get8(r, at), 4);
  for (std::size_t i = 0; i < 4; ++i)
    report.values[i] = get_f32(r, at + 1 + 4 * i);
  return report;
}

AttemptResult read_result(unsigned code) {
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
      return AttemptResult::error;  // 13, and any code not known: it may have run
  }
}

class Body {
 public:
  Body(const Header& header, std::string_view body) : count_(header.records), body_(body) {
    if (static_cast<std::uint64_t>(count_) * kEventSize > body.size())
      throw WireError("batch header: " + std::to_string(count_) + " records do not fit in " +
                      std::to_string(body.size()) + " bytes");
    tail_ = body_.substr(count_ * kEventSize);
  }

  std::vector<Addressed> read() {
    std::vector<Addressed> all;
    all.reserve(count_);
    bool addressed = false;
    std::uint32_t instance = 0;
    for (at_ = 0; at_ < count_; ++at_) {
      r_ = body_.substr(at_ * kEventSize, kEventSize);
      if (get8(r_, 0) == 60) {
        instance = get<std::uint32_t>(r_, 1);
        addressed = true;
        continue;
      }
      if (!addressed)
        fault("event before any 'about'");
      all.push_back({instance, record()});
    }
    return all;
  }

 private:
  [[noreturn]] void fault(const std::string& what) const {
    throw WireError("batch record " + std::to_string(at_) + ": " + what);
  }

  std::string_view tail(std::size_t at, std::size_t unit) const {
    std::uint64_t offset = get<std::uint32_t>(r_, at);
    std::uint64_t bytes = static_cast<std::uint64_t>(get<std::uint32_t>(r_, at + 4)) * unit;
    if (offset > tail_.size() || bytes > tail_.size() - offset)
      fault("tail field out of bounds");
    return tail_.substr(offset, bytes);
  }

  Record record() const {
    auto id = [&](std::size_t at) {
      return get<std::uint32_t>(r_, at);
    };
    switch (int code = get8(r_, 0)) {
      case 90:
        return Spawn{get<std::uint64_t>(r_, 1), std::string(tail(9, 1))};
      case 40:
        return Stop{};
      case 50:
        return Event(topology());
      case 70: {
        RequestArrived a;
        unsigned attrs = get8(r_, 42);
        a.request = id(1);
        a.class_index = get8(r_, 5);
        a.tenant = static_cast<int>(id(6) & 0x7fffffffu);
        a.key = get<std::uint64_t>(r_, 10);
        a.client_timeout_ms = get_f64(r_, 18);
        a.hint = (attrs & 1) ? get_f64(r_, 26) : 0;
        a.slots = get_f32(r_, 34);
        a.memory = get_f32(r_, 38);
        a.is_client_retry = attrs & 2;
        return Event(a);
      }
      case 100:
        return Event(ResponseStreamStarted{id(1)});
      case 30: {
        if (get8(r_, 10) != 1)
          return Ignored{};
        return Event(AttemptStarted{id(1), get8(r_, 5)});
      }
      case 80:
        return Event(ClientDisconnected{id(1)});
      case 110:
        return Event(TimerFired{get<std::uint64_t>(r_, 1)});
      case 20:
        return Event(PeerMessage{static_cast<int>(id(1) & 0x7fffffffu), std::string(tail(5, 1))});
      case 10:
        return Event(HealthCheckResult{id(1), get<std::uint16_t>(r_, 5) == 0, get_f64(r_, 7),
                                       read_report(r_, 15)});
      case 120: {
        AttemptFinished o;
        o.request = id(1);
        o.attempt = get8(r_, 5);
        o.result = read_result(get<std::uint16_t>(r_, 10));
        o.elapsed_ms = get_f64(r_, 12);
        o.request_finished = get8(r_, 20) != 0;
        o.report = read_report(r_, 25);
        return Event(o);
      }
      default:
        return Unknown{code};
    }
  }

  EndpointList topology() const {
    EndpointList list;
    switch (int scope = get8(r_, 1)) {
      case 0:
        list.scope = ListScope::cached;
        break;
      case 1:
        list.scope = ListScope::failed;
        break;
      case 2:
        list.scope = ListScope::delta;
        break;
      case 3:
        list.scope = ListScope::full;
        break;
      default:
        fault("unknown list scope " + std::to_string(scope));
    }
    std::string_view entries = tail(10, kEntrySize);
    for (std::size_t i = 0; i < entries.size(); i += kEntrySize) {
      std::string_view e = entries.substr(i, kEntrySize);
      int phase = get8(e, 8);
      if (phase > 2)
        fault("unknown worker phase " + std::to_string(phase));
      list.entries.push_back({get<std::uint32_t>(e, 0), get8(e, 4), get8(e, 5),
                              get<std::uint16_t>(e, 6),
                              phase == 1   ? EndpointState::ready
                              : phase == 2 ? EndpointState::draining
                                           : EndpointState::gone,
                              get_f32(e, 9), get_f64(e, 13)});
    }
    return list;
  }

  std::uint32_t count_;
  std::string_view body_, tail_, r_;
  std::size_t at_ = 0;
};

}  // namespace

Header read_header(std::string_view b) {
  return {get<std::uint32_t>(b, 0), get_f64(b, 4), get<std::uint32_t>(b, 12)};
}

std::vector<Addressed> read_body(const Header& header, std::string_view body) {
  return Body(header, body).read();
}

char* ReplyWriter::record(int code) {
  ++count_;
  records_.append(kActionSize, '\0');
  char* at = records_.data() + records_.size() - kActionSize;
  *at = static_cast<char>(code);
  return at;
}

void ReplyWriter::give_in(std::string_view text) {
  char* r = record(100);
  put(r + 1, static_cast<std::uint32_t>(tail_.size()));
  put(r + 5, static_cast<std::uint32_t>(text.size()));
  tail_ += text;
}

void ReplyWriter::instance(std::uint32_t id) {
  put(record(130) + 1, id);
}

void ReplyWriter::action(const Action& action) {
  struct Visitor {
    ReplyWriter& w;
    void operator()(const SendAttempt& a) const {
      char* r = w.record(10);
      put(r + 1, a.request);
      put(r + 5, a.endpoint);
      put_f64(r + 9, a.timeout_ms);
    }
    void operator()(const RejectRequest& a) const {
      char* r = w.record(20);
      put(r + 1, a.request);
      put_f64(r + 5, a.retry_after_ms);
    }
    void operator()(const FailRequest& a) const { put(w.record(30) + 1, a.request); }
    void operator()(const CancelAttempt& a) const {
      char* r = w.record(40);
      put(r + 1, a.request);
      r[5] = static_cast<char>(a.attempt);
    }
    void operator()(const SetTimer& a) const {
      char* r = w.record(50);
      put(r + 1, a.id);
      put_f64(r + 9, a.when);
    }
    void operator()(const SendHealthCheck& a) const { put(w.record(60) + 1, a.endpoint); }
    void operator()(const PollEndpointList&) const { w.record(110)[1] = 1; }
    void operator()(const SendPeerMessage& a) const {
      char* r = w.record(80);
      put(r + 1, static_cast<std::uint16_t>(a.peer));
      put(r + 3, static_cast<std::uint32_t>(w.tail_.size()));
      put(r + 7, static_cast<std::uint32_t>(a.bytes.size()));
      w.tail_ += a.bytes;
    }
  };
  std::visit(Visitor{*this}, action);
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
