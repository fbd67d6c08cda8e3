/// The dispatchers of all pools, and the one queue through which they get their events.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "core/job.h"
#include "core/pool_dispatcher.h"
#include "core/time.h"
#include "core/timer_port.h"

namespace keelflow {

/// Delivers events to the pools one after another, each at its own time, and hands out the actions
/// that come back. An action may cause the next event before it returns (a connection refused at
/// once); that event waits in the queue until the present one is dealt with.
class PoolDispatchers {
 public:
  /// What happens with the results, in this order for each event.
  struct Callbacks {
    std::function<void(const scheduler::Action&)> execute;  ///< Any action but SetTimer.
    std::function<void(const scheduler::Event&)> on_handled;
  };

  /// `tick`: the least time between two timers of one pool. The references must outlive it.
  PoolDispatchers(const scheduler::Settings& settings, std::uint64_t seed, Duration tick,
                  TimerPort& timers, const UnixClock& clock, Callbacks callbacks);

  /// Adds pools until there are so many. Pool 0 draws what a node without pools draws.
  void grow(int count);
  /// Queues an event for one pool and, unless called from within an action, handles all that is
  /// queued.
  void post(int pool, scheduler::Event event);
  /// The same event for each pool, in their order.
  void post_to_all(const scheduler::Event& event);

  /// `previous_classes`: see scheduler::SettingsChanged.
  void change_settings(const scheduler::Settings& settings,
                       const std::vector<int>& previous_classes);
  void set_tick(Duration tick) { tick_ = tick; }
  void allow_sends(bool allowed);
  /// Which nodes of the tier are alive, by rank.
  void change_membership(const std::vector<bool>& alive);
  void enable_leases(bool enabled);
  /// By pool; those without a pool are left out.
  void restore(const std::vector<scheduler::LearnedState>& learned);

  const scheduler::Settings& settings() const { return settings_; }
  std::size_t size() const { return pools_.size(); }
  const PoolDispatcher& at(int pool) const { return *pools_.at(static_cast<std::size_t>(pool)); }
  std::vector<scheduler::LearnedState> learned_state() const;  ///< By pool.
  bool is_ejected(EndpointId endpoint) const;                  ///< By any pool.
  void for_each_subset_entry(
      const std::function<void(int pool, const scheduler::SubsetEntry&)>& visit) const;
  void for_each_lease(
      const std::function<void(int pool, const fleet::SlowStartLeases::EndpointLease&,
                               const scheduler::SlowStartBudget&)>& visit) const;
  fleet::SlowStartLeases::Statistics lease_statistics() const;  ///< Of all pools.

 private:
  struct QueuedEvent {
    int pool;
    scheduler::Event event;
  };

  double now_ms() const { return clock_.unix_ms(timers_.now()); }
  PoolDispatcher& pool_at(int pool) { return *pools_.at(static_cast<std::size_t>(pool)); }
  void deliver(const QueuedEvent& queued);
  void execute(int pool, const scheduler::Action& action);
  void on_timer(int pool, std::uint64_t timer);

  scheduler::Settings settings_;
  std::uint64_t seed_;
  Duration tick_;
  TimerPort& timers_;
  const UnixClock& clock_;
  Callbacks callbacks_;
  std::shared_ptr<scheduler::TenantQuotas> quotas_ = std::make_shared<scheduler::TenantQuotas>();
  std::vector<std::unique_ptr<PoolDispatcher>> pools_;
  std::vector<bool> alive_;  // by rank, as of the last change; empty: never known
  std::deque<QueuedEvent> queue_;
  scheduler::Actions actions_;  // of the event that is being handled
  bool is_delivering_ = false;
  bool leases_enabled_ = true;
  bool sends_allowed_ = true;
};

}  // namespace keelflow
