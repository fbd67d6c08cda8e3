/// Follows every attempt from its start to its end: its state, what its end means for the
/// scheduler, and what the attempts of a request allow the next one.
#pragma once

#include <cstddef>

#include "core/counters.h"
#include "core/endpoint_port.h"
#include "core/request_table.h"
#include "core/timer_port.h"
#include "operation_guard/operation_guard.h"

namespace keelflow {

/// Keeps the attempts of the requests in a RequestTable and counts them by result. All references
/// that it is given must outlive it. It calls no port but the timers.
class AttemptTracker {
 public:
  AttemptTracker(RequestTable& requests, const scheduler::Settings& settings, TimerPort& timers,
                 Counters& counters)
      : requests_(requests), settings_(settings), timers_(timers), counters_(counters) {}

  /// Adds an attempt to the request, as its last one.
  void add(Request& request, const Attempt& attempt);
  /// The attempt, if it has not ended; otherwise null.
  Attempt* find_open(AttemptRef ref);
  /// The endpoint reports that it runs. False: that was known, or it has ended.
  bool on_started(AttemptRef ref);
  /// It is to be cancelled; `has_timed_out`: because its time limit has passed. False: it is being
  /// cancelled already, or has ended.
  bool on_cancel(AttemptRef ref, bool has_timed_out);
  /// It has ended; it must be open. Returns the event for the scheduler, without
  /// `request_finished`.
  scheduler::AttemptFinished on_ended(AttemptRef ref, const AttemptEnd& end);

  /// Attempts of all requests that have not ended.
  std::size_t open_attempts() const { return open_attempts_; }
  /// Whether status callbacks of an earlier attempt of the request at that endpoint may still come.
  static bool may_receive_callbacks(const Request& request, EndpointId endpoint);
  /// Until when the last byte of one more attempt may be written.
  TimePoint write_deadline(const Request& request) const;
  /// Whether one more attempt of the request may go to that endpoint.
  operation_guard::Verdict may_repeat(const Request& request, EndpointId endpoint) const;

 private:
  scheduler::AttemptResult result_of(const Attempt& attempt, const AttemptEnd& end) const;
  void count(scheduler::AttemptResult result);

  RequestTable& requests_;
  const scheduler::Settings& settings_;
  TimerPort& timers_;
  Counters& counters_;
  std::size_t open_attempts_ = 0;
};

}  // namespace keelflow
