/// Subsetting: which endpoints each dispatcher sends to, from the members and the endpoint list
/// alone, so the same at every dispatcher that sees the same. Pure.
///
/// Every pair of a dispatcher and an endpoint has a score by a hash that all share. The best pairs
/// are taken, each dispatcher with exactly as many as the others, in several passes: a few for each
/// wherever they fall; then only at endpoints that have fewer than the mean; then what is left, at
/// endpoints that have at most one too many. Without the first pass a change moves nearly
/// everything, without the second some endpoints stay short: docs/design/fleet.md has the figures.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// By place in `endpoints`: the numbers of the dispatchers that have it in their subset, in rising
/// order. `subset_size`: endpoints for each dispatcher.
std::vector<std::vector<int>> subsets(const std::vector<scheduler::EndpointId>& endpoints,
                                      const std::vector<int>& dispatchers, int subset_size);

/// Whether dispatchers that have an endpoint in common send one another load updates on it: where
/// messages are allowed and there are too many dispatchers for each to know it alone.
bool shares_load(bool peers, int dispatchers);

/// Endpoints that each dispatcher has in its subset at least, if there are enough.
double desired_subset_size(bool peers, int dispatchers);

/// Dispatchers that have one endpoint in their subsets, on average.
int dispatchers_per_endpoint(double desired_size, int dispatchers, int endpoints);

/// Endpoints in the subset of each dispatcher: so that an endpoint is in one subset more than would
/// give everyone the desired size.
int endpoints_per_dispatcher(double desired_size, int dispatchers, int endpoints);

/// Notifies one Dispatcher of the subsets of all endpoints that it knows, whenever they change.
/// Owns the last notification.
class Subsets {
 public:
  explicit Subsets(const scheduler::Settings& settings);

  /// For each event that the Dispatcher was given, right after it: the event that it is to be given
  /// then, if the subsets changed.
  std::optional<scheduler::SubsetChanged> after(const scheduler::Event& event);
  const scheduler::SubsetChanged& told() const { return last_notification_; }

 private:
  bool apply_list(const scheduler::EndpointList& list);
  bool apply_members(const scheduler::MembershipChanged& members);
  bool apply_settings(const scheduler::Settings& settings);
  scheduler::SubsetChanged assign() const;

  int dispatchers_;
  int self_;
  bool peers_;                  ///< dispatchers may send one another messages
  std::vector<bool> is_alive_;  ///< by dispatcher
  std::set<scheduler::EndpointId> endpoints_;
  scheduler::SubsetChanged last_notification_;
};

}  // namespace keelflow::fleet
