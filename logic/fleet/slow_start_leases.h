/// Division of the slow-start budget of an endpoint that is warming up among the dispatchers
/// by fixed parts and explicit leases, never by inference from other dispatchers' load. Pure.
///
/// For each incarnation of an endpoint, a common hash orders all dispatchers of the configuration.
/// The first few own fixed parts of the work that all dispatchers together may send within a
/// window. The parts add up to the whole budget regardless of membership views and lost messages.
/// An owner may lease some of its own part to another dispatcher for a limited time.
///
/// A dispatcher that starts has no part in endpoints that started before it, until
/// everything that an earlier incarnation of the dispatcher may have sent or granted is out of the
/// window.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "fleet/slow_start_borrower.h"
#include "fleet/slow_start_lease.h"
#include "fleet/slow_start_message.h"
#include "fleet/slow_start_order.h"
#include "fleet/slow_start_owner.h"
#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// Companion of one Dispatcher: notifies it of its parts and leases, and requests and grants leases
/// for it. Owns the leases of all endpoints that are warming up; SlowStartOwner and
/// SlowStartBorrower implement the two sides of a lease.
class SlowStartLeases {
 public:
  using EndpointLease = fleet::EndpointLease;
  using Statistics = SlowStartStatistics;

  /// `started_at`: start time of this process on the Dispatcher's clock.
  SlowStartLeases(const scheduler::Settings& settings, scheduler::Time started_at);

  /// To be called right after each event that the Dispatcher has handled. Appends to
  /// `notifications` the events to pass to the Dispatcher next, and to `out` the messages to send.
  void after(scheduler::Time now, const scheduler::Event& event,
             const scheduler::Dispatcher& dispatcher, std::vector<scheduler::Event>& notifications,
             scheduler::Actions& out);

  /// Enables or disables requesting and granting leases.
  void set_leasing_enabled(bool enabled) { is_enabled_ = enabled; }

  const std::map<scheduler::EndpointId, EndpointLease>& leases() const { return leases_; }
  Statistics statistics() const;
  /// Length of a lease in ms.
  double lease_length_ms() const { return lease_length_ms_; }

 private:
  void apply_settings(const scheduler::Settings& settings);
  void apply_list(const scheduler::EndpointList& list);
  void remove_missing(const scheduler::EndpointList& complete);
  void apply_entry(const scheduler::EndpointEntry& entry);
  EndpointLease make_lease(const scheduler::EndpointEntry& entry) const;
  void rebuild_leases();
  void update_subset_places();
  void notify_fractions(std::vector<scheduler::Event>& notifications);
  bool must_check_all_fractions();
  void add_share_if_changed(EndpointLease& lease, scheduler::SlowStartShares& shares) const;
  void expire(const scheduler::Dispatcher& dispatcher, SlowStartOutput out);
  void request_leases(const scheduler::Dispatcher& dispatcher, SlowStartOutput out);
  void on_message(const scheduler::PeerMessage& message, const scheduler::Dispatcher& dispatcher,
                  SlowStartOutput out);

  int subset_dispatchers() const;
  /// Until then work of an earlier incarnation of this dispatcher may be in the overload window.
  scheduler::Time earlier_incarnation_end() const;
  bool is_warming_up(const scheduler::EndpointEntry& entry) const;
  bool must_wait_for_earlier_incarnation(const EndpointLease& lease) const;
  double fraction_of(const EndpointLease& lease) const;
  /// When a lease that ends at `until` is returned: some time before its end, because a return that
  /// arrives later does not help the owner.
  scheduler::Time return_time(scheduler::Time until) const;
  bool may_lease() const;

  int dispatchers_;
  int self_;
  bool peers_;  ///< dispatchers may send one another messages
  bool has_sibling_process_ = false;
  bool is_enabled_ = true;
  scheduler::Time now_ = 0;
  scheduler::Time started_at_;
  scheduler::Time next_expiry_ = 0;  ///< expire() has nothing to do before it
  double slow_start_ms_;
  double window_ms_;
  double lease_length_ms_;
  std::map<scheduler::EndpointId, scheduler::EndpointEntry>
      endpoints_;  ///< the current endpoint list
  /// Indexed by endpoint that is warming up.
  std::map<scheduler::EndpointId, EndpointLease> leases_;
  int subset_dispatchers_ = 0;  ///< as of the last list, for `in_subset` of the leases
  std::set<scheduler::EndpointId> unnotified_;  ///< leases that were added since the last event
  bool has_changed_fractions_ = false;          ///< of any lease, not only of those added
  bool was_waiting_for_earlier_incarnation_ = true;
  std::vector<bool> is_alive_;  ///< indexed by dispatcher
  SlowStartOwner owner_;
  SlowStartBorrower borrower_;
};

}  // namespace keelflow::fleet
