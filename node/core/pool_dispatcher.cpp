#include "core/pool_dispatcher.h"

#include <utility>

namespace keelflow {

PoolDispatcher::PoolDispatcher(const scheduler::Settings& settings, std::uint64_t seed,
                               std::shared_ptr<scheduler::TenantQuotas> quotas, double started_ms)
    : dispatcher_(settings, seed, std::move(quotas)),
      subsets_(settings),
      leases_(settings, started_ms) {}

void PoolDispatcher::handle(double now_ms, const scheduler::Event& event,
                            scheduler::Actions& actions) {
  dispatcher_.handle(now_ms, event, actions);
}

std::vector<scheduler::Event> PoolDispatcher::update_fleet(double now_ms,
                                                           const scheduler::Event& event,
                                                           scheduler::Actions& actions) {
  std::vector<scheduler::Event> follow_ups;
  has_outdated_subsets_ = subsets_.apply(event) || has_outdated_subsets_;
  leases_.after(now_ms, event, dispatcher_, follow_ups, actions);
  return follow_ups;
}

std::optional<TimePoint> PoolDispatcher::subset_update_time() const {
  if (!has_outdated_subsets_)
    return std::nullopt;
  return subsets_updated_ + from_ms(subsets_.update_pause_ms());
}

scheduler::SubsetChanged PoolDispatcher::update_subsets(TimePoint now) {
  has_outdated_subsets_ = false;
  subsets_updated_ = now;
  return subsets_.update();
}

}  // namespace keelflow
