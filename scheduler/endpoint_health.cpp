/// Concurrency limits and ejection.
#include "scheduler/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace keelflow::scheduler {
namespace {

constexpr double kLimitDecrease = 0.7;  // multiplicative decrease of the concurrency limit
// Ejection time of an overloaded endpoint, in mean running times.
constexpr double kEjectionMeanRuns = 0.1;
constexpr double kMinEjectionTicks = 4;
constexpr int kMaxOutlierSigns = 3;         // most doublings of the ejection time for outlier signs
constexpr int kMaxConsecutiveFailures = 6;  // most doublings for consecutive failures
// The ejection time is multiplied by a random factor in [kMinEjectionJitter, kMinEjectionJitter +
// kEjectionJitterSpan), so that dispatchers that ejected the endpoint together return at different
// times.
constexpr double kMinEjectionJitter = 0.75;
constexpr double kEjectionJitterSpan = 0.5;

}  // namespace

void EndpointHealth::reset(EndpointSlot slot) {
  if (slot >= health_.size())
    health_.resize(slot + std::size_t{1});
  health_[slot] = {};
}

void EndpointHealth::record_success(EndpointSlot slot, double occupied) {
  LearnedState::Health& health = health_[slot];
  health.outlier_signs = 0;
  if (occupied + 1 >= health.concurrency_limit)
    health.concurrency_limit += 1 / health.concurrency_limit;
}

void EndpointHealth::record_failure(EndpointSlot slot) {
  int& failures = health_[slot].consecutive_failures;
  failures = std::min(failures + 1, kMaxConsecutiveFailures);
}

double EndpointHealth::base_ejection(double mean_running_time_ms) const {
  return std::max(kMinEjectionTicks * environment_.settings.tick_ms,
                  kEjectionMeanRuns * mean_running_time_ms);
}

void EndpointHealth::eject_as_overloaded(EndpointSlot slot, double mean_running_time_ms) {
  double& limit = health_[slot].concurrency_limit;
  limit = std::max(1.0, limit * kLimitDecrease);
  eject(slot, base_ejection(mean_running_time_ms));
}

void EndpointHealth::eject_as_outlier(EndpointSlot slot, double mean_running_time_ms) {
  LearnedState::Health& health = health_[slot];
  health.concurrency_limit = 1;
  health.outlier_signs = std::min(health.outlier_signs + 1, kMaxOutlierSigns);
  int doublings = std::max(health.outlier_signs, health.consecutive_failures);
  eject(slot, base_ejection(mean_running_time_ms) * std::exp2(doublings));
}

void EndpointHealth::eject(EndpointSlot slot, double duration) {
  double drawn = duration * (kMinEjectionJitter + kEjectionJitterSpan * environment_.random());
  eject_until(slot, environment_.now + drawn);
}

void EndpointHealth::eject_until(EndpointSlot slot, Time until) {
  Time& ejected_until = health_[slot].ejected_until;
  ejected_until = std::max(ejected_until, until);
}

}  // namespace keelflow::scheduler
