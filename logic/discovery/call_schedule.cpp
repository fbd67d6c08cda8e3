#include "discovery/call_schedule.h"

#include <algorithm>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

// One service answers all processes one after another: the more there are, the slower each of them
// asks.
constexpr Duration kFirstForEach = 5ms, kMostFirst = 2s;
constexpr Duration kPaceForEach = 8ms, kLeastPace = 800ms, kMostPace = 2s;
constexpr Duration kLongestWait = 1150ms;  // a discovery refuses who has waited for a second
constexpr double kLeastJitter = 0.75;
constexpr std::size_t kMostCalls = 5;        // so that a slow answer has some seconds to come
constexpr std::size_t kMostAgentCalls = 16;  // the same at the agent's pace

constexpr CallPace kAgentPace{.first = Duration::zero(),
                              .while_waiting = 250ms,
                              .after_failure = 100ms,
                              .most_calls = kMostAgentCalls};

}  // namespace

CallPace CallPace::of(const CallPolicy& policy) {
  if (policy.pushed)
    return kAgentPace;
  Duration pace = std::clamp(policy.processes * kPaceForEach, kLeastPace, kMostPace);
  Duration first = std::min((policy.processes - 1) * kFirstForEach, kMostFirst);
  return {.first = first,
          .while_waiting = std::max(pace, kLongestWait),
          .after_failure = pace,
          .most_calls = kMostCalls};
}

void CallSchedule::watch_lost(TimePoint now, double draw) {
  wanted_ = true;
  first_ = now + std::chrono::duration_cast<Duration>(draw * pace_.first);
  // A watch that is lost as soon as it is open is a call that failed.
  if (last_began_)
    first_ = std::max(first_, *last_began_ + pace_.after_failure);
  last_began_.reset();
}

void CallSchedule::call_now(TimePoint now) {
  wanted_ = true;
  first_ = now;
  last_began_.reset();
}

void CallSchedule::call_began(TimePoint now, double draw) {
  last_began_ = now;
  jitter_ = kLeastJitter + (1 - kLeastJitter) * draw;
}

void CallSchedule::watch_established() {
  wanted_ = false;
}

std::optional<TimePoint> CallSchedule::next_call(std::size_t open) const {
  if (!wanted_)
    return std::nullopt;
  if (!last_began_)
    return first_;
  if (open > 0)
    return *last_began_ + pace_.while_waiting;
  return *last_began_ + std::chrono::duration_cast<Duration>(jitter_ * pace_.after_failure);
}

}  // namespace keelflow::discovery
