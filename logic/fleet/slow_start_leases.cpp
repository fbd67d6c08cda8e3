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

bool same_incarnations(const std::map<scheduler::EndpointId, EndpointEntry>& a,
                       const std::map<scheduler::EndpointId, EndpointEntry>& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](const auto& left, const auto& right) {
           return left.first == right.first && left.second.started_at == right.second.started_at;
         });
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
    if (apply_list(*list))
      rebuild_leases();
    for (auto& [id, lease] : leases_)
      lease.entry = endpoints_.at(id);  // its state may have changed, for example to draining
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

// Returns true if an endpoint was added, removed or restarted.
bool SlowStartLeases::apply_list(const scheduler::EndpointList& list) {
  if (list.scope == scheduler::ListScope::failed)
    return false;
  std::map<scheduler::EndpointId, EndpointEntry> updated;
  if (list.scope == scheduler::ListScope::delta)
    updated = endpoints_;
  for (const EndpointEntry& entry : list.entries) {
    if (entry.state == scheduler::EndpointState::gone)
      updated.erase(entry.endpoint);
    else
      updated[entry.endpoint] = entry;
  }
  bool is_same = same_incarnations(updated, endpoints_);
  endpoints_ = std::move(updated);
  return !is_same;
}

void SlowStartLeases::rebuild_leases() {
  std::erase_if(leases_, [&](const auto& lease) {
    auto listed = endpoints_.find(lease.first);
    return listed == endpoints_.end() || listed->second.started_at != lease.second.entry.started_at;
  });
  int in_subset = subset_dispatchers();
  for (const auto& [id, entry] : endpoints_) {
    if (!is_warming_up(entry))
      continue;
    EndpointLease& lease = leases_[id];
    if (lease.order.size() != is_alive_.size())
      lease.order = order_at(entry, dispatchers_);
    lease.entry = entry;
    auto self = std::find(lease.order.begin(), lease.order.end(), self_);
    lease.place = static_cast<int>(self - lease.order.begin());
    if (bool is_in = lease.place < in_subset; is_in != lease.in_subset) {
      lease.in_subset = is_in;
      lease.last_notified_fraction = -1;
    }
  }
  next_expiry_ = 0;
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
  double granted_ms = peers_ ? (1 + kMaxClockDrift) * lease_length_ms_ : 0;
  return lease.entry.started_at <= started_at_ && now_ < started_at_ + window_ms_ + granted_ms;
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

void SlowStartLeases::notify_fractions(std::vector<Event>& notifications) {
  scheduler::SlowStartShares shares;
  int in_subset = std::min(subset_dispatchers(), dispatchers_);
  for (auto& [id, lease] : leases_) {
    double fraction = fraction_of(lease);
    if (fraction == lease.last_notified_fraction)
      continue;
    lease.last_notified_fraction = fraction;
    scheduler::SlowStartShare share{{id, lease.in_subset, {}}, lease.entry.started_at, fraction};
    for (int place = 0; place < in_subset; ++place)
      if (place != lease.place)
        share.subset.peers.push_back(lease.order[static_cast<std::size_t>(place)]);
    shares.endpoints.push_back(std::move(share));
  }
  if (!shares.endpoints.empty())
    notifications.emplace_back(std::move(shares));
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
