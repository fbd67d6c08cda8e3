#include "fleet/slow_start_owner.h"

namespace keelflow::fleet {
namespace {

// Maximum fraction of the owner's remaining budget for one lease, so that some is left for the next
// request.
constexpr double kMaxBudgetFraction = 0.5;

// Request numbers start again at 1 in each incarnation of the requester. A later incarnation is
// newer whatever the number.
bool is_newer(const SlowStartMessage& request, const GrantedLease& last) {
  if (request.requester_incarnation != last.requester_incarnation)
    return request.requester_incarnation > last.requester_incarnation;
  return request.number > last.number;
}

}  // namespace

void SlowStartOwner::on_request(scheduler::Time now, double lease_length_ms, int requester,
                                const SlowStartMessage& request, double own_budget_ms,
                                EndpointLease& lease, SlowStartOutput out) {
  GrantedLease& last = lease.granted[requester];
  if (!is_newer(request, last))
    return;
  std::uint32_t work_ms = std::min(request.work_ms, whole_ms(own_budget_ms * kMaxBudgetFraction));
  if (work_ms < request.least_work_ms || work_ms == 0) {
    ++statistics_.denied;
    return;
  }
  last = {.requester_incarnation = request.requester_incarnation,
          .number = request.number,
          .work_ms = static_cast<double>(work_ms),
          .until = now + (1 + kMaxClockDrift) * lease_length_ms,
          .is_returned = false};
  ++statistics_.granted;
  out.notifications.emplace_back(scheduler::SlowStartGrant{
      lease.entry.endpoint, lease.entry.started_at, last.work_ms, last.until, false});
  SlowStartMessage grant = request;
  grant.kind = SlowStartMessage::Kind::grant;
  grant.endpoint = lease.entry.endpoint;
  grant.work_ms = work_ms;
  grant.least_work_ms = 0;
  out.actions.emplace_back(scheduler::SendPeerMessage{requester, encode(grant)});
}

void SlowStartOwner::on_return(int requester, const SlowStartMessage& message, EndpointLease& lease,
                               SlowStartOutput out) {
  auto found = lease.granted.find(requester);
  if (found == lease.granted.end())
    return;
  GrantedLease& granted = found->second;
  bool is_of_this_lease = granted.requester_incarnation == message.requester_incarnation &&
                          granted.number == message.number;
  if (granted.is_returned || !is_of_this_lease)
    return;
  granted.is_returned = true;
  ++statistics_.returned;
  double work_ms = std::min<double>(message.work_ms, granted.work_ms);
  out.notifications.emplace_back(scheduler::SlowStartGrant{
      lease.entry.endpoint, lease.entry.started_at, -work_ms, granted.until, false});
}

}  // namespace keelflow::fleet
