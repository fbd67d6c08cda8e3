#include "discovery/list_lease.h"

#include <algorithm>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

// The longest delay between a process's check of the lease and the write that follows.
constexpr Duration kMaxWriteDelay = 150ms;
// After a new configuration names another discovery, the platform regards its changes as received
// after 4 s.
constexpr Duration kReconfigurationDeadline = 4s;
// The lease ends earlier than necessary by this time, or by the drain grace if that is shorter.
constexpr Duration kMaxGraceReserve = 500ms;

}  // namespace

Duration ListLease::lease_duration() const {
  return kListDeadline - kMaxWriteDelay - std::min(terms_.drain_grace, kMaxGraceReserve);
}

void ListLease::current_as_of(TimePoint when) {
  last_proof_ = std::max(last_proof_.value_or(when), when);
  expires_at_ = std::max(expires_at_, when + lease_duration());
}

void ListLease::unreachable_as_of(TimePoint when) {
  expires_at_ = std::max(expires_at_, when + lease_duration());
}

// With pushed lists, a change counts as received as soon as the agent has it.
void ListLease::answered_without_list(TimePoint now) {
  if (!terms_.pushed)
    return;
  Duration grace = std::max(Duration::zero(), terms_.drain_grace - kMaxWriteDelay);
  expires_at_ = std::min(expires_at_, now + grace);
}

void ListLease::watch_closed(TimePoint now) {
  answered_without_list(now);
  if (!terms_.pushed && last_proof_)
    expires_at_ =
        std::min(expires_at_, std::max(now, *last_proof_ + terms_.poll_deadline - kMaxWriteDelay));
}

void ListLease::discovery_moved(TimePoint now) {
  expires_at_ = std::min(expires_at_, now + kReconfigurationDeadline - kMaxWriteDelay);
}

void ListLease::revoke() {
  last_proof_.reset();
  expires_at_ = TimePoint::min();
}

}  // namespace keelflow::discovery
