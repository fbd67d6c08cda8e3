/// Tracks the state of every attempt, translates its end into a scheduler event, and determines
/// whether earlier attempts of a request permit another one.
#pragma once

#include <cstddef>

#include "core/counters.h"
#include "core/endpoint_port.h"
#include "core/request_table.h"
#include "core/timer_port.h"
#include "operation_guard/operation_guard.h"

namespace keelflow {

/// Updates the attempts stored in a RequestTable and counts them by result. The referenced objects
/// must outlive the tracker. TimerPort is the only port that it calls.
class AttemptTracker {
 public:
  AttemptTracker(RequestTable& requests, const scheduler::Settings& settings, TimerPort& timers,
                 Counters& counters)
      : requests_(requests), settings_(settings), timers_(timers), counters_(counters) {}

  /// Appends an attempt to the request.
  void add(Request& request, const Attempt& attempt);
  /// Returns the attempt, or null if it has ended or does not exist.
  Attempt* find_open(AttemptRef ref);
  /// Records that the endpoint reported the attempt's start. Returns false if the start was already
  /// known or the attempt has ended.
  bool on_started(AttemptRef ref);
  /// Marks the attempt as being cancelled. `has_timed_out` is true if its time limit has passed.
  /// Returns false if it is already being cancelled or has ended.
  bool on_cancel(AttemptRef ref, bool has_timed_out);
  /// Records the end of an attempt, which must be open. Returns the event for the scheduler with
  /// `request_finished` left unset.
  scheduler::AttemptFinished on_ended(AttemptRef ref, const AttemptEnd& end);

  /// Number of attempts, over all requests, that have not ended.
  std::size_t open_attempts() const { return open_attempts_; }
  /// Whether status callbacks of an earlier attempt of the request at that endpoint may still
  /// arrive.
  static bool may_receive_callbacks(const Request& request, EndpointId endpoint);
  /// The latest time at which the last byte of another attempt may be written.
  TimePoint write_deadline(const Request& request) const;
  /// Whether another attempt of the request may be sent to that endpoint.
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
