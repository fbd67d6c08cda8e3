/// Subsetting: which endpoints each dispatcher sends to. The result depends only on the members and
/// the endpoint list, so that dispatchers with the same view compute the same subsets. Pure.
///
/// Every pair of a dispatcher and an endpoint has a score from a hash common to all nodes. The
/// pairs with the lowest scores are taken in several passes, the same number for each dispatcher:
/// first a few for each dispatcher; then only at endpoints with fewer dispatchers than the mean;
/// then the rest, with a limit above the mean and finally without one. Without the first pass a
/// change moves nearly all pairs; without the second some endpoints have too few dispatchers.
/// docs/design/fleet.md has the figures.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// Returns, by index in `endpoints`, the numbers of the dispatchers that have the endpoint in their
/// subset, in ascending order. `subset_size`: number of endpoints for each dispatcher.
std::vector<std::vector<int>> subsets(const std::vector<scheduler::EndpointId>& endpoints,
                                      const std::vector<int>& dispatchers, int subset_size);

/// Whether dispatchers with a common endpoint send one another load updates about it: if messages
/// between them are allowed and there are so many dispatchers that none can determine the load
/// alone.
bool shares_load(bool peers, int dispatchers);

/// Minimum number of endpoints in the subset of each dispatcher, if there are enough.
double desired_subset_size(bool peers, int dispatchers);

/// Number of dispatchers that have an endpoint in their subset, on average.
int dispatchers_per_endpoint(double desired_size, int dispatchers, int endpoints);

/// Number of endpoints in the subset of each dispatcher, chosen so that each endpoint is in one
/// subset more than the desired size requires.
int endpoints_per_dispatcher(double desired_size, int dispatchers, int endpoints);

/// Notifies one Dispatcher of the subsets of all endpoints on its list. Owns the last notification.
///
/// An event costs only what it changes; computing the subsets costs work for each pair of a
/// dispatcher and an endpoint. A caller that has many events therefore applies them all and
/// computes the subsets once, `update_pause_ms` after the last time: the subsets are a preference,
/// and which endpoints may be used at all does not depend on them.
class Subsets {
 public:
  explicit Subsets(const scheduler::Settings& settings);

  /// To be called right after each event that the Dispatcher has handled. Returns whether the
  /// subsets have changed with it.
  bool apply(const scheduler::Event& event);
  /// Computes the subsets. Returns the event to pass to the Dispatcher next.
  const scheduler::SubsetChanged& update();
  /// `apply`, and `update` if the subsets changed.
  std::optional<scheduler::SubsetChanged> after(const scheduler::Event& event);
  /// Minimum time from one update to the next, so that updates take a small part of one core
  /// whatever the size of the fleet.
  double update_pause_ms() const;
  const scheduler::SubsetChanged& last_notification() const { return last_notification_; }

 private:
  bool apply_list(const scheduler::EndpointList& list);
  static bool apply_entries(const scheduler::EndpointList& list,
                            std::set<scheduler::EndpointId>& endpoints);
  bool apply_members(const scheduler::MembershipChanged& members);
  bool apply_settings(const scheduler::Settings& settings);
  scheduler::SubsetChanged assign() const;

  int dispatchers_;
  int self_;
  bool peers_;                  ///< dispatchers may send one another messages
  std::vector<bool> is_alive_;  ///< indexed by dispatcher
  std::set<scheduler::EndpointId> endpoints_;
  scheduler::SubsetChanged last_notification_;
};

}  // namespace keelflow::fleet
