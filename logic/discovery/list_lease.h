/// \file
/// How long requests may be sent according to the endpoint list that this process has.
///
/// The list is valid under a lease. Each proof that discovery has nothing newer for this process
/// renews the lease, and so does each proof that discovery cannot be reached. Without such a proof
/// the lease expires before the platform regards the first change that this process may have missed
/// as received. The lease depends on no timer, call interval or fleet size.
#pragma once

#include <optional>

#include "discovery/call_schedule.h"

namespace keelflow::discovery {

/// The settings that decide how long a lease runs.
struct LeaseTerms {
  /// Whether the platform pushes lists to an agent on this machine. If so, and this process has no
  /// watch, the platform regards a change as received as soon as the agent has it.
  bool pushed = false;
  /// How long a send is still permitted after the platform regards a change as received.
  Duration drain_grace{};
  /// If lists are polled and this process has no watch, the platform regards a change as received
  /// this long after it was made, or after `kListDeadline` if that is sooner.
  Duration poll_deadline{};
};

/// The lease on the endpoint list. Does no I/O: the caller passes the time. Its functions return no
/// errors; not thread-safe.
class ListLease {
 public:
  explicit ListLease(const LeaseTerms& terms) : terms_(terms) {}

  /// Takes effect with the next event; the current lease is neither extended nor shortened.
  void change(const LeaseTerms& terms) { terms_ = terms; }

  /// At `when` discovery had nothing newer than what this process has received. The proof is an
  /// object, or a heartbeat after one; `when` must not be later than the time at which discovery
  /// wrote it.
  void current_as_of(TimePoint when);
  /// At `when` discovery accepted no connection.
  void unreachable_as_of(TimePoint when);
  /// Discovery or the network closed the watch. Must not be called for a watch that timed out: a
  /// timeout proves nothing, and the lease runs from the last `current_as_of`.
  void watch_closed(TimePoint now);
  /// There is no watch, and discovery has answered a call without sending its list, so it can be
  /// reached.
  void answered_without_list(TimePoint now);
  /// A new configuration has changed the address of discovery.
  void discovery_moved(TimePoint now);
  /// The process has just started, or was suspended while its watch was open, so the age of its
  /// list is unknown.
  void revoke();

  bool valid(TimePoint now) const { return now < expires_at_; }
  TimePoint until() const { return expires_at_; }

 private:
  Duration lease_duration() const;

  LeaseTerms terms_;
  std::optional<TimePoint> last_proof_;  // time of the last proof that the list was current
  TimePoint expires_at_ = TimePoint::min();
};

}  // namespace keelflow::discovery
