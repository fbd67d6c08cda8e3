// Whether a plug-in is asked. Faults are strikes; enough of them, or the death of its host, open
// the breaker: the plug-in is left out, its host is ended, and after a back-off that grows with
// every turn, with jitter, another host is started and asked one call at a time. A few good answers
// close the breaker. Pure: time is an argument, milliseconds.
#pragma once

#include <cstdint>
#include <random>
#include <string_view>

namespace keelflow::plugins {

struct BreakerSettings {
  int failures = 5;  // within `window_ms` open it
  double window_ms = 10'000;
  double initial_backoff_ms = 250,
         max_duration_ms = 60'000;  // back-off: the first, doubled each turn, at most
  double jitter = 0.25;             // of the back-off, either way
  int give_up = 8;                  // turns in a row; then it is out, and tried once every `out_ms`
  double out_ms = 600'000;
  int required_trial_successes = 3;  // good answers in a row that close it
  double backoff_reset_ms = 30'000;  // closed for so long, the back-off begins anew
};

class Breaker {
 public:
  enum class State : std::uint8_t { closed, open, trial, out, disabled };

  Breaker(BreakerSettings settings, std::uint64_t seed)
      : s_(settings), random_(static_cast<std::uint32_t>(seed % 2147483646 + 1)) {}

  State state() const { return state_; }
  double until() const { return until_; }     // of open and out: when the next trial begins
  int openings() const { return openings_; }  // openings in a row
  int failures() const { return failures_; }

  // Whether the next call may be made. In a trial there is one at a time.
  bool allows_call() const {
    return state_ == State::closed || (state_ == State::trial && !trial_call_pending_);
  }
  void asked() { trial_call_pending_ = state_ == State::trial; }
  // The call's host answered as it should.
  void add_success(double now_ms);
  // The call was not answered as it should: true if that opened the breaker.
  bool add_failure(double now_ms);
  // Its host has died or had to be ended, or would not start.
  void host_died(double now_ms);
  // A call of a trial came to nothing, through no fault of the plug-in: its client has gone, or its
  // deadline was short.
  void dropped() { trial_call_pending_ = false; }
  // The back-off is over and another host is ready. False: it is not the time.
  bool begin_trial(double now_ms);
  // By an operator. Enabling ends a back-off too; the trial follows when its host is ready.
  void disable() { state_ = State::disabled, trial_call_pending_ = false; }
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
