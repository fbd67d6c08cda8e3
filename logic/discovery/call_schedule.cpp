#include "discovery/call_schedule.h"

#include <algorithm>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

// Discovery answers the calls of all processes in sequence, so the interval between the calls of a
// process grows with the number of processes. The first calls after an outage are spread over 5 ms
// per process.
constexpr Duration kFirstDelayPerProcess = 5ms;
constexpr Duration kMaxFirstDelay = 2s;
constexpr Duration kIntervalPerProcess = 8ms;
constexpr Duration kMinInterval = 800ms;
constexpr Duration kMaxInterval = 2s;
// Discovery rejects a caller that has waited for 1 s; 150 ms are added for the answer's transfer.
constexpr Duration kMinIntervalWhileWaiting = 1150ms;
// The interval after a failure is multiplied by a random factor from 0.75 to 1.
constexpr double kMinJitter = 0.75;
// With these limits and intervals a call stays open for some seconds before a later call replaces
// it.
constexpr std::size_t kMaxOpenCalls = 5;
constexpr std::size_t kMaxOpenAgentCalls = 16;

// An agent on this machine serves only this process.
constexpr CallPace kAgentPace{.first = Duration::zero(),
                              .while_waiting = 250ms,
                              .after_failure = 100ms,
                              .max_open_calls = kMaxOpenAgentCalls};

}  // namespace

CallPace CallPace::of(const CallPolicy& policy) {
  if (policy.pushed)
    return kAgentPace;
  Duration interval =
      std::clamp(policy.processes * kIntervalPerProcess, kMinInterval, kMaxInterval);
  Duration first = std::min((policy.processes - 1) * kFirstDelayPerProcess, kMaxFirstDelay);
  return {.first = first,
          .while_waiting = std::max(interval, kMinIntervalWhileWaiting),
          .after_failure = interval,
          .max_open_calls = kMaxOpenCalls};
}

void CallSchedule::watch_lost(TimePoint now, double draw) {
  needs_watch_ = true;
  first_due_ = now + std::chrono::duration_cast<Duration>(draw * pace_.first);
  // If the watch is lost right after it opened, the call counts as failed.
  if (last_began_)
    first_due_ = std::max(first_due_, *last_began_ + pace_.after_failure);
  last_began_.reset();
}

void CallSchedule::call_now(TimePoint now) {
  needs_watch_ = true;
  first_due_ = now;
  last_began_.reset();
}

void CallSchedule::call_began(TimePoint now, double draw) {
  last_began_ = now;
  jitter_ = kMinJitter + (1 - kMinJitter) * draw;
}

void CallSchedule::watch_established() {
  needs_watch_ = false;
}

std::optional<TimePoint> CallSchedule::next_call(std::size_t open_calls) const {
  if (!needs_watch_)
    return std::nullopt;
  if (!last_began_)
    return first_due_;
  if (open_calls > 0)
    return *last_began_ + pace_.while_waiting;
  return *last_began_ + std::chrono::duration_cast<Duration>(jitter_ * pace_.after_failure);
}

}  // namespace keelflow::discovery
