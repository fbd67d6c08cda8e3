/// Circuit breaker of a plug-in: decides whether the plug-in is called. Enough failures within a
/// window, or the death of its host process, open the breaker. While it is open the plug-in is
/// skipped and its host is stopped. After a back-off, which doubles with every opening and has
/// jitter, another host is started and gets one call at a time. A few successful calls close the
/// breaker. Performs no I/O and reads no clock: the time is an argument in milliseconds.
#pragma once

#include <cstdint>
#include <random>
#include <string_view>

namespace keelflow::plugins {

/// Thresholds and back-off of a Breaker.
struct BreakerSettings {
  int failures = 5;  // failures within `window_ms` that open the breaker
  double window_ms = 10'000;
  // Back-off: its first value and its maximum; it doubles with every opening.
  double initial_backoff_ms = 250, max_backoff_ms = 60'000;
  double jitter = 0.25;  // fraction of the back-off, added or subtracted
  int give_up =
      8;  // consecutive openings after which the state is `out`, with a trial per `out_ms`
  double out_ms = 600'000;
  int required_trial_successes = 3;  // consecutive successes that close the breaker
  double backoff_reset_ms = 30'000;  // time in the closed state that resets the back-off
};

/// The state machine of one plug-in's circuit breaker.
class Breaker {
 public:
  enum class State : std::uint8_t { closed, open, trial, out, disabled };

  Breaker(BreakerSettings settings, std::uint64_t seed)
      : s_(settings), random_(static_cast<std::uint32_t>(seed % 2147483646 + 1)) {}

  State state() const { return state_; }
  double until() const { return until_; }     // in `open` and `out`: when the next trial may begin
  int openings() const { return openings_; }  // consecutive openings
  int failures() const { return failures_; }

  // Whether the next call may be made. A trial allows one call at a time.
  bool allows_call() const {
    return state_ == State::closed || (state_ == State::trial && !trial_call_pending_);
  }
  void asked() { trial_call_pending_ = state_ == State::trial; }
  // Records a call that the host answered correctly.
  void add_success(double now_ms);
  // Records a call that the host did not answer correctly. Returns whether this opened the breaker.
  bool add_failure(double now_ms);
  // Records that the host died, had to be stopped or failed to start.
  void host_died(double now_ms);
  // Records a trial call without a result for which the plug-in is not at fault: the client
  // disconnected or the deadline was too short.
  void dropped() { trial_call_pending_ = false; }
  // Begins a trial once another host is ready. Returns false before the back-off is over and in
  // states that have no trial.
  bool begin_trial(double now_ms);
  // Operator commands. Enabling also ends a back-off; the trial begins when the host is ready.
  void disable() {
    state_ = State::disabled;
    trial_call_pending_ = false;
  }
  void enable(double now_ms);

 private:
  void open(double now_ms);

  BreakerSettings s_;
  std::minstd_rand random_;
  State state_ = State::closed;
  int failures_ = 0, openings_ = 0, trial_successes_ = 0;
  double first_failure_ms_ = 0, until_ = 0, closed_since_ = 0;
  bool trial_call_pending_ = false;
};

std::string_view word(Breaker::State state);

}  // namespace keelflow::plugins
