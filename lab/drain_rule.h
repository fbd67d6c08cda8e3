// When a send to a box that drains, or has been removed from the list, breaks the rule `drain`. The
// rule is stated here once, for the lab and for every test that plays with it:
//
//   A change counts as told to a node once discovery has written it to that node, and in any case 6
//   s after discovery had it and the node could reach discovery, whatever calls failed, were
//   refused or were given up in between. What a watch that fell silent misses counts as told 6 s
//   after it fell silent; a change that discovery had no way to tell when it was made is not among
//   that. From then on the box gets nothing new of that node once the grace is over.
//
// Pure: it is told what happens and keeps no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"

namespace keelflow::lab {

class DrainRule {
 public:
  static constexpr Duration kToldWithin = std::chrono::seconds(6);

  void drained(const std::string& box, TimePoint when);  // it drains, or is removed
  void ready(const std::string& box);
  void reachable(std::size_t node, bool is,
                 TimePoint when);                 // whether that node's calls can come to discovery
  void silent(std::size_t node, TimePoint when);  // its watch says nothing from now on
  void heard(std::size_t node);                   // it has a watch that speaks
  void told(std::size_t node, const std::string& box,
            TimePoint when);  // discovery has written that it is not ready

  // When the box counts as not ready for that node; TimePoint::max() where it does not yet.
  TimePoint counts_as_told(std::size_t node, const std::string& box) const;

 private:
  std::map<std::string, TimePoint> drained_;  // of boxes that are not ready
  std::map<std::pair<std::size_t, std::string>, TimePoint> told_;
  std::map<std::size_t, TimePoint> silent_since_;  // of nodes whose watch is
  struct Outage {
    TimePoint from, to;  // max(): it goes on
  };
  bool made_in_outage(std::size_t node, TimePoint when) const;
  std::map<std::size_t, std::vector<Outage>> outages_;  // of each node's way to discovery, in order
};

}  // namespace keelflow::lab
