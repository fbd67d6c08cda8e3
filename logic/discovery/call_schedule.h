/// \file
/// Decides when a process calls discovery to open its watch.
///
/// The interval to the next call is counted from the start of the previous call, so that neither a
/// hanging nor a rejected call delays the next one. Several calls may be open simultaneously, and
/// the first that returns a list becomes the watch. While a call is open, the next one starts only
/// after discovery's own limit for waiting callers, because a service that handles its callers in
/// sequence drops a process's first call from its queue when a second one arrives. If all processes
/// called again too early, none would be served.
///
/// The schedule only determines how soon a process has the list again. The lease (list_lease.h)
/// ensures that no request is sent according to an outdated list, for any size of the fleet.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace keelflow::discovery {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// The platform regards a change of the list as received once this time has passed since discovery
/// had the change and was reachable.
constexpr Duration kListDeadline = std::chrono::seconds(6);
/// The longest time without data on an open watch. Discovery writes every 2 s; 250 ms are added for
/// delays.
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(2250);

/// The settings that choose the intervals between calls.
struct CallPolicy {
  bool pushed = false;  ///< the platform pushes lists to an agent on this machine, so a call
                        ///< is cheap
  int processes = 1;    ///< the number of processes that call the same discovery
};

/// The intervals between the starts of two calls, and the delay of the first call. All durations
/// are upper limits.
struct CallPace {
  Duration first;  ///< after a lost watch; spreads the calls of processes that lost it together
  Duration while_waiting;      ///< while another call is open
  Duration after_failure;      ///< while no call is open
  std::size_t max_open_calls;  ///< when reached, the oldest call is ended before the next starts

  /// The intervals for these settings.
  static CallPace of(const CallPolicy& policy);
};

/// Computes the time of the next call. Does no I/O: the caller passes the time and random numbers
/// (`draw`), distributed uniformly from 0 to 1. Its functions return no errors; not thread-safe.
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
  /// A call has become the watch. No call is due until the watch is lost.
  void watch_established();

  /// When the next call is due if `open_calls` calls stay open until then. Empty if there is a
  /// watch.
  std::optional<TimePoint> next_call(std::size_t open_calls) const;
  std::size_t max_open_calls() const { return pace_.max_open_calls; }

 private:
  CallPace pace_;
  bool needs_watch_ = false;
  std::optional<TimePoint> last_began_;  // start of the last call since the watch was lost
  TimePoint first_due_{};
  double jitter_ = 1;
};

}  // namespace keelflow::discovery
