/// Applies the entries of endpoint lists, subsets and slow-start shares to the state of each
/// endpoint.
#include "scheduler/endpoint_list_tracker.h"

#include <algorithm>

namespace keelflow::scheduler {
namespace {

// Polls are delayed at random. The range of the delay grows with the number of dispatchers and with
// failures, up to this fraction of `poll_within_ms`.
constexpr double kMaxPollSpreadFraction = 0.2;
constexpr double kSpreadPerDispatcherMs = 40;
constexpr double kInitialPollBackoffMs = 200;

}  // namespace

void EndpointListTracker::on_list(const EndpointList& list) {
  if (list.scope == ListScope::failed) {
    is_subscribed_ = false;
    is_polling_ = false;
    return schedule_poll();
  }
  if (list.scope != ListScope::cached) {
    is_subscribed_ = true;
    is_polling_ = false;
    poll_backoff_ms_ = 0;
  }
  if (list.scope != ListScope::delta)
    remove_missing(list);
  for (const EndpointEntry& entry : list.entries)
    apply(entry);
  if (list.scope == ListScope::cached)
    schedule_poll();
}

void EndpointListTracker::remove_missing(const EndpointList& complete) {
  std::set<EndpointId> missing = endpoints_.listed();
  for (const EndpointEntry& entry : complete.entries)
    missing.erase(entry.endpoint);
  for (EndpointId id : missing)
    endpoints_.remove(id);
}

bool EndpointListTracker::is_same_incarnation(const EndpointEntry& entry) const {
  if (!endpoints_.is_listed(entry.endpoint))
    return false;
  const EndpointEntry& known = endpoints_.at(*endpoints_.find(entry.endpoint)).entry;
  return known.started_at == entry.started_at && known.zone == entry.zone &&
         known.kind == entry.kind && known.cell == entry.cell;
}

void EndpointListTracker::apply(const EndpointEntry& entry) {
  const Settings& settings = environment_.settings;
  bool has_known_zone_and_kind = entry.zone >= 0 && entry.zone < settings.zones &&
                                 entry.kind >= 0 && entry.kind < settings.kinds;
  if (entry.state == EndpointState::gone || !has_known_zone_and_kind)
    return endpoints_.remove(entry.endpoint);
  EndpointSlot slot = is_same_incarnation(entry) ? *endpoints_.find(entry.endpoint) : add(entry);
  endpoints_.set_state(slot, entry.state);
  availability_.refresh(slot);
}

EndpointSlot EndpointListTracker::add(const EndpointEntry& entry) {
  endpoints_.remove(entry.endpoint);  // removes a previous incarnation
  EndpointSlot slot = endpoints_.add(entry);
  health_.reset(slot);
  peer_load_.reset(slot);
  statistics_.reset(slot, entry.kind);
  slow_start_.reset(slot);
  subset_.reset(slot);
  // A warmed-up endpoint belongs to other subsets than one that is warming up.
  if (slow_start_.is_warming_up(slot))
    environment_.timers.add(entry.started_at + environment_.settings.slow_start_ms,
                            TimerPurpose::reindex, entry.endpoint);
  return slot;
}

void EndpointListTracker::on_subset(const SubsetChanged& event) {
  double own = 0;
  for (const SubsetEntry& entry : event.endpoints) {
    own += entry.is_own ? 1 : 0;
    auto slot = endpoints_.find(entry.endpoint);
    if (!slot)
      continue;
    subset_.set(*slot, entry);
    availability_.refresh(*slot);
  }
  double all = static_cast<double>(event.endpoints.size());
  subset_.set_fraction_and_sharing(own / std::max(1.0, all), event.shares_load);
}

void EndpointListTracker::on_slow_start_shares(const SlowStartShares& event) {
  for (const SlowStartShare& share : event.endpoints) {
    auto slot = endpoints_.find(share.subset.endpoint);
    if (!slot || endpoints_.at(*slot).entry.started_at != share.started_at)
      continue;
    subset_.set_warming_up(*slot, share.subset);
    slow_start_.set_budget_fraction(*slot, share.fraction);
    availability_.refresh(*slot);
  }
}

void EndpointListTracker::on_slow_start_grant(const SlowStartGrant& grant) {
  auto slot = endpoints_.find(grant.endpoint);
  if (!slot || endpoints_.at(*slot).entry.started_at != grant.started_at)
    return;
  slow_start_.on_grant(*slot, grant);
}

void EndpointListTracker::schedule_poll() {
  const Settings& settings = environment_.settings;
  if (!settings.polls_list)
    return;
  double max_spread_ms = kMaxPollSpreadFraction * settings.poll_within_ms;
  double spread = std::min(max_spread_ms,
                           kSpreadPerDispatcherMs * (settings.dispatchers - 1) + poll_backoff_ms_);
  poll_backoff_ms_ = std::min(max_spread_ms, 2 * poll_backoff_ms_ + kInitialPollBackoffMs);
  environment_.timers.add(environment_.now + spread * environment_.random(),
                          TimerPurpose::poll_list);
}

void EndpointListTracker::on_poll_timer() {
  if (is_subscribed_ || is_polling_)
    return;
  is_polling_ = true;
  environment_.emit_action(PollEndpointList{});
}

}  // namespace keelflow::scheduler
