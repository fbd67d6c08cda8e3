#include "plugins/breaker.h"

#include <algorithm>
#include <cmath>

namespace keelflow::plugins {

std::string_view word(Breaker::State state) {
  switch (state) {
    case Breaker::State::closed:
      return "closed";
    case Breaker::State::open:
      return "open";
    case Breaker::State::trial:
      return "trial";
    case Breaker::State::out:
      return "out";
    case Breaker::State::disabled:
      return "disabled";
  }
  return "";
}

void Breaker::good(double now_ms) {
  trying_ = false;
  if (state_ == State::closed && now_ms >= closed_since_ + s_.calm_ms)
    turns_ = 0;
  if (state_ != State::trial || ++goods_ < s_.good_trials)
    return;
  state_ = State::closed;
  closed_since_ = now_ms;
  strikes_ = 0;
}

bool Breaker::strike(double now_ms) {
  trying_ = false;
  if (state_ == State::trial)
    return open(now_ms), true;
  if (state_ != State::closed)
    return false;
  if (strikes_ == 0 || now_ms > first_strike_ + s_.window_ms)
    strikes_ = 0, first_strike_ = now_ms;
  if (++strikes_ < s_.strikes)
    return false;
  open(now_ms);
  return true;
}

void Breaker::died(double now_ms) {
  trying_ = false;
  if (state_ != State::disabled)
    open(now_ms);
}

void Breaker::open(double now_ms) {
  if (state_ == State::closed && now_ms >= closed_since_ + s_.calm_ms)
    turns_ = 0;
  ++turns_;
  strikes_ = 0;
  state_ = turns_ >= s_.give_up ? State::out : State::open;
  double wait = state_ == State::out
                    ? s_.out_ms
                    : std::min(s_.most_ms, s_.first_ms * std::exp2(std::min(turns_ - 1, 30)));
  until_ = now_ms + wait * (1 + s_.jitter * std::uniform_real_distribution<double>(-1, 1)(random_));
}

bool Breaker::begin_trial(double now_ms) {
  if ((state_ != State::open && state_ != State::out) || now_ms < until_)
    return false;
  state_ = State::trial;
  goods_ = 0;
  trying_ = false;
  return true;
}

void Breaker::enable(double now_ms) {
  if (state_ == State::closed || state_ == State::trial)
    return;
  state_ = State::open;
  until_ = now_ms;
  turns_ = 0;
}

}  // namespace keelflow::plugins
