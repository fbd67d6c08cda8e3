/// The owner's side of slow-start leases: it grants leases on its own part and takes back the
/// unused rest.
///
/// The owner counts leased work as sent at the lease's end by its own clock. As long as clocks
/// drift by less than kMaxClockDrift, that is later than the borrower's end. So a lost message
/// wastes some of the budget but never leads to exceeding it.
#pragma once

#include "fleet/slow_start_lease.h"
#include "fleet/slow_start_message.h"

namespace keelflow::fleet {

/// Has no state except its counters; granted leases are stored in each EndpointLease.
class SlowStartOwner {
 public:
  /// Handles a request of another dispatcher. `own_budget_ms`: the rest of this dispatcher's own
  /// part. Ignores a request that is repeated or older than the last granted one.
  void on_request(scheduler::Time now, double lease_length_ms, int requester,
                  const SlowStartMessage& request, double own_budget_ms, EndpointLease& lease,
                  SlowStartOutput out);
  /// Handles the return of the rest of a lease. A repeated return counts once.
  void on_return(int requester, const SlowStartMessage& message, EndpointLease& lease,
                 SlowStartOutput out);
  const SlowStartStatistics& statistics() const { return statistics_; }

 private:
  SlowStartStatistics statistics_;
};

}  // namespace keelflow::fleet
