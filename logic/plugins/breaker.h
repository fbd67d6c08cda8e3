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
  int strikes = 5;  // within `window_ms` open it
  double window_ms = 10'000;
  double first_ms = 250, most_ms = 60'000;  // back-off: the first, doubled each turn, at most
  double jitter = 0.25;                     // of the back-off, either way
  int give_up = 8;  // turns in a row; then it is out, and tried once every `out_ms`
  double out_ms = 600'000;
  int good_trials = 3;      // good answers in a row that close it
  double calm_ms = 30'000;  // closed for so long, the back-off begins anew
};

class Breaker {
 public:
  enum class State : std::uint8_t { closed, open, trial, out, disabled };

  Breaker(BreakerSettings settings, std::uint64_t seed)
      : s_(settings), random_(static_cast<std::uint32_t>(seed % 2147483646 + 1)) {}

  State state() const { return state_; }
  double until() const { return until_; }  // of open and out: when the next trial begins
  int turns() const { return turns_; }     // openings in a row
  int strikes() const { return strikes_; }

  // Whether the next call may be made. In a trial there is one at a time.
  bool asks() const { return state_ == State::closed || (state_ == State::trial && !trying_); }
  void asked() { trying_ = state_ == State::trial; }
  // The call's host answered as it should.
  void good(double now_ms);
  // The call was not answered as it should: true if that opened the breaker.
  bool strike(double now_ms);
  // Its host has died or had to be ended, or would not start.
  void died(double now_ms);
  // A call of a trial came to nothing, through no fault of the plug-in: its client has gone, or its
  // deadline was short.
  void dropped() { trying_ = false; }
  // The back-off is over and another host is ready. False: it is not the time.
  bool begin_trial(double now_ms);
  // By an operator. Enabling ends a back-off too; the trial follows when its host is ready.
  void disable() { state_ = State::disabled, trying_ = false; }
  void enable(double now_ms);

 private:
  void open(double now_ms);

  BreakerSettings s_;
  std::minstd_rand random_;
  State state_ = State::closed;
  int strikes_ = 0, turns_ = 0, goods_ = 0;
  double first_strike_ = 0, until_ = 0, closed_since_ = 0;
  bool trying_ = false;
};

std::string_view word(Breaker::State state);

}  // namespace keelflow::plugins
