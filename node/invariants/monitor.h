/// \file
/// Checks the observable operations of this process: bytes written to endpoints, lists and
/// rejections received from discovery, requests read, responses written, connections closed. The
/// monitor keeps its own records, shares no code with the operation guard, makes no decisions and
/// counts violations. In test builds a violation prints the last events and ends the process.
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
#include <utility>

#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow::invariants {

/// The rules that are checked.
enum class Rule : std::uint8_t {
  drain,        ///< after the grace period nothing is sent to an endpoint that is not ready in
                ///< the latest list
  stale_list,   ///< nothing is sent by a list that was last confirmed longer ago than the time
                ///< after which a change counts as received
  one_attempt,  ///< no attempt starts at an endpoint with an attempt of the same request in flight,
                ///< nor while any other is in flight if hedging is not permitted
  repeat,       ///< a non-idempotent request is completely written at most once
  client_gone,  ///< no attempt starts for a client that disconnected more than 100 ms ago
  deadline,     ///< an endpoint is given no more time than the client has left
  answer,       ///< a request that was read gets one response before its connection is closed
};
constexpr std::size_t kRuleCount = static_cast<std::size_t>(Rule::answer) + 1;
/// Returns the rule's name in the log and in /status.
std::string_view to_string(Rule rule);

/// The settings that the rules depend on.
struct Terms {
  Duration drain_grace{};          ///< sends are still permitted this long after a list change
  bool parallel_attempts = false;  ///< hedged requests are permitted
};

/// Receives an event for each operation of the process and calls the listener for each violation.
/// Events must be passed in the order of `now`. Reports no errors; not thread-safe.
class Monitor {
 public:
  /// Called for each violation, during the call that reports the event. `description` usually names
  /// the request and the host.
  using Listener = std::function<void(Rule rule, const std::string& description)>;
  Monitor(const Terms& terms, Listener on_violation)
      : terms_(terms), on_violation_(std::move(on_violation)) {}

  /// Takes effect with the next event.
  void change(const Terms& terms) { terms_ = terms; }

  /// A complete JSON object was received from discovery.
  void list_received(std::string_view object, TimePoint now);
  /// More bytes were received on a discovery call that had already delivered an object.
  void heartbeat_received(TimePoint now);
  /// Discovery accepted no connection. A rejected call is no such event: an overloaded discovery
  /// rejects calls while it has changes to tell.
  void discovery_unavailable(TimePoint now);

  /// A request with the client's `id` was read; `timeout` is the client's.
  void request_read(const std::string& id, Duration timeout, TimePoint now);
  void client_left(const std::string& id, TimePoint now);
  /// Its final response was written, or its client has disconnected.
  void request_completed(const std::string& id);
  /// This process closed a client's connection. `has_unanswered_request`: a request on it was
  /// read and has no response; `client_left`: the client had closed its side before.
  void connection_closed(bool has_unanswered_request, bool client_left, TimePoint now);

  /// The first bytes of an attempt were written to an endpoint. `bytes` holds the head and the part
  /// of the body written so far. `is_complete` is true if they contain the last byte.
  void attempt_written(const std::string& host, std::string_view bytes, bool is_complete,
                       scheduler::Idempotency idempotency, TimePoint now);
  void last_byte_written(const std::string& id, scheduler::Idempotency idempotency, TimePoint now);
  /// The endpoint has shown that it has the job: by the head of a 202, or by a callback.
  void attempt_accepted(const std::string& id, const std::string& host);
  /// The endpoint has shown that the job is over there: by a callback, or by the response to the
  /// DELETE.
  void attempt_released(const std::string& id, const std::string& host);
  /// This process takes the attempt as ended. `never_ran`: it is certain that the endpoint did not
  /// run the attempt.
  void attempt_ended(const std::string& id, const std::string& host, bool never_ran);

  std::uint64_t violations() const { return violations_; }
  std::uint64_t violations(Rule rule) const { return by_rule_[static_cast<std::size_t>(rule)]; }
  std::size_t records() const {
    return requests_.size();
  }  ///< number of request records; for tests
  /// Returns the latest events, oldest first, one per line.
  std::string last_events() const;

 private:
  struct Attempt {
    bool is_complete = false;  // the last byte was written
    bool is_accepted = false;  // and the endpoint has not shown that the job is over
    bool has_ended = false;    // for this process
  };
  struct Request {
    std::optional<TimePoint> client_left;
    TimePoint deadline;
    bool has_ended = false;
    int complete_writes = 0;  // attempts that were completely written and may have run
    std::multimap<std::string, Attempt> in_flight;  // by host; accepted ones until released
  };

  void record(std::string event);
  void violate(Rule rule, const std::string& description);
  void check_list(const std::string& id, const std::string& host, TimePoint now);
  void check_request(const Request& request, const std::string& id, const std::string& host,
                     TimePoint now);
  void check_deadline(const Request& request, const std::string& id, const std::string& host,
                      std::string_view bytes, TimePoint now);
  void count_complete_write(Request& request, const std::string& id,
                            scheduler::Idempotency idempotency);
  Attempt* find_attempt(const std::string& id, const std::string& host);
  void erase_if_ended(const std::string& id);

  Terms terms_;
  Listener on_violation_;
  // By host: the time since which it is not ready, or nothing if it is ready.
  std::unordered_map<std::string, std::optional<TimePoint>> not_ready_since_;
  std::uint64_t version_ = 0;
  std::optional<TimePoint> confirmed_;  // when discovery last confirmed the list or was unavailable
  std::unordered_map<std::string, Request> requests_;
  std::uint64_t violations_ = 0;
  std::array<std::uint64_t, kRuleCount> by_rule_{};
  std::deque<std::string> events_;  // the latest
};

}  // namespace keelflow::invariants
