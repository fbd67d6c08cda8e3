/// \file
/// How long requests may be sent by the endpoint list that this process has.
///
/// The list is held under a lease. The lease is renewed by every proof that discovery has nothing
/// newer for this process, and by every proof that discovery cannot be reached. Without either it
/// expires before the platform regards the first change that this process may have missed as
/// received. It depends on no timer, call interval or fleet size.
#pragma once

#include <optional>

#include "discovery/call_schedule.h"

namespace keelflow::discovery {

/// The settings that decide how long a lease runs.
struct LeaseTerms {
  bool pushed = false;  ///< lists are pushed to an agent: without a watch a change counts at once
  Duration drain_grace{};    ///< after a change counts, in which a send is still permitted
  Duration poll_deadline{};  ///< lists are polled: without a watch a change counts this long after
                             ///< it was made, if that is sooner than `kListDeadline`
};

/// The lease's state. Does no I/O: the caller passes the time. Reports no errors; not thread-safe.
class ListLease {
 public:
  explicit ListLease(const LeaseTerms& terms) : terms_(terms) {}

  /// Takes effect with the next event; a lease that runs is neither extended nor cut.
  void change(const LeaseTerms& terms) { terms_ = terms; }

  /// At `when` discovery had nothing newer than what this process has received: an object, or a
  /// heartbeat after one. `when` must not be later than the time at which that was written.
  void current_as_of(TimePoint when);
  /// At `when` discovery accepted no connection.
  void unreachable_as_of(TimePoint when);
  /// The watch was ended by discovery or by the network. Not for a watch that timed out: silence
  /// proves nothing, and the lease runs from the last `current_as_of`.
  void watch_closed(TimePoint now);
  /// There is no watch, and discovery has answered a call in some way: it can be reached and has
  /// not sent its list yet.
  void answered_without_list(TimePoint now);
  /// A new configuration has changed the address of discovery.
  void discovery_moved(TimePoint now);
  /// The process has just started, or was stopped while its watch was open: its list may be of any
  /// age.
  void revoke();

  bool valid(TimePoint now) const { return now < expires_at_; }
  TimePoint until() const { return expires_at_; }

 private:
  Duration lease_duration() const;

  LeaseTerms terms_;
  std::optional<TimePoint> last_proof_;  // the last proof that the list was complete
  TimePoint expires_at_ = TimePoint::min();
};

}  // namespace keelflow::discovery
