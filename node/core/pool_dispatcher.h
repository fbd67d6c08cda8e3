/// The scheduler of one pool with its subsets and slow-start leases.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/job.h"
#include "core/time.h"
#include "core/timer_port.h"
#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"

namespace keelflow {

/// Owns one scheduler::Dispatcher, which handles only the endpoints and requests of its pool, its
/// Subsets, its SlowStartLeases and the time when its last timer fired. Times in ms are Unix time.
class PoolDispatcher {
 public:
  PoolDispatcher(const scheduler::Settings& settings, std::uint64_t seed,
                 std::shared_ptr<scheduler::TenantQuotas> quotas, double started_ms);

  /// Passes an event to the Dispatcher and appends the resulting actions.
  void handle(double now_ms, const scheduler::Event& event, scheduler::Actions& actions);
  /// Passes the event to the subsets and leases and appends their actions. Must be called after the
  /// actions of `handle` for that event were executed. Returns the events that the Dispatcher must
  /// handle next, before any other.
  std::vector<scheduler::Event> update_fleet(double now_ms, const scheduler::Event& event,
                                             scheduler::Actions& actions);

  /// When the subsets should be updated next; nothing if no event has changed them. Changes that
  /// come until then take effect together.
  std::optional<TimePoint> subset_update_time() const;
  /// Returns the event that the Dispatcher must handle next.
  scheduler::SubsetChanged update_subsets(TimePoint now);

  /// Timers fire at most once per tick, and on time if none fired within the last tick. They are
  /// not rounded up to multiples of the tick: that used up the tick that the scheduler reserves for
  /// an answer to reach its client before the client gives up.
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
  TimePoint subsets_updated_{};
  bool has_outdated_subsets_ = false;
};

}  // namespace keelflow
