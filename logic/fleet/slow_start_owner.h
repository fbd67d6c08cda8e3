/// The owner's side of slow-start leases: it grants leases of its own part and takes back what was
/// not used.
///
/// The owner counts a lease as sent at its end, which by any clock that drifts less than kDrift is
/// later than the borrower's end. So a lost message wastes a little of the budget and never exceeds
/// it.
#pragma once

#include "fleet/slow_start_lease.h"
#include "fleet/slow_start_message.h"

namespace keelflow::fleet {

/// Stateless but for its counters: what it granted stands in each EndpointLease.
class SlowStartOwner {
 public:
  /// A request of that dispatcher arrived. `own_budget_ms`: what is left of the own part now.
  /// Grants nothing on a request that is repeated or older than the last one.
  void on_request(scheduler::Time now, double lease_length_ms, int requester,
                  const SlowStartMessage& request, double own_budget_ms, EndpointLease& lease,
                  SlowStartOutput out);
  /// That dispatcher returns the rest of a lease. A repeated return counts once.
  void on_return(int requester, const SlowStartMessage& message, EndpointLease& lease,
                 SlowStartOutput out);
  const SlowStartStatistics& statistics() const { return statistics_; }

 private:
  SlowStartStatistics statistics_;
};

}  // namespace keelflow::fleet
