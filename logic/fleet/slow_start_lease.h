/// The state of slow-start leases at one endpoint that is warming up, and the settings that both
/// sides of a lease share. Times are Unix milliseconds on the dispatcher's clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// Clocks of two dispatchers may run apart by this fraction: an owner counts a lease as ending
/// later than the borrower does.
constexpr double kDrift = 0.1;

/// A lease's length in overload windows: a longer lease ties up budget longer when a message is
/// lost.
constexpr double kLeaseLengthInWindows = 0.25;

/// The lease that this dispatcher holds of another one's part: one at a time.
struct BorrowedLease {
  std::uint32_t number = 0;  ///< of the last request
  int owner = -1;            ///< to whom that went; -1: none yet
  scheduler::Time requested_at = -1e18;
  scheduler::Time until = 0;       ///< 0: no lease is held
  bool is_awaiting_reply = false;  ///< of the owner
};

/// The last lease that this dispatcher granted to another one of its own part.
struct GrantedLease {
  std::uint32_t requester_incarnation = 0;
  std::uint32_t number = 0;  ///< of the request; they only rise within an incarnation
  double work_ms = 0;
  scheduler::Time until = 0;  ///< by the owner's clock, with kDrift
  bool is_returned = true;
};

/// All that is known of leases at one endpoint.
struct EndpointLease {
  scheduler::EndpointEntry entry;
  std::vector<int> order;               ///< of all dispatchers, as of order_at()
  int place = 0;                        ///< of this dispatcher in it
  bool in_subset = false;               ///< this dispatcher may send there
  double last_notified_fraction = -1;   ///< the Dispatcher was notified of; -1: of none
  BorrowedLease borrowed;               ///< changed by SlowStartBorrower alone
  std::map<int, GrantedLease> granted;  ///< by dispatcher; changed by SlowStartOwner alone
};

/// Counters of both sides since the start.
struct SlowStartStatistics {
  std::uint64_t requested = 0;
  std::uint64_t obtained = 0;
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;
  std::uint64_t returned = 0;  ///< leases granted here of which a part was returned
  std::uint64_t late = 0;      ///< grants that arrived after their end
  SlowStartStatistics& operator+=(const SlowStartStatistics& other);
};

/// Where an event's consequences go.
struct SlowStartOutput {
  std::vector<scheduler::Event>& notifications;  ///< for the Dispatcher
  scheduler::Actions& actions;                   ///< messages to other dispatchers
};

/// Work in whole milliseconds, as messages have it.
inline std::uint32_t whole_ms(double work_ms) {
  constexpr double kMost = 1e9;
  return static_cast<std::uint32_t>(std::clamp(std::floor(work_ms), 0.0, kMost));
}

}  // namespace keelflow::fleet
