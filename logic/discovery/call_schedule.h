/// \file
/// When a process calls discovery to open its watch.
///
/// Whatever becomes of a call, the next one starts at an interval counted from the start of the
/// call before, so that neither a call that hangs nor one that is rejected delays it. Several calls
/// may be open at once, and the first that brings a list becomes the watch. An open call is left
/// alone for longer than discovery lets its callers wait: a service that handles its callers in
/// sequence gives the place of the first call away when a second one arrives, and if all processes
/// did that none would be served.
///
/// The schedule decides only how quickly a process has the list again. That no request is sent by
/// an old list is the responsibility of the lease (list_lease.h), for any size of the fleet.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace keelflow::discovery {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// The platform regards a change of the list as received this long after discovery had it and could
/// be reached.
constexpr Duration kListDeadline = std::chrono::seconds(6);
/// The longest silence on an open watch. Discovery writes to it every 2 s; 250 ms are for delay.
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(2250);

/// The settings that choose the intervals between calls.
struct CallPolicy {
  bool pushed = false;  ///< lists are pushed to an agent on this machine: a call to it costs little
  int processes = 1;    ///< the number of processes that call the same discovery
};

/// The intervals between the starts of two calls, and the delay of the first. All are upper limits.
struct CallPace {
  Duration first;          ///< after a watch was lost; spreads processes that lost theirs together
  Duration while_waiting;  ///< while another call is open
  Duration after_failure;  ///< while none is open
  std::size_t max_open_calls;  ///< at once; the oldest is ended to make way for the next

  static CallPace of(const CallPolicy& policy);
};

/// Computes the time of the next call. Does no I/O: the caller passes the time, and random numbers
/// (`draw`) that are uniform from 0 to 1. Reports no errors; not thread-safe.
class CallSchedule {
 public:
  explicit CallSchedule(const CallPolicy& policy) : pace_(CallPace::of(policy)) {}

  /// Takes effect with the next call of `next_call`.
  void change(const CallPolicy& policy) { pace_ = CallPace::of(policy); }

  /// There is no watch: it was lost, or the process has just started.
  void watch_lost(TimePoint now, double draw);
  /// The address of discovery has changed: the next call is due at `now`.
  void call_now(TimePoint now);
  void call_began(TimePoint now, double draw);
  /// A call has become the watch: none is due until it is lost.
  void watch_established();

  /// When the next call is due, with `open` calls open until then. Empty: there is a watch.
  std::optional<TimePoint> next_call(std::size_t open) const;
  std::size_t max_open_calls() const { return pace_.max_open_calls; }

 private:
  CallPace pace_;
  bool needs_watch_ = false;
  std::optional<TimePoint> last_began_;  // of the calls since the watch was lost
  TimePoint first_due_{};
  double jitter_ = 1;
};

}  // namespace keelflow::discovery
