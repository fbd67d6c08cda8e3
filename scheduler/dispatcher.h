/// The scheduler of one dispatcher, which assigns requests to endpoints.
/// Each call passes a Dispatcher the time and one event; it appends the resulting actions to a
/// list. It has no clock, no threads, no I/O and no globals; the same settings, seed and events
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
  /// Throws std::invalid_argument on invalid settings. Without `quotas` the Dispatcher creates its
  /// own token buckets.
  Dispatcher(const Settings& settings, std::uint64_t seed,
             std::shared_ptr<TenantQuotas> quotas = nullptr);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void handle(Time now, const Event& event, Actions& out);

  /// The factor by which the hints of a class are multiplied.
  double calibration(int class_index) const;
  /// The number of requests that wait for an endpoint.
  std::size_t queued_requests() const;
  LearnedState learned_state(Time now) const;
  /// The remaining slow-start budget of an endpoint that is warming up; all zero for any other
  /// endpoint.
  SlowStartBudget slow_start_budget(EndpointId endpoint, Time now) const;
  /// Whether discovery lists the endpoint as ready but it is ejected after signs of a fault.
  bool is_ejected(EndpointId endpoint, Time now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelflow::scheduler
