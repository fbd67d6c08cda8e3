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
  if (auto subset = subsets_.after(event))
    follow_ups.emplace_back(std::move(*subset));
  leases_.after(now_ms, event, dispatcher_, follow_ups, actions);
  return follow_ups;
}

}  // namespace keelflow
