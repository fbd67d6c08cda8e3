#include "fleet/slow_start_leases.h"

#include <algorithm>
#include <utility>

#include "fleet/subsets.h"

namespace keelflow::fleet {
namespace {

using scheduler::Dispatcher;
using scheduler::EndpointEntry;
using scheduler::Event;

// A lease is returned when less than this fraction of its length remains.
constexpr double kReturnBeforeEndFraction = 0.25;

// Unix milliseconds of the start, truncated to 32 bits: greater than those of earlier incarnations
// until the value wraps around, after weeks.
std::uint32_t incarnation_of(scheduler::Time started_at) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::max(0.0, started_at)));
}

}  // namespace

SlowStartStatistics& SlowStartStatistics::operator+=(const SlowStartStatistics& other) {
  requested += other.requested;
  obtained += other.obtained;
  granted += other.granted;
  denied += other.denied;
  returned += other.returned;
  late += other.late;
  return *this;
}

SlowStartLeases::SlowStartLeases(const scheduler::Settings& settings, scheduler::Time started_at)
    : dispatchers_(std::max(1, settings.dispatchers)),
      self_(settings.rank),
      peers_(settings.peers),
      started_at_(started_at),
      slow_start_ms_(settings.slow_start_ms),
      window_ms_(settings.overload_window_ms),
      lease_length_ms_(kLeaseLengthInWindows * settings.overload_window_ms),
      is_alive_(static_cast<std::size_t>(dispatchers_), true),
      borrower_(self_, dispatchers_, incarnation_of(started_at)) {}

SlowStartLeases::Statistics SlowStartLeases::statistics() const {
  Statistics all = owner_.statistics();
  all += borrower_.statistics();
  return all;
}

void SlowStartLeases::after(scheduler::Time now, const Event& event, const Dispatcher& dispatcher,
                            std::vector<Event>& notifications, scheduler::Actions& out) {
  now_ = std::max(now_, now);
  if (const auto* list = std::get_if<scheduler::EndpointList>(&event)) {
    apply_list(*list);
  } else if (const auto* members = std::get_if<scheduler::MembershipChanged>(&event)) {
    if (members->is_alive.size() == is_alive_.size())
      is_alive_ = members->is_alive;
  } else if (const auto* changed = std::get_if<scheduler::SettingsChanged>(&event)) {
    apply_settings(changed->settings);
  } else if (const auto* sibling = std::get_if<scheduler::SiblingProcess>(&event)) {
    has_sibling_process_ = sibling->is_present;
  } else if (std::holds_alternative<scheduler::LearnedState>(event)) {
    // The learned state includes what the old process sent until now, but not what it granted.
    started_at_ = peers_ ? now_ : -1e18;
    has_changed_fractions_ = true;
  }
  if (leases_.empty())
    return;
  SlowStartOutput output{notifications, out};
  expire(dispatcher, output);
  notify_fractions(notifications);
  if (const auto* message = std::get_if<scheduler::PeerMessage>(&event))
    on_message(*message, dispatcher, output);
  if (std::holds_alternative<scheduler::RequestArrived>(event) && may_lease())
    request_leases(dispatcher, output);
}

void SlowStartLeases::apply_settings(const scheduler::Settings& settings) {
  dispatchers_ = std::max(1, settings.dispatchers);
  self_ = settings.rank;
  peers_ = settings.peers;
  slow_start_ms_ = settings.slow_start_ms;
  window_ms_ = settings.overload_window_ms;
  lease_length_ms_ = kLeaseLengthInWindows * settings.overload_window_ms;
  is_alive_.assign(static_cast<std::size_t>(dispatchers_), true);
  borrower_.reset(self_, dispatchers_);
  rebuild_leases();
}

// The work depends on the number of entries, not on that of all endpoints, unless the list is
// complete.
void SlowStartLeases::apply_list(const scheduler::EndpointList& list) {
  if (list.scope == scheduler::ListScope::failed)
    return;
  if (list.scope != scheduler::ListScope::delta)
    remove_missing(list);
  for (const EndpointEntry& entry : list.entries)
    apply_entry(entry);
  update_subset_places();
}

