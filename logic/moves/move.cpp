#include "moves/move.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <utility>

namespace keelflow::moves {
namespace {

constexpr std::size_t kMaxHistory = 64;
// Requests queued during a surge are still answered late after it ends, at most for about as long
// as clients wait and retry.
constexpr double kSurgeSettleMs = 6'000;
// Below 1 because rates are averages over two seconds: at equal shares of load and capacity, noise
// would decide the comparison.
constexpr double kLoadToCapacityThreshold = 0.9;
constexpr std::uint64_t kMinAnswersPerArm = 8;  // before any conclusion

std::string percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f %%", 100 * share);
  return text;
}

}  // namespace

std::string_view word(State state) {
  switch (state) {
    case State::idle:
      return "idle";
    case State::running:
      return "running";
    case State::paused:
      return "paused";
    case State::undone:
      return "undone";
    case State::done:
      return "done";
  }
  return "";
}

std::string_view word(Wait wait) {
  switch (wait) {
    case Wait::none:
      return "";
    case Wait::slow_start:
      return "the new pool is cold";
    case Wait::surge:
      return "traffic has jumped";
    case Wait::answers:
      return "not enough answers yet";
  }
  return "";
}

std::vector<std::string> faults(const MoveSpec& spec) {
  std::vector<std::string> out;
  auto require = [&](bool ok, const char* what) {
    if (!ok)
      out.push_back("move '" + spec.name + "': " + what);
  };
  require(spec.from != spec.to, "'from' and 'to' are the same pool");
  require(!spec.steps.empty() && spec.steps.size() <= 32, "1 to 32 steps are required");
  require(std::is_sorted(spec.steps.begin(), spec.steps.end(), std::less_equal<>()),
          "steps must increase");
  require(spec.steps.empty() || (spec.steps.front() > 0 && spec.steps.back() == 100),
          "steps must be above 0 and end with 100");
  require(spec.min_duration_ms < spec.max_duration_ms,
          "'least-time' must be less than 'most-time'");
  require(spec.control > 0 && spec.control <= 50,
          "'control' must be above 0 and at most 50 percent");
  require(spec.test.margin < spec.test.worse, "'margin' must be less than 'worse'");
  return out;
}

Move::Move(MoveSpec spec) : spec_(std::move(spec)), comparison_(step_test_settings()) {}

TestSettings Move::step_test_settings() const {
  TestSettings test = spec_.test;
  test.false_alarm /= static_cast<double>(std::max<std::size_t>(1, spec_.steps.size()));
  return test;
}

// Returns the share of a step. Until the last step has passed, the old pool keeps the `control`
// percentage, because the comparison needs a control group.
double Move::capped_share(std::size_t step) const {
  return std::min(spec_.steps[step], 100 - spec_.control) / 100;
}

void Move::add_event(double now_ms, std::string text) {
  pending_events_.push_back({now_ms, text});
  if (pending_events_.size() > kMaxHistory)
    pending_events_.erase(pending_events_.begin());
  history_.push_back({now_ms, std::move(text)});
  if (history_.size() > kMaxHistory)
    history_.pop_front();
}

std::vector<Event> Move::events() {
  return std::exchange(pending_events_, {});
}

void Move::restart_measurement(double now_ms) {
  comparison_.reset();
  last_ = {};
  measured_since_ = now_ms;
}

void Move::enter_step(std::size_t step, double now_ms) {
  step_ = step;
  share_ = capped_share(step);
  step_since_ = last_tick_ms_ = now_ms;
  set_wait(Wait::none, now_ms);
  restart_measurement(now_ms);
  add_event(now_ms, "step " + std::to_string(step + 1) + " of " +
                        std::to_string(spec_.steps.size()) + ": " + percent(share_) + " to " +
                        spec_.to);
}

std::string Move::start(double now_ms) {
  if (active())
    return "it is already under way";
  if (state_ == State::done)
    return "it is done; undo it before starting it again";
  if (state_ == State::undone && now_ms < cool_until_)
    return "it cools off for another " +
           std::to_string(static_cast<long long>(std::ceil((cool_until_ - now_ms) / 1000))) + " s";
  if (!pools_known_ || to_.ready == 0)
    return "pool '" + spec_.to + "' has no ready endpoint";
  state_ = State::running;
  reason_.clear();
  last_surge_ms_ = -1;
  add_event(now_ms, "started");
  enter_step(0, now_ms);
  return "";
}

std::string Move::pause(double now_ms) {
  if (state_ != State::running)
    return "it is not running";
  state_ = State::paused;
  add_event(now_ms, "paused at " + percent(share_));
  return "";
}

std::string Move::resume(double now_ms) {
  if (state_ != State::paused)
    return "it is not paused";
  state_ = State::running;
  add_event(now_ms, "resumed");
  enter_step(step_, now_ms);
  return "";
}

std::string Move::undo(std::string_view reason, double now_ms) {
  if (state_ == State::idle)
    return "it has not started";
  if (state_ == State::undone)
    return "it is undone already";
  state_ = State::undone;
  share_ = 0;
  ++undos_;
  reason_ = reason;
  cool_until_ = now_ms + spec_.cool_off_ms;
  set_wait(Wait::none, now_ms);
  add_event(now_ms, "undone: " + reason_);
  return "";
}

