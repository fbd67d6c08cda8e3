#include "fleet/slow_start_borrower.h"

#include "fleet/slow_start_order.h"

namespace keelflow::fleet {
namespace {

// Milliseconds without a reply after which the request goes to another owner.
constexpr double kReplyTimeoutMs = 60;
// Milliseconds for which an owner that did not reply is chosen only if no other is available.
constexpr double kUnresponsiveMs = 1000;
// Minimum work to request, as a multiple of a typical request's work, so that the lease also covers
// the next request.
constexpr double kMinRequestedTypicals = 2;
// Lease requests cycle through the owners by request number. The number is reduced modulo this
// value first, because the sum is an int.
constexpr int kNumberCycle = 64;

}  // namespace

SlowStartBorrower::SlowStartBorrower(int self, int dispatcher_count, std::uint32_t incarnation)
    : self_(self),
      dispatcher_count_(dispatcher_count),
      incarnation_(incarnation),
      unresponsive_until_(static_cast<std::size_t>(dispatcher_count), -1e18) {}

void SlowStartBorrower::reset(int self, int dispatcher_count) {
  self_ = self;
  dispatcher_count_ = dispatcher_count;
  unresponsive_until_.assign(static_cast<std::size_t>(dispatcher_count), -1e18);
}

bool SlowStartBorrower::has_pending_request(scheduler::Time now, const EndpointLease& lease) const {
  return lease.borrowed.is_awaiting_reply && now - lease.borrowed.requested_at < kReplyTimeoutMs;
}

void SlowStartBorrower::request_if_needed(scheduler::Time now, scheduler::SlowStartBudget budget,
                                          const std::vector<bool>& is_alive, EndpointLease& lease,
                                          SlowStartOutput out) {
  BorrowedLease& borrowed = lease.borrowed;
  if (borrowed.until <= now)
    budget.granted = 0;  // the lease was just returned; the Dispatcher has not been notified yet
  if (budget.total() >= budget.typical)
    return;
  if (borrowed.is_awaiting_reply)
    unresponsive_until_[static_cast<std::size_t>(borrowed.owner)] = now + kUnresponsiveMs;
  if (borrowed.until > now)
    give_back(lease, budget.granted,
              out);  // only one lease at a time, and the rest of this one is too small
  send_request(now, budget, is_alive, lease, out);
}

void SlowStartBorrower::send_request(scheduler::Time now, const scheduler::SlowStartBudget& budget,
                                     const std::vector<bool>& is_alive, EndpointLease& lease,
                                     SlowStartOutput out) {
  int owner = next_owner(now, is_alive, lease);
  if (owner < 0)
    return;
  lease.borrowed.owner = owner;
  lease.borrowed.number = ++last_number_;
  lease.borrowed.requested_at = now;
  lease.borrowed.is_awaiting_reply = true;
  ++statistics_.requested;
  double missing_ms = std::max(1.0, budget.typical - std::max(0.0, budget.own));
  SlowStartMessage request = message_of(SlowStartMessage::Kind::request, lease);
  request.work_ms = whole_ms(std::max(missing_ms, kMinRequestedTypicals * budget.typical));
  request.least_work_ms = whole_ms(std::ceil(missing_ms));
  out.actions.emplace_back(scheduler::SendPeerMessage{owner, encode(request)});
}

bool SlowStartBorrower::on_grant(scheduler::Time now, double lease_length_ms, int owner,
                                 const SlowStartMessage& message, EndpointLease& lease,
                                 SlowStartOutput out) {
  BorrowedLease& borrowed = lease.borrowed;
  if (!borrowed.is_awaiting_reply || message.requester_incarnation != incarnation_ ||
      message.number != borrowed.number || owner != borrowed.owner)
    return false;
  borrowed.is_awaiting_reply = false;
  borrowed.until = 0;
  scheduler::Time until = borrowed.requested_at + lease_length_ms;
  if (now >= until) {
    ++statistics_.late;
    return false;
  }
  if (message.work_ms == 0)
    return false;
  borrowed.until = until;
  ++statistics_.obtained;
  out.notifications.emplace_back(
      scheduler::SlowStartGrant{lease.entry.endpoint, lease.entry.started_at,
                                static_cast<double>(message.work_ms), until, true});
  return true;
}

void SlowStartBorrower::give_back(EndpointLease& lease, double left_ms, SlowStartOutput out) {
  lease.borrowed.until = 0;
  out.notifications.emplace_back(
      scheduler::SlowStartGrant{lease.entry.endpoint, lease.entry.started_at, 0, 0, true});
  if (whole_ms(left_ms) == 0)
    return;
  SlowStartMessage message = message_of(SlowStartMessage::Kind::returned, lease);
  message.work_ms = whole_ms(left_ms);
  out.actions.emplace_back(scheduler::SendPeerMessage{lease.borrowed.owner, encode(message)});
}

// Prefers owners that reply over unresponsive ones. Returns -1 if no other owner is alive.
int SlowStartBorrower::next_owner(scheduler::Time now, const std::vector<bool>& is_alive,
                                  const EndpointLease& lease) const {
  int owners = owner_count(dispatcher_count_);
  int first = static_cast<int>(lease.borrowed.number % kNumberCycle) + self_;
  for (bool unresponsive : {false, true})
    for (int i = 0; i < owners; ++i) {
      int dispatcher = lease.order[static_cast<std::size_t>((first + i) % owners)];
      auto index = static_cast<std::size_t>(dispatcher);
      if (dispatcher == self_ || !is_alive[index])
        continue;
      if ((unresponsive_until_[index] > now) == unresponsive)
        return dispatcher;
    }
  return -1;
}

SlowStartMessage SlowStartBorrower::message_of(SlowStartMessage::Kind kind,
                                               const EndpointLease& lease) const {
  return {.kind = kind,
          .endpoint = lease.entry.endpoint,
          .endpoint_incarnation = incarnation_tag_of(lease.entry),
          .requester_incarnation = incarnation_,
          .number = lease.borrowed.number};
}

}  // namespace keelflow::fleet
