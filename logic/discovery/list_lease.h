// How long the list of endpoints may be sent by. A list is held under a lease, which is renewed by
// whatever proves that discovery has nothing newer for this process, and by whatever proves that
// discovery cannot be reached. Without either it runs out before the first change that this process
// may have missed counts as received. No timer, pace of calls or size of the fleet enters into it.
// Pure: time is an argument.
#pragma once

#include <optional>

#include "discovery/call_schedule.h"

namespace keelflow::discovery {

struct LeaseTerms {
  bool pushed = false;     // lists are pushed to an agent: without a watch a change counts at once
  Duration drain_grace{};  // after a change counts, in which a send is still no fault
  Duration ask_within{};  // lists asked for: without a watch a change counts this long after it was
                          // made, if that is sooner
};

class ListLease {
 public:
  explicit ListLease(const LeaseTerms& terms) : terms_(terms) {}

  void change(const LeaseTerms& terms) { terms_ = terms; }  // from the next event on

  // Discovery had nothing newer at that moment than what has been received: an object, or a
  // heartbeat after one. The moment must not be later than the one at which it was written.
  void current_as_of(TimePoint when);
  // At that moment discovery took no connection.
  void unreachable_as_of(TimePoint when);
  void watch_closed(
      TimePoint now);  // ended by discovery or the network; silence is no news: see `current_as_of`
  // While there is no watch, discovery has answered a call in whatever way: it is there, and has
  // not told its list yet.
  void answered_without_list(TimePoint now);
  void discovery_moved(TimePoint now);  // by a new configuration
  // The process has just started, or was stopped while its watch was open: what it holds may be of
  // any age.
  void revoke();

  bool valid(TimePoint now) const { return now < until_; }
  TimePoint until() const { return until_; }

 private:
  Duration span() const;

  LeaseTerms terms_;
  std::optional<TimePoint> current_;  // the last proof that the list was complete
  TimePoint until_ = TimePoint::min();
};

}  // namespace keelflow::discovery
