// When a process calls discovery to open its watch. Whatever becomes of a call,
// the next one begins at a pace that is counted from the start of the call before, so that neither
// a call that hangs nor one that is refused puts it off. Several calls may be open at once, and the
// first that brings a list is the watch. A call that waits is left alone for longer than a
// discovery lets its callers wait: to one that serves its callers in turn a second call gives up
// the place of the first, and where all do that nobody is served.
//
// The schedule decides how soon a process has the list again, and nothing else: that none is sent
// by an old one is the lease's to see to (list_lease.h), at any size of the fleet. Pure: time and
// chance are arguments.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace keelflow::discovery {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// A change counts as told so long after discovery had it and could be reached.
constexpr Duration kListDeadline = std::chrono::seconds(6);
// Discovery writes something to an open watch every 2 s; one that is silent for longer than this is
// broken.
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(2250);

struct CallPolicy {
  bool pushed =
      false;  // lists are pushed to an agent on this machine: asking it costs nobody anything
  int processes = 1;  // that ask the same discovery
};

// Times between the starts of two calls, and how long the first one is put off. All are upper
// limits.
struct CallPace {
  Duration first;  // after a watch was lost: processes that lost theirs together do not come back
                   // together
  Duration while_waiting;  // while another call is open
  Duration after_failure;  // while none is
  std::size_t most_calls;  // open at once: the oldest is given up for the next one

  static CallPace of(const CallPolicy& policy);
};

class CallSchedule {
 public:
  explicit CallSchedule(const CallPolicy& policy) : pace_(CallPace::of(policy)) {}

  void change(const CallPolicy& policy) { pace_ = CallPace::of(policy); }

  // `draw`: uniform from 0 to 1.
  void watch_lost(TimePoint now, double draw);  // or there was none yet
  void call_now(TimePoint now);                 // discovery has moved
  void call_began(TimePoint now, double draw);
  void watch_established();  // some call has brought a list: no further one until it is lost

  // When the next call is to begin; `open`: calls that are open then. Empty: not before the watch
  // is lost.
  std::optional<TimePoint> next_call(std::size_t open) const;
  std::size_t most_calls() const { return pace_.most_calls; }

 private:
  CallPace pace_;
  bool wanted_ = false;
  std::optional<TimePoint> last_began_;  // of the calls since the watch was lost
  TimePoint first_{};
  double jitter_ = 1;
};

}  // namespace keelflow::discovery
