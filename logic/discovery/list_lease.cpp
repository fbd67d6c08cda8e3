#include "discovery/list_lease.h"

#include <algorithm>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHeldUp =
    150ms;  // a process may be held up so long between its check and the write
constexpr Duration kMovedWithin = 4s;       // after a new configuration a change counts so soon
constexpr Duration kMostGraceKept = 500ms;  // of the drain's grace, kept as a reserve

}  // namespace

Duration ListLease::span() const {
  return kListDeadline - kHeldUp - std::min(terms_.drain_grace, kMostGraceKept);
}

void ListLease::current_as_of(TimePoint when) {
  current_ = std::max(current_.value_or(when), when);
  until_ = std::max(until_, when + span());
}

void ListLease::unreachable_as_of(TimePoint when) {
  until_ = std::max(until_, when + span());
}

// What an agent has counts at once.
void ListLease::answered_without_list(TimePoint now) {
  if (terms_.pushed)
    until_ = std::min(until_, now + std::max(Duration::zero(), terms_.drain_grace - kHeldUp));
}

void ListLease::watch_closed(TimePoint now) {
  answered_without_list(now);
  if (!terms_.pushed && current_)
    until_ = std::min(until_, std::max(now, *current_ + terms_.ask_within - kHeldUp));
}

void ListLease::discovery_moved(TimePoint now) {
  until_ = std::min(until_, now + kMovedWithin - kHeldUp);
}

void ListLease::revoke() {
  current_.reset();
  until_ = TimePoint::min();
}

}  // namespace keelflow::discovery
