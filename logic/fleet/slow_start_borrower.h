/// The borrower's side of slow-start leases: it requests leases on other dispatchers' parts of the
/// budget, holds at most one lease per endpoint, and returns the unused rest.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/slow_start_lease.h"
#include "fleet/slow_start_message.h"

namespace keelflow::fleet {

/// Owns the numbering of this dispatcher's requests and the record of unresponsive owners.
class SlowStartBorrower {
 public:
  /// `incarnation`: of this dispatcher; greater than in its earlier runs.
  SlowStartBorrower(int self, int dispatcher_count, std::uint32_t incarnation);

  /// Applies changed settings and clears the record of unresponsive owners.
  void reset(int self, int dispatcher_count);

  /// Whether the owner may still reply in time. No further request is sent until then.
  bool has_pending_request(scheduler::Time now, const EndpointLease& lease) const;
  /// Requests a lease at the endpoint if its budget is less than a typical request's work.
  void request_if_needed(scheduler::Time now, scheduler::SlowStartBudget budget,
                         const std::vector<bool>& is_alive, EndpointLease& lease,
                         SlowStartOutput out);
  /// Handles a grant. The lease's length counts from the request by this dispatcher's clock, so it
  /// ends here before it ends at the owner. Returns true if a lease began.
  bool on_grant(scheduler::Time now, double lease_length_ms, int owner,
                const SlowStartMessage& message, EndpointLease& lease, SlowStartOutput out);
  /// Ends the lease and returns the unused rest to its owner.
  void give_back(EndpointLease& lease, double left_ms, SlowStartOutput out);
  const SlowStartStatistics& statistics() const { return statistics_; }

 private:
  void send_request(scheduler::Time now, const scheduler::SlowStartBudget& budget,
                    const std::vector<bool>& is_alive, EndpointLease& lease, SlowStartOutput out);
  int next_owner(scheduler::Time now, const std::vector<bool>& is_alive,
                 const EndpointLease& lease) const;
  SlowStartMessage message_of(SlowStartMessage::Kind kind, const EndpointLease& lease) const;

  int self_;
  int dispatcher_count_;
  std::uint32_t incarnation_;
  std::uint32_t last_number_ = 0;
  /// Indexed by dispatcher. An owner that did not reply is chosen last until this time.
  std::vector<scheduler::Time> unresponsive_until_;
  SlowStartStatistics statistics_;
};

}  // namespace keelflow::fleet
