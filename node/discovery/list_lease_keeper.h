/// \file
/// The lease of the endpoint list, which the events of the calls to discovery renew and shorten.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "core/counters.h"
#include "discovery/call_end.h"
#include "discovery/list_lease.h"
#include "net/event_loop.h"

namespace keelflow {

/// The state of the watch at this moment.
struct WatchStatus {
  bool has_watch = false;
  bool is_overdue = false;         ///< its timer is late: the process was suspended meanwhile
  std::size_t open_calls = 0;      ///< the watch included
  std::uint64_t list_version = 0;  ///< the version of the present list
};

/// A call to discovery that has ended.
struct EndedCall {
  discovery::CallEnd how = discovery::CallEnd::closed;
  TimePoint began;
  bool was_watch = false;
};

/// Decides whether requests may be sent by the list: keeps its lease (logic/discovery/list_lease)
/// and reports each change. Only what this process itself receives from discovery, or the kernel's
/// report that discovery accepts no connection, renews the lease: a rejected call may come from an
/// overloaded discovery, which has changes to tell. Not thread-safe. Reports no errors.
class ListLeaseKeeper {
 public:
  /// `watch_status`: asked whenever the lease is computed. `on_lease`: the lease has expired
  /// (false) or runs again (true), so that withheld requests may be sent.
  ListLeaseKeeper(net::EventLoop& loop, Counters& counters,
                  std::function<WatchStatus()> watch_status,
                  std::function<void(bool may_send)> on_lease);
  ~ListLeaseKeeper();
  ListLeaseKeeper(const ListLeaseKeeper&) = delete;
  ListLeaseKeeper& operator=(const ListLeaseKeeper&) = delete;

  void change(const discovery::LeaseTerms& terms);
  /// Recomputes the end of the lease. To be called after each change of the watch or of the calls.
  void update();

  /// Whether requests may be sent by the list at this moment.
  bool may_send();
  /// The list was complete when the watch ended or, with pushed lists, when the watch last
  /// received something. False after a watch for polled lists has timed out: the changes that it
  /// missed are unknown, and a later outage does not make the list complete.
  bool is_list_complete() const { return is_list_complete_; }

  /// The watch has received something that discovery wrote at `written` or later. Calls `update`.
  void proven_current(TimePoint written);
  /// Discovery accepted no connection at `when`. Calls `update`.
  void discovery_unreachable(TimePoint when);
  /// Discovery can be reached and has not sent its list. Calls `update`.
  void answered_without_list();
  /// The address of discovery has changed. Calls `update`.
  void discovery_moved();
  /// Evaluates the end of a call. To be called before the call is removed; `update` has to follow.
  void call_ended(const EndedCall& call);
  /// Ends the lease, because the list may be arbitrarily old. `update` has to follow.
  void revoke();

 private:
  net::EventLoop& loop_;
  Counters& counters_;
  std::function<WatchStatus()> watch_status_;
  std::function<void(bool)> on_lease_;
  discovery::ListLease lease_;
  bool pushed_ = false;
  bool is_list_complete_ = false;
  bool is_running_ = false;    // the state last reported to `on_lease_`
  bool has_withheld_ = false;  // a send was withheld while the lease ran: `on_lease_` is due
  TimerId lease_end_timer_ = 0;
};

}  // namespace keelflow