void Move::update_spec(MoveSpec spec, double now_ms) {
  spec_ = std::move(spec);
  comparison_ = Comparison(step_test_settings());
  if (!active())
    return;
  std::size_t step = 0;
  while (step + 1 < spec_.steps.size() && capped_share(step + 1) <= share_ + 1e-9)
    ++step;
  add_event(now_ms, "has new settings");
  enter_step(step, now_ms);
}

void Move::update_pools(const PoolView& from, const PoolView& to, double now_ms) {
  from_ = from;
  to_ = to;
  pools_known_ = true;
  // Without a ready endpoint in the new pool there is nothing to measure or to wait for.
  if (active() && to_.ready == 0)
    undo(to_.draining > 0 ? "pool '" + spec_.to + "' is draining"
                          : "pool '" + spec_.to + "' has lost its last ready endpoint",
         now_ms);
}

void Move::arrived(Arm pool, bool of_route, double now_ms) {
  pool_load_[static_cast<std::size_t>(pool)].arrived(now_ms);
  if (of_route)
    route_load_.arrived(now_ms);
  else if (pool == Arm::trial)
    other_load_.arrived(now_ms);
}

void Move::answered(Arm arm, double asked, double in_time, double arrived_ms, double now_ms) {
  if (!active() || wait_ == Wait::slow_start || wait_ == Wait::surge ||
      arrived_ms < measured_since_)
    return;
  comparison_.add(arm, asked, in_time, now_ms);
}

// Returns the reason why the measurement says nothing about the new pool, if there is one.
Wait Move::measurement_blocker(double now_ms) {
  // The traffic of endpoints in slow start is limited. The move waits until slow start ends,
  // because the limit does not mean that the pool is slow.
  if (2 * to_.warm < to_.ready || to_.warm == 0)
    return Wait::slow_start;
  // During a surge the new pool is measured only if its share of the load is clearly less than its
  // share of the capacity. With a larger share it may look worse however good it is, and moving the
  // load back would not help.
  if (!route_load_.surge() && !other_load_.surge())
    return last_surge_ms_ >= 0 && now_ms < last_surge_ms_ + kSurgeSettleMs ? Wait::surge
                                                                           : Wait::none;
  double load = pool_load_[0].rate() + pool_load_[1].rate(),
         capacity = from_.capacity + to_.capacity;
  bool is_overloaded =
      capacity > 0 && load > 0 &&
      pool_load_[1].rate() / load > kLoadToCapacityThreshold * to_.capacity / capacity;
  if (is_overloaded)
    last_surge_ms_ = now_ms;
  return is_overloaded ? Wait::surge : Wait::none;
}

void Move::set_wait(Wait wait, double now_ms) {
  if (wait == wait_)
    return;
  bool was_blocked = wait_ == Wait::slow_start || wait_ == Wait::surge;
  wait_ = wait;
  if (wait == Wait::slow_start || wait == Wait::surge)
    add_event(now_ms, "waits: " + std::string(word(wait)));
  else if (was_blocked && active()) {
    add_event(now_ms, "continues");
    restart_measurement(now_ms);
  }
}

void Move::tick(double now_ms) {
  route_load_.advance(now_ms);
  other_load_.advance(now_ms);
  for (LoadSurgeDetector& load : pool_load_)
    load.advance(now_ms);
  double since = std::exchange(last_tick_ms_, now_ms);
  if (!active())
    return;
  Wait blocker = measurement_blocker(now_ms);
  if (blocker != Wait::none) {
    step_since_ += now_ms - since;  // the time does not count for the step
    return set_wait(blocker, now_ms);
  }
  if (wait_ == Wait::slow_start || wait_ == Wait::surge)
    set_wait(Wait::none, now_ms);
  last_ = comparison_.estimate();
  if (std::min(last_.control_answers, last_.trial_answers) >= kMinAnswersPerArm &&
      comparison_.worse(last_)) {
    undo("in-time worth " + percent(last_.trial) + " against " + percent(last_.control) + " in '" +
             spec_.from + "' over the same time, at step " + std::to_string(step_ + 1) + " (" +
             percent(share_) + ")",
         now_ms);
    return;
  }
  if (state_ == State::paused)
    return;  // a paused move is measured and may be undone, but takes no step
  double lasted = now_ms - step_since_;
  bool enough =
      last_.trial_answers >= spec_.min_answers && last_.control_answers >= kMinAnswersPerArm;
  bool passed = lasted >= spec_.min_duration_ms && enough && comparison_.no_worse(last_);
  set_wait(!passed && lasted >= spec_.min_duration_ms ? Wait::answers : Wait::none, now_ms);
  if (!passed) {
    if (lasted >= spec_.max_duration_ms)
      undo("step " + std::to_string(step_ + 1) + " stayed undecided for too long", now_ms);
    return;
  }
  if (step_ + 1 < spec_.steps.size())
    return enter_step(step_ + 1, now_ms);
  state_ = State::done;
  share_ = 1;
  add_event(now_ms, "done: all traffic of route '" + spec_.route + "' goes to " + spec_.to);
}

}  // namespace keelflow::moves
