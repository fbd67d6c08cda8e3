// Watches what this process really does: bytes written to endpoints, lists and refusals that came
// from discovery, requests read, answers given, connections closed. It keeps records of its own,
// shares no code with the operation guard, decides nothing, and counts what breaks a rule. In test
// builds a violation ends the process with its last events.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow::invariants {

enum class Rule : std::uint8_t {
  drain,  // nothing goes to an endpoint that the list received last did not name ready, once the
          // grace is over
  stale_list,   // nothing is sent by a list that nothing has confirmed for longer than a change may
                // take to count
  one_attempt,  // no attempt begins at an endpoint that still has one of the same request, nor
                // beside any where that is barred
  repeat,       // unsafe work is written to its last byte once
  client_gone,  // no attempt begins for a client that left more than a moment ago
  deadline,     // an endpoint is told no more time than the client has left
  answer,       // a request that was read gets one answer before its connection is closed
};
constexpr std::size_t kRules = 7;
std::string_view to_string(Rule rule);

struct Terms {
  Duration drain_grace{};
  bool parallel_attempts = false;
};

class Monitor {
 public:
  // `violated`: called for each violation.
  using Listener = std::function<void(Rule rule, const std::string& what)>;
  Monitor(const Terms& terms, Listener violated) : terms_(terms), violated_(std::move(violated)) {}

  void change(const Terms& terms) { terms_ = terms; }

  // Discovery: one whole JSON object, as it came; any further word on a call that has brought one;
  // a call that was refused or never came up.
  void list_received(std::string_view object, TimePoint now);
  void heartbeat_received(TimePoint now);
  void discovery_unavailable(TimePoint now);

  // Clients. A request is known by its id; `patience` as the client stated it.
  void request_read(const std::string& id, Duration patience, TimePoint now);
  void client_left(const std::string& id, TimePoint now);
  void request_over(const std::string& id);  // its final answer is written, or its client has left
  // Of a connection that has a request which was read: an answer begins; the connection is closed
  // by this process.
  void connection_closed(bool request_unanswered, bool client_left, TimePoint now);

  // Endpoints. `bytes`: what is written first of an attempt, with its head.
  void attempt_written(const std::string& host, std::string_view bytes, bool whole,
                       scheduler::Idempotency idempotency, TimePoint now);
  void last_byte_written(const std::string& id, scheduler::Idempotency idempotency, TimePoint now);
  void attempt_over(const std::string& id, const std::string& host, bool never_ran);

  std::uint64_t violations() const { return violations_; }
  std::uint64_t violations(Rule rule) const { return by_rule_[static_cast<std::size_t>(rule)]; }
  std::size_t records() const { return requests_.size(); }  // of requests; for tests
  std::string last_events() const;

 private:
  struct Request {
    std::optional<TimePoint> client_left;
    TimePoint deadline;
    bool over = false;
    int whole_writes = 0;  // attempts that were written to their last byte and may have run
    std::multimap<std::string, bool> out;  // by host: whether its last byte was written
  };

  void note(std::string event);
  void violate(Rule rule, const std::string& what);
  void check_list(const std::string& id, const std::string& host, TimePoint now);
  void count_whole(Request& request, const std::string& id, scheduler::Idempotency idempotency);
  void forget_if_over(const std::string& id);

  Terms terms_;
  Listener violated_;
  std::unordered_map<std::string, std::optional<TimePoint>>
      not_ready_since_;  // by host; empty: it is ready
  std::uint64_t version_ = 0;
  std::optional<TimePoint> confirmed_;
  std::unordered_map<std::string, Request> requests_;
  std::uint64_t violations_ = 0;
  std::array<std::uint64_t, kRules> by_rule_{};
  std::deque<std::string> events_;  // the latest
};

}  // namespace keelflow::invariants
