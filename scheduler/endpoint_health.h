/// Health of endpoints as this dispatcher sees it: an adaptive concurrency limit, detection of
/// outliers, and their ejection for a time that doubles.
#pragma once

#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/learned_state.h"

namespace keelflow::scheduler {

/// Owns limit, fault signs and ejection of each endpoint, by slot.
class EndpointHealth {
 public:
  explicit EndpointHealth(Environment& environment) : environment_(environment) {}

  /// A new incarnation.
  void reset(EndpointSlot slot);

  double concurrency_limit(EndpointSlot slot) const { return health_[slot].concurrency_limit; }
  bool is_ejected(EndpointSlot slot) const {
    return environment_.now < health_[slot].ejected_until;
  }
  Time ejected_until(EndpointSlot slot) const { return health_[slot].ejected_until; }
  /// It has failed, or started attempts very late, since the last good sign.
  bool has_fault_signs(EndpointSlot slot) const {
    return health_[slot].outlier_signs + health_[slot].consecutive_failures > 0;
  }
  /// Attempts failed there one after another.
  bool fails_repeatedly(EndpointSlot slot) const { return health_[slot].consecutive_failures > 1; }

  /// An attempt started in time or was served: the limit grows where it binds. `occupied`: slots.
  void record_success(EndpointSlot slot, double occupied);
  void clear_outlier_signs(EndpointSlot slot) { health_[slot].outlier_signs = 0; }
  void clear_failures(EndpointSlot slot) { health_[slot].consecutive_failures = 0; }
  void record_failure(EndpointSlot slot);

  /// It was full or slow to start: others fill it for a while. `mean_run`: of an attempt, in ms.
  void eject_as_overloaded(EndpointSlot slot, double mean_run);
  /// It looks faulty: the time doubles while no good sign comes, and one attempt tries it again.
  void eject_as_outlier(EndpointSlot slot, double mean_run);
  /// Nothing is sent there before that time.
  void eject_until(EndpointSlot slot, Time until);

  const LearnedState::Health& learned(EndpointSlot slot) const { return health_[slot]; }
  void restore(EndpointSlot slot, const LearnedState::Health& learned) { health_[slot] = learned; }

 private:
  void eject(EndpointSlot slot, double duration);
  double base_ejection(double mean_run) const;

  Environment& environment_;
  std::vector<LearnedState::Health> health_;  // by slot; the service time ratio is not kept here
};

}  // namespace keelflow::scheduler
