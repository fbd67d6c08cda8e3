/// Who may send how much to an endpoint that is warming up (rule 4): leased, never inferred. Pure.
///
/// Each incarnation of an endpoint orders all dispatchers of the configuration by a hash that all
/// share. The first few own fixed parts of what all together may send it within a window; the parts
/// add up to the whole whatever anyone believes or receives. An owner may lease some of its own
/// part to another dispatcher for a while.
///
/// A dispatcher that starts has no part in endpoints that started before it, until all that a
/// former incarnation of it may have sent or granted is out of the window.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "fleet/slow_start_borrower.h"
#include "fleet/slow_start_lease.h"
#include "fleet/slow_start_message.h"
#include "fleet/slow_start_order.h"
#include "fleet/slow_start_owner.h"
#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// Stands beside one Dispatcher: notifies it of its parts and of leases, and requests and grants
/// leases for it. Owns the leases of all endpoints that are warming up; the two sides of a lease
/// are SlowStartOwner's and SlowStartBorrower's.
class SlowStartLeases {
 public:
  using EndpointLease = fleet::EndpointLease;
  using Statistics = SlowStartStatistics;

  /// `started_at`: when this process did, on the Dispatcher's clock.
  SlowStartLeases(const scheduler::Settings& settings, scheduler::Time started_at);

  /// For each event that the Dispatcher was given, right after it. `notifications`: the events that
  /// it is to be given then; `out`: messages to send.
  void after(scheduler::Time now, const scheduler::Event& event,
             const scheduler::Dispatcher& dispatcher, std::vector<scheduler::Event>& notifications,
             scheduler::Actions& out);

  /// Off: from now on nothing is requested and nothing granted.
  void grants(bool on) { is_enabled_ = on; }

  const std::map<scheduler::EndpointId, EndpointLease>& leases() const { return leases_; }
  Statistics statistics() const;
  /// Of a lease, in ms.
  double length() const { return length_ms_; }

 private:
  void apply_settings(const scheduler::Settings& settings);
  bool apply_list(const scheduler::EndpointList& list);
  void rebuild_leases();
  void notify_fractions(std::vector<scheduler::Event>& notifications);
  void expire(const scheduler::Dispatcher& dispatcher, SlowStartOutput out);
  void request_leases(const scheduler::Dispatcher& dispatcher, SlowStartOutput out);
  void on_message(const scheduler::PeerMessage& message, const scheduler::Dispatcher& dispatcher,
                  SlowStartOutput out);

  int subset_dispatchers() const;
  bool is_warming_up(const scheduler::EndpointEntry& entry) const;
  bool must_wait(const EndpointLease& lease) const;
  double fraction_of(const EndpointLease& lease) const;
  /// When a lease that ends then is given back: a little earlier, as the owner learns nothing from
  /// a return that arrives after the end.
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
  double length_ms_;
  std::map<scheduler::EndpointId, scheduler::EndpointEntry> endpoints_;  ///< the list
  std::map<scheduler::EndpointId, EndpointLease> leases_;                ///< those warming up
  std::vector<bool> is_alive_;                                           ///< by dispatcher
  SlowStartOwner owner_;
  SlowStartBorrower borrower_;
};

}  // namespace keelflow::fleet
