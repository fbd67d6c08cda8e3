/// Endpoint health as observed by this dispatcher: an adaptive concurrency limit, outlier
/// detection, and ejection with exponential backoff.
#pragma once

#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/learned_state.h"

namespace keelflow::scheduler {

/// Owns the concurrency limit, outlier signs, consecutive failures and ejection time of each
/// endpoint, by EndpointSlot.
class EndpointHealth {
 public:
  explicit EndpointHealth(Environment& environment) : environment_(environment) {}

  /// Resets the state for a new incarnation of the endpoint.
  void reset(EndpointSlot slot);

  double concurrency_limit(EndpointSlot slot) const { return health_[slot].concurrency_limit; }
  bool is_ejected(EndpointSlot slot) const {
    return environment_.now < health_[slot].ejected_until;
  }
  Time ejected_until(EndpointSlot slot) const { return health_[slot].ejected_until; }
  /// Whether an outlier sign or a failed attempt of the endpoint has not been cleared since.
  bool has_fault_signs(EndpointSlot slot) const {
    return health_[slot].outlier_signs + health_[slot].consecutive_failures > 0;
  }
  /// Whether at least the last two attempts at the endpoint failed.
  bool fails_repeatedly(EndpointSlot slot) const { return health_[slot].consecutive_failures > 1; }

  /// Records an attempt that started in time or succeeded; raises the limit if the endpoint is
  /// close to it. `occupied`: capacity slots in flight at the endpoint.
  void record_success(EndpointSlot slot, double occupied);
  void clear_outlier_signs(EndpointSlot slot) { health_[slot].outlier_signs = 0; }
  void clear_failures(EndpointSlot slot) { health_[slot].consecutive_failures = 0; }
  void record_failure(EndpointSlot slot);

  /// Ejects an endpoint that was full or slow to start an attempt, leaving its capacity to other
  /// dispatchers for a while. `mean_running_time_ms`: mean running time of an attempt, in ms.
  void eject_as_overloaded(EndpointSlot slot, double mean_running_time_ms);
  /// Ejects an endpoint that appears faulty. The ejection time doubles until a success, and the
  /// concurrency limit of 1 lets one attempt at a time test the endpoint again.
  void eject_as_outlier(EndpointSlot slot, double mean_running_time_ms);
  /// Sends nothing to the endpoint before `until`.
  void eject_until(EndpointSlot slot, Time until);

  const LearnedState::Health& learned(EndpointSlot slot) const { return health_[slot]; }
  void restore(EndpointSlot slot, const LearnedState::Health& learned) { health_[slot] = learned; }

 private:
  void eject(EndpointSlot slot, double duration);
  double base_ejection(double mean_running_time_ms) const;

  Environment& environment_;
  // By EndpointSlot. ServiceStatistics owns the service time ratio; the field is not used here.
  std::vector<LearnedState::Health> health_;
};

}  // namespace keelflow::scheduler
