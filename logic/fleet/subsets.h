// Which endpoints each dispatcher has as home: from the members and the list alone, so the same at
// every dispatcher that sees the same. Pure.
//
// Every pair of a dispatcher and an endpoint has a score by a hash that all share. The best pairs
// are taken, each dispatcher with exactly as many as the others, in three passes: a few for each
// wherever they fall; then only at endpoints that have less than their part; then what is left, at
// endpoints that have at most one too many. Without the first pass a change moves nearly
// everything, without the second some endpoints stay short: docs/design/fleet.md has the figures.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

// By place in `endpoints`: the numbers of the dispatchers that are at home there, in rising order.
// `each`: endpoints for each dispatcher.
std::vector<std::vector<int>> subsets(const std::vector<scheduler::EndpointId>& endpoints,
                                      const std::vector<int>& dispatchers, int each);

// Whether those at home at an endpoint tell one another of it: where nodes may talk and are too
// many to know it alone.
bool talks_of_homes(bool peers, int dispatchers);
double wanted_homes(bool peers, int dispatchers);  // home endpoints for each, if there are enough
int homes_at_each(double wanted, int dispatchers,
                  int endpoints);  // dispatchers at home at an endpoint
// How many each has as home: so that an endpoint is home to one more than would give everyone
// `wanted`.
int homes_for_each(double wanted, int dispatchers, int endpoints);

// Tells one Dispatcher who is at home at the endpoints that it knows, whenever that changes.
class Subsets {
 public:
  explicit Subsets(const scheduler::Settings& settings);
  // For each event that the Dispatcher was given, right after it: what it is to be told then.
  std::optional<scheduler::SubsetChanged> after(const scheduler::Event& event);
  const scheduler::SubsetChanged& told() const { return told_; }  // last

 private:
  bool take(const scheduler::EndpointList& list);
  scheduler::SubsetChanged divide() const;

  int dispatchers_, self_;
  bool peers_;
  std::vector<bool> lives_;  // by dispatcher
  std::set<scheduler::EndpointId> endpoints_;
  scheduler::SubsetChanged told_;
};

}  // namespace keelflow::fleet
