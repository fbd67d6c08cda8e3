/// The dispatchers of all pools, and the event queue that they share.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "core/job.h"
#include "core/pool_dispatcher.h"
#include "core/time.h"
#include "core/timer_port.h"

namespace keelflow {

/// Delivers events to the pools one at a time, reading the clock for each, and executes the
/// resulting actions. Executing an action may post another event before it returns, for example
/// when a connection is refused immediately. That event stays queued until the current one has been
/// handled.
class PoolDispatchers {
 public:
  /// Called for each event, in this order.
  struct Callbacks {
    std::function<void(const scheduler::Action&)> execute;  ///< Gets every action except SetTimer.
    std::function<void(const scheduler::Event&)> on_handled;
  };

  /// `tick` is the minimum time between two timers of one pool. The referenced objects must outlive
  /// this one.
  PoolDispatchers(const scheduler::Settings& settings, std::uint64_t seed, Duration tick,
                  TimerPort& timers, const UnixClock& clock, Callbacks callbacks);

  /// Adds pools until there are `count`. Pool 0 draws the same random numbers as a node without
  /// pools.
  void grow(int count);
  /// Queues an event for one pool. Handles all queued events, unless called while another event is
  /// being handled.
  void post(int pool, scheduler::Event event);
  /// Posts the event to each pool, in order of pool number.
  void post_to_all(const scheduler::Event& event);

  /// `previous_classes`: see scheduler::SettingsChanged.
  void change_settings(const scheduler::Settings& settings,
                       const std::vector<int>& previous_classes);
  void set_tick(Duration tick) { tick_ = tick; }
  void allow_sends(bool allowed);
  /// Reports which nodes of the tier are alive, by rank.
  void change_membership(const std::vector<bool>& alive);
  void enable_leases(bool enabled);
  /// Restores learned state, indexed by pool. Entries beyond the last pool are ignored.
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
  void update_subsets(int pool);
  void on_subset_timer(int pool);

  scheduler::Settings settings_;
  std::uint64_t seed_;
  Duration tick_;
  TimerPort& timers_;
  const UnixClock& clock_;
  Callbacks callbacks_;
  std::shared_ptr<scheduler::TenantQuotas> quotas_ = std::make_shared<scheduler::TenantQuotas>();
  std::vector<std::unique_ptr<PoolDispatcher>> pools_;
  std::vector<bool> alive_;  // by rank, as of the last change; empty if never reported
  std::deque<QueuedEvent> queue_;
  scheduler::Actions actions_;   // of the event being handled
  std::set<int> subset_timers_;  // pools whose subsets a timer will update
  bool is_delivering_ = false;
  bool leases_enabled_ = true;
  bool sends_allowed_ = true;
};

}  // namespace keelflow
