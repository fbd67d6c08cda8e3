#include "discovery/list_lease.h"

#include <algorithm>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

// The longest delay of a process between its check of the lease and the write that follows.
constexpr Duration kMaxWriteDelay = 150ms;
// The platform regards changes of a discovery named by a new configuration as received after 4 s.
constexpr Duration kReconfigurationDeadline = 4s;
// The lease ends this much earlier than necessary, or the whole drain grace if that is shorter.
constexpr Duration kMaxGraceReserve = 500ms;

}  // namespace

Duration ListLease::span() const {
  return kListDeadline - kMaxWriteDelay - std::min(terms_.drain_grace, kMaxGraceReserve);
}

void ListLease::current_as_of(TimePoint when) {
  current_ = std::max(current_.value_or(when), when);
  until_ = std::max(until_, when + span());
}

void ListLease::unreachable_as_of(TimePoint when) {
  until_ = std::max(until_, when + span());
}

// A change that an agent has counts as received at once.
void ListLease::answered_without_list(TimePoint now) {
  if (!terms_.pushed)
    return;
  Duration grace = std::max(Duration::zero(), terms_.drain_grace - kMaxWriteDelay);
  until_ = std::min(until_, now + grace);
}

void ListLease::watch_closed(TimePoint now) {
  answered_without_list(now);
  if (!terms_.pushed && current_)
    until_ = std::min(until_, std::max(now, *current_ + terms_.ask_within - kMaxWriteDelay));
}

void ListLease::discovery_moved(TimePoint now) {
  until_ = std::min(until_, now + kReconfigurationDeadline - kMaxWriteDelay);
}

void ListLease::revoke() {
  current_.reset();
  until_ = TimePoint::min();
}

}  // namespace keelflow::discovery
