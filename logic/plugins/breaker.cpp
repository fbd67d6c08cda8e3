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

void Breaker::add_success(double now_ms) {
  trial_call_pending_ = false;
  if (state_ == State::closed && now_ms >= closed_since_ + s_.backoff_reset_ms)
    openings_ = 0;
  if (state_ != State::trial || ++trial_successes_ < s_.required_trial_successes)
    return;
  state_ = State::closed;
  closed_since_ = now_ms;
  failures_ = 0;
}

bool Breaker::add_failure(double now_ms) {
  trial_call_pending_ = false;
  if (state_ == State::trial) {
    open(now_ms);
    return true;
  }
  if (state_ != State::closed)
    return false;
  if (failures_ == 0 || now_ms > first_failure_ms_ + s_.window_ms) {
    failures_ = 0;
    first_failure_ms_ = now_ms;
  }
  if (++failures_ < s_.failures)
    return false;
  open(now_ms);
  return true;
}

void Breaker::host_died(double now_ms) {
  trial_call_pending_ = false;
  if (state_ != State::disabled)
    open(now_ms);
}

void Breaker::open(double now_ms) {
  if (state_ == State::closed && now_ms >= closed_since_ + s_.backoff_reset_ms)
    openings_ = 0;
  ++openings_;
  failures_ = 0;
  state_ = openings_ >= s_.give_up ? State::out : State::open;
  double wait = state_ == State::out
                    ? s_.out_ms
                    : std::min(s_.max_backoff_ms,
                               s_.initial_backoff_ms * std::exp2(std::min(openings_ - 1, 30)));
  until_ = now_ms + wait * (1 + s_.jitter * std::uniform_real_distribution<double>(-1, 1)(random_));
}

bool Breaker::begin_trial(double now_ms) {
  if ((state_ != State::open && state_ != State::out) || now_ms < until_)
    return false;
  state_ = State::trial;
  trial_successes_ = 0;
  trial_call_pending_ = false;
  return true;
}

void Breaker::enable(double now_ms) {
  if (state_ == State::closed || state_ == State::trial)
    return;
  state_ = State::open;
  until_ = now_ms;
  openings_ = 0;
}

}  // namespace keelflow::plugins