void SlowStartLeases::remove_missing(const scheduler::EndpointList& complete) {
  std::set<scheduler::EndpointId> listed;
  for (const EndpointEntry& entry : complete.entries)
    listed.insert(entry.endpoint);
  auto is_missing = [&](const auto& element) {
    return !listed.contains(element.first);
  };
  std::erase_if(endpoints_, is_missing);
  std::erase_if(leases_, is_missing);
}

void SlowStartLeases::apply_entry(const EndpointEntry& entry) {
  if (entry.state == scheduler::EndpointState::gone) {
    endpoints_.erase(entry.endpoint);
    leases_.erase(entry.endpoint);
    return;
  }
  endpoints_[entry.endpoint] = entry;
  auto lease = leases_.find(entry.endpoint);
  if (lease != leases_.end() && lease->second.entry.started_at == entry.started_at) {
    lease->second.entry = entry;  // its state may have changed, for example to draining
    return;
  }
  if (lease != leases_.end())
    leases_.erase(lease);  // of a previous incarnation
  if (!is_warming_up(entry))
    return;
  leases_[entry.endpoint] = make_lease(entry);
  unnotified_.insert(entry.endpoint);
}

EndpointLease SlowStartLeases::make_lease(const EndpointEntry& entry) const {
  EndpointLease lease;
  lease.entry = entry;
  lease.order = order_at(entry, dispatchers_);
  auto self = std::find(lease.order.begin(), lease.order.end(), self_);
  lease.place = static_cast<int>(self - lease.order.begin());
  lease.in_subset = lease.place < subset_dispatchers_;
  return lease;
}

// After a change of the settings: the order of the dispatchers may differ.
void SlowStartLeases::rebuild_leases() {
  for (const auto& [id, entry] : endpoints_) {
    if (!is_warming_up(entry))
      continue;
    EndpointLease& lease = leases_[id];
    EndpointLease updated = make_lease(entry);
    if (updated.in_subset != lease.in_subset || lease.order.empty())
      lease.last_notified_fraction = -1;
    lease.entry = entry;
    lease.order = std::move(updated.order);
    lease.place = updated.place;
    lease.in_subset = updated.in_subset;
  }
  update_subset_places();
  has_changed_fractions_ = true;
  next_expiry_ = 0;
}

// The number of dispatchers in an endpoint's subset depends on the number of endpoints.
void SlowStartLeases::update_subset_places() {
  int previous = std::exchange(subset_dispatchers_, subset_dispatchers());
  if (previous == subset_dispatchers_)
    return;
  for (auto& [id, lease] : leases_) {
    bool is_in = lease.place < subset_dispatchers_;
    if (std::exchange(lease.in_subset, is_in) != is_in)
      lease.last_notified_fraction = -1;
  }
  has_changed_fractions_ = true;
}

int SlowStartLeases::subset_dispatchers() const {
  return dispatchers_per_endpoint(desired_subset_size(peers_, dispatchers_), dispatchers_,
                                  static_cast<int>(endpoints_.size()));
}

bool SlowStartLeases::is_warming_up(const EndpointEntry& entry) const {
  return entry.started_at > 0 && now_ < entry.started_at + slow_start_ms_;
}

// Whether work may still be in the overload window that an earlier incarnation sent, or that it
// granted to a borrower that sent it at the lease's end.
bool SlowStartLeases::must_wait_for_earlier_incarnation(const EndpointLease& lease) const {
  return lease.entry.started_at <= started_at_ && now_ < earlier_incarnation_end();
}

scheduler::Time SlowStartLeases::earlier_incarnation_end() const {
  double granted_ms = peers_ ? (1 + kMaxClockDrift) * lease_length_ms_ : 0;
  return started_at_ + window_ms_ + granted_ms;
}

double SlowStartLeases::fraction_of(const EndpointLease& lease) const {
  return must_wait_for_earlier_incarnation(lease) ? 0 : fraction_at(lease.place, dispatchers_);
}

scheduler::Time SlowStartLeases::return_time(scheduler::Time until) const {
  return until - lease_length_ms_ * kReturnBeforeEndFraction;
}

bool SlowStartLeases::may_lease() const {
  return is_enabled_ && peers_ && dispatchers_ > 1 && !has_sibling_process_;
}

