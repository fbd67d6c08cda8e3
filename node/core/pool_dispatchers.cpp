#include "core/pool_dispatchers.h"

#include <algorithm>
#include <utility>

namespace keelflow {

namespace {

// Increment between the seeds of the pools: 2^64 divided by the golden ratio.
constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15ull;

}  // namespace

PoolDispatchers::PoolDispatchers(const scheduler::Settings& settings, std::uint64_t seed,
                                 Duration tick, TimerPort& timers, const UnixClock& clock,
                                 Callbacks callbacks)
    : settings_(settings),
      seed_(seed),
      tick_(tick),
      timers_(timers),
      clock_(clock),
      callbacks_(std::move(callbacks)) {}

void PoolDispatchers::grow(int count) {
  while (pools_.size() < static_cast<std::size_t>(count)) {
    int pool = static_cast<int>(pools_.size());
    pools_.push_back(std::make_unique<PoolDispatcher>(settings_, seed_ + pools_.size() * kSeedStep,
                                                      quotas_, now_ms()));
    pools_.back()->enable_leases(leases_enabled_);
    if (!sends_allowed_)
      post(pool, scheduler::SendPermission{false});
    if (!alive_.empty())
      post(pool, scheduler::MembershipChanged{alive_});
  }
}

void PoolDispatchers::post(int pool, scheduler::Event event) {
  queue_.push_back({pool, std::move(event)});
  if (std::exchange(is_delivering_, true))
    return;
  while (!queue_.empty()) {
    QueuedEvent next = std::move(queue_.front());
    queue_.pop_front();
    deliver(next);
  }
  is_delivering_ = false;
}

void PoolDispatchers::post_to_all(const scheduler::Event& event) {
  for (std::size_t i = 0; i < pools_.size(); ++i)
    post(static_cast<int>(i), event);
}

// Events from the subsets and leases are handled before all other queued events.
void PoolDispatchers::deliver(const QueuedEvent& queued) {
  PoolDispatcher& pool = pool_at(queued.pool);
  actions_.clear();
  pool.handle(now_ms(), queued.event, actions_);
  for (const scheduler::Action& action : actions_)
    execute(queued.pool, action);
  scheduler::Actions fleet_actions;
  std::vector<scheduler::Event> follow_ups =
      pool.update_fleet(now_ms(), queued.event, fleet_actions);
  for (const scheduler::Action& action : fleet_actions)
    execute(queued.pool, action);
  for (auto it = follow_ups.rbegin(); it != follow_ups.rend(); ++it)
    queue_.push_front({queued.pool, std::move(*it)});
  update_subsets(queued.pool);
  callbacks_.on_handled(queued.event);
}

// The first change of the subsets takes effect at once, those that follow it together after a
// pause.
void PoolDispatchers::update_subsets(int pool) {
  std::optional<TimePoint> when = pool_at(pool).subset_update_time();
  if (!when)
    return;
  TimePoint now = timers_.now();
  if (*when <= now) {
    queue_.push_front({pool, pool_at(pool).update_subsets(now)});
  } else if (!subset_timers_.contains(pool)) {
    subset_timers_.insert(pool);
    timers_.at(*when, [this, pool] { on_subset_timer(pool); });
  }
}

void PoolDispatchers::on_subset_timer(int pool) {
  subset_timers_.erase(pool);
  if (pool_at(pool).subset_update_time())
    post(pool, pool_at(pool).update_subsets(timers_.now()));
}

void PoolDispatchers::execute(int pool, const scheduler::Action& action) {
  const auto* timer = std::get_if<scheduler::SetTimer>(&action);
  if (!timer)
    return callbacks_.execute(action);
  timers_.at(std::max(clock_.at(timer->when), pool_at(pool).earliest_timer(tick_)),
             [this, pool, id = timer->id] { on_timer(pool, id); });
}

void PoolDispatchers::on_timer(int pool, std::uint64_t timer) {
  TimePoint now = timers_.now();
  TimePoint earliest = pool_at(pool).earliest_timer(tick_);
  if (now < earliest) {
    timers_.at(earliest, [this, pool, timer] { on_timer(pool, timer); });
    return;
  }
  pool_at(pool).on_timer(now);
  post(pool, scheduler::TimerFired{timer});
}

void PoolDispatchers::change_settings(const scheduler::Settings& settings,
                                      const std::vector<int>& previous_classes) {
  if (settings == settings_)
    return;
  settings_ = settings;
  post_to_all(scheduler::SettingsChanged{settings_, previous_classes});
}

void PoolDispatchers::allow_sends(bool allowed) {
  if (std::exchange(sends_allowed_, allowed) != allowed)
    post_to_all(scheduler::SendPermission{allowed});
}

void PoolDispatchers::change_membership(const std::vector<bool>& alive) {
  alive_ = alive;
  post_to_all(scheduler::MembershipChanged{alive});
}

void PoolDispatchers::enable_leases(bool enabled) {
  leases_enabled_ = enabled;
  for (const auto& pool : pools_)
    pool->enable_leases(enabled);
}

void PoolDispatchers::restore(const std::vector<scheduler::LearnedState>& learned) {
  for (std::size_t i = 0; i < std::min(pools_.size(), learned.size()); ++i)
    post(static_cast<int>(i), learned[i]);
}

std::vector<scheduler::LearnedState> PoolDispatchers::learned_state() const {
  std::vector<scheduler::LearnedState> all;
  for (const auto& pool : pools_)
    all.push_back(pool->dispatcher().learned_state(now_ms()));
  return all;
}

bool PoolDispatchers::is_ejected(EndpointId endpoint) const {
  double now = now_ms();
  return std::any_of(pools_.begin(), pools_.end(), [&](const auto& pool) {
    return pool->dispatcher().is_ejected(endpoint, now);
  });
}

void PoolDispatchers::for_each_subset_entry(
    const std::function<void(int pool, const scheduler::SubsetEntry&)>& visit) const {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    for (const auto& entry : pools_[i]->subsets().last_notification().endpoints)
      visit(static_cast<int>(i), entry);
  }
}

void PoolDispatchers::for_each_lease(
    const std::function<void(int pool, const fleet::SlowStartLeases::EndpointLease&,
                             const scheduler::SlowStartBudget&)>& visit) const {
  double now = now_ms();
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    for (const auto& [endpoint, lease] : pools_[i]->leases().leases())
      visit(static_cast<int>(i), lease, pools_[i]->dispatcher().slow_start_budget(endpoint, now));
  }
}

fleet::SlowStartLeases::Statistics PoolDispatchers::lease_statistics() const {
  fleet::SlowStartLeases::Statistics all;
  for (const auto& pool : pools_)
    all += pool->leases().statistics();
  return all;
}

}  // namespace keelflow
