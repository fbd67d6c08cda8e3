/// The scheduler of one pool, with all that stands beside it.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "core/job.h"
#include "core/timer_port.h"
#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"

namespace keelflow {

/// One scheduler::Dispatcher, which sees the endpoints and requests of its pool only, with its
/// Subsets, its SlowStartLeases and the time of its last timer. Times in ms are Unix time.
class PoolDispatcher {
 public:
  PoolDispatcher(const scheduler::Settings& settings, std::uint64_t seed,
                 std::shared_ptr<scheduler::TenantQuotas> quotas, double started_ms);

  /// Gives the Dispatcher an event; appends the actions that it answers with.
  void handle(double now_ms, const scheduler::Event& event, scheduler::Actions& actions);
  /// To be called once the actions of that event are executed. Gives the event to the subsets and
  /// leases; appends their actions, and returns the events that the Dispatcher is to get next,
  /// before any other.
  std::vector<scheduler::Event> update_fleet(double now_ms, const scheduler::Event& event,
                                             scheduler::Actions& actions);

  /// Timers fire no more often than once a tick, but on time where none has fired just before.
  /// Rounding them up to a grid of ticks used up the tick that the scheduler leaves for an answer
  /// to travel before its client gives up.
  TimePoint earliest_timer(Duration tick) const { return last_timer_ + tick; }
  void on_timer(TimePoint now) { last_timer_ = now; }

  void enable_leases(bool enabled) { leases_.set_leasing_enabled(enabled); }

  const scheduler::Dispatcher& dispatcher() const { return dispatcher_; }
  const fleet::Subsets& subsets() const { return subsets_; }
  const fleet::SlowStartLeases& leases() const { return leases_; }

 private:
  scheduler::Dispatcher dispatcher_;
  fleet::Subsets subsets_;
  fleet::SlowStartLeases leases_;
  TimePoint last_timer_{};
};

}  // namespace keelflow
