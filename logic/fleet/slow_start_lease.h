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

/// Maximum relative drift between the clocks of two dispatchers. The owner extends a lease by this
/// fraction, so that the lease ends later at the owner than at the borrower.
constexpr double kMaxClockDrift = 0.1;

/// A lease's length in overload windows. A longer lease would block budget for longer when a
/// message is lost.
constexpr double kLeaseLengthInWindows = 0.25;

/// The lease that this dispatcher holds on another dispatcher's part; one at a time.
struct BorrowedLease {
  std::uint32_t number = 0;  ///< of the last request
  int owner = -1;            ///< the dispatcher that received the last request; -1: none yet
  scheduler::Time requested_at = -1e18;
  scheduler::Time until = 0;       ///< 0: no lease is held
  bool is_awaiting_reply = false;  ///< whether the owner has yet to reply
};

/// The last lease on its own part that this dispatcher granted to one other dispatcher.
struct GrantedLease {
  std::uint32_t requester_incarnation = 0;
  std::uint32_t number = 0;  ///< of the request; increases within an incarnation
  double work_ms = 0;
  scheduler::Time until = 0;  ///< by the owner's clock, including kMaxClockDrift
  bool is_returned = true;
};

/// The state of all leases at one endpoint.
struct EndpointLease {
  scheduler::EndpointEntry entry;
  std::vector<int> order;  ///< all dispatchers, as returned by order_at()
  int place = 0;           ///< index of this dispatcher in `order`
  bool in_subset = false;  ///< this dispatcher may send to the endpoint
  /// This dispatcher's fraction of the slow-start budget, as last sent to the Dispatcher; -1: none.
  double last_notified_fraction = -1;
  BorrowedLease borrowed;  ///< changed only by SlowStartBorrower
  /// Indexed by borrowing dispatcher; changed only by SlowStartOwner.
  std::map<int, GrantedLease> granted;
};

/// Counters of this dispatcher as a borrower and as an owner.
struct SlowStartStatistics {
  std::uint64_t requested = 0;
  std::uint64_t obtained = 0;
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;
  std::uint64_t returned = 0;  ///< leases granted here whose unused rest was returned
  std::uint64_t late = 0;      ///< grants that arrived after the lease's end
  SlowStartStatistics& operator+=(const SlowStartStatistics& other);
};

/// Destinations for the results of an event.
struct SlowStartOutput {
  std::vector<scheduler::Event>& notifications;  ///< for the Dispatcher
  scheduler::Actions& actions;                   ///< messages to other dispatchers
};

/// Rounds work down to whole milliseconds, the unit in messages.
inline std::uint32_t whole_ms(double work_ms) {
  constexpr double kMaxWorkMs = 1e9;
  return static_cast<std::uint32_t>(std::clamp(std::floor(work_ms), 0.0, kMaxWorkMs));
}

}  // namespace keelflow::fleet