// A fraction changes with the settings, with the size of the fleet, when work of an earlier
// incarnation leaves the overload window, or when its lease is added. Only in the last case the
// other leases are left alone.
bool SlowStartLeases::must_check_all_fractions() {
  bool is_waiting = now_ < earlier_incarnation_end();
  bool has_ended = std::exchange(was_waiting_for_earlier_incarnation_, is_waiting) && !is_waiting;
  return std::exchange(has_changed_fractions_, false) || has_ended;
}

void SlowStartLeases::notify_fractions(std::vector<Event>& notifications) {
  scheduler::SlowStartShares shares;
  std::set<scheduler::EndpointId> added = std::exchange(unnotified_, {});
  if (must_check_all_fractions()) {
    for (auto& [id, lease] : leases_)
      add_share_if_changed(lease, shares);
  } else {
    for (scheduler::EndpointId id : added)
      if (auto lease = leases_.find(id); lease != leases_.end())
        add_share_if_changed(lease->second, shares);
  }
  if (!shares.endpoints.empty())
    notifications.emplace_back(std::move(shares));
}

void SlowStartLeases::add_share_if_changed(EndpointLease& lease,
                                           scheduler::SlowStartShares& shares) const {
  double fraction = fraction_of(lease);
  if (fraction == lease.last_notified_fraction)
    return;
  lease.last_notified_fraction = fraction;
  scheduler::SlowStartShare share{
      {lease.entry.endpoint, lease.in_subset, {}}, lease.entry.started_at, fraction};
  int in_subset = std::min(subset_dispatchers_, dispatchers_);
  for (int place = 0; place < in_subset; ++place)
    if (place != lease.place)
      share.subset.peers.push_back(lease.order[static_cast<std::size_t>(place)]);
  shares.endpoints.push_back(std::move(share));
}

// Returns leases that are about to end and removes endpoints that have warmed up.
void SlowStartLeases::expire(const Dispatcher& dispatcher, SlowStartOutput out) {
  if (now_ < next_expiry_)
    return;
  next_expiry_ = now_ + lease_length_ms_;
  for (auto it = leases_.begin(); it != leases_.end();) {
    EndpointLease& lease = it->second;
    if (now_ >= lease.entry.started_at + slow_start_ms_) {
      it = leases_.erase(it);
      continue;
    }
    const BorrowedLease& borrowed = lease.borrowed;
    if (borrowed.until > now_ &&
        borrowed.until - now_ < lease_length_ms_ * kReturnBeforeEndFraction)
      borrower_.give_back(lease, dispatcher.slow_start_budget(it->first, now_).granted, out);
    if (borrowed.until > now_)
      next_expiry_ = std::min(next_expiry_, return_time(borrowed.until));
    ++it;
  }
}

void SlowStartLeases::request_leases(const Dispatcher& dispatcher, SlowStartOutput out) {
  for (auto& [id, lease] : leases_) {
    if (!lease.in_subset || lease.entry.state != scheduler::EndpointState::ready)
      continue;
    if (borrower_.has_pending_request(now_, lease))
      continue;
    borrower_.request_if_needed(now_, dispatcher.slow_start_budget(id, now_), is_alive_, lease,
                                out);
  }
}

void SlowStartLeases::on_message(const scheduler::PeerMessage& message,
                                 const Dispatcher& dispatcher, SlowStartOutput out) {
  auto decoded = decode_slow_start_message(message.bytes);
  if (!decoded || message.peer < 0 || message.peer >= dispatchers_ || message.peer == self_)
    return;
  auto found = leases_.find(decoded->endpoint);
  if (found == leases_.end() ||
      incarnation_tag_of(found->second.entry) != decoded->endpoint_incarnation)
    return;
  EndpointLease& lease = found->second;
  switch (decoded->kind) {
    case SlowStartMessage::Kind::request:
      if (may_lease() && fraction_of(lease) > 0)
        owner_.on_request(now_, lease_length_ms_, message.peer, *decoded,
                          dispatcher.slow_start_budget(decoded->endpoint, now_).own, lease, out);
      return;
    case SlowStartMessage::Kind::returned:
      return owner_.on_return(message.peer, *decoded, lease, out);
    case SlowStartMessage::Kind::grant:
      if (borrower_.on_grant(now_, lease_length_ms_, message.peer, *decoded, lease, out))
        next_expiry_ = std::min(next_expiry_, return_time(lease.borrowed.until));
      return;
  }
}

}  // namespace keelflow::fleet
