/// The borrower's side of slow-start leases: it requests leases of other dispatchers' parts, holds
/// one at a time at an endpoint, and returns what it will not use.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/slow_start_lease.h"
#include "fleet/slow_start_message.h"

namespace keelflow::fleet {

/// Owns the numbering of this dispatcher's requests and whom it found unresponsive.
class SlowStartBorrower {
 public:
  /// `incarnation`: of this dispatcher, greater than that of its former ones.
  SlowStartBorrower(int self, int dispatchers, std::uint32_t incarnation);

  /// The settings changed: whoever did not reply is forgotten.
  void reset(int self, int dispatchers);

  /// The owner may still reply in time: nothing is requested meanwhile.
  bool has_pending_request(scheduler::Time now, const EndpointLease& lease) const;
  /// Requests a lease at the endpoint if the budget there is less than a typical request's work.
  void request_if_needed(scheduler::Time now, scheduler::SlowStartBudget budget,
                         const std::vector<bool>& is_alive, EndpointLease& lease,
                         SlowStartOutput out);
  /// A grant arrived. The lease ends by this dispatcher's clock, counted from the request on: that
  /// is before the owner's end. True: a lease began.
  bool on_grant(scheduler::Time now, double lease_length_ms, int owner,
                const SlowStartMessage& message, EndpointLease& lease, SlowStartOutput out);
  /// Ends the lease and returns what is left of it to its owner.
  void give_back(EndpointLease& lease, double left_ms, SlowStartOutput out);
  const SlowStartStatistics& statistics() const { return statistics_; }

 private:
  void send_request(scheduler::Time now, const scheduler::SlowStartBudget& budget,
                    const std::vector<bool>& is_alive, EndpointLease& lease, SlowStartOutput out);
  int next_owner(scheduler::Time now, const std::vector<bool>& is_alive,
                 const EndpointLease& lease) const;
  SlowStartMessage message_of(SlowStartMessage::Kind kind, const EndpointLease& lease) const;

  int self_;
  int dispatchers_;
  std::uint32_t incarnation_;
  std::uint32_t last_number_ = 0;
  /// By dispatcher: it did not reply, so it is the last choice until then.
  std::vector<scheduler::Time> unresponsive_until_;
  SlowStartStatistics statistics_;
};

}  // namespace keelflow::fleet
