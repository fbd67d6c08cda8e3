/// The scheduler of one dispatcher, which pushes requests to endpoints.
///
/// A Dispatcher is given the time and one event a call, and appends what it wants done to a list of
/// actions. It has no clock, no threads, no I/O and no globals; the same settings, seed and events
/// always give the same actions.
#pragma once

#include <cstdint>
#include <memory>

#include "scheduler/actions.h"
#include "scheduler/events.h"
#include "scheduler/learned_state.h"
#include "scheduler/settings.h"
#include "scheduler/slow_start_budget.h"
#include "scheduler/tenant_quota.h"

namespace keelflow::scheduler {

/// Not safe for use by several threads at once; movable, not copyable.
class Dispatcher {
 public:
  /// Throws std::invalid_argument on settings that cannot be. Without `quotas` it keeps tenants'
  /// quotas by itself.
  Dispatcher(const Settings& settings, std::uint64_t seed,
             std::shared_ptr<TenantQuotas> quotas = nullptr);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void handle(Time now, const Event& event, Actions& out);

  /// The factor that calibrates the hints of a class.
  double calibration(int class_index) const;
  /// Requests that wait here for an endpoint.
  std::size_t queued_requests() const;
  LearnedState learned_state(Time now) const;
  /// What may be sent now to an endpoint that is warming up; all zero for any other.
  SlowStartBudget slow_start_budget(EndpointId endpoint, Time now) const;
  /// It is ready, and yet nothing is sent there, as it looks faulty.
  bool is_ejected(EndpointId endpoint, Time now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelflow::scheduler
