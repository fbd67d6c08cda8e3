#include "fleet/subsets.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <utility>

#include "fleet/mix.h"

namespace keelflow::fleet {
namespace {

// Desired number of endpoints in each subset.
constexpr double kDesiredSize = 4;
// The same for dispatchers that share load; docs/operators/fleet.md compares other values.
constexpr double kDesiredSizeSharingLoad = 6;
// Minimum number of dispatchers for sharing load.
constexpr int kLeastSharingDispatchers = 16;
// Number of endpoints that a dispatcher gets in the first pass, by score and limited only by the
// upper bound on an endpoint's dispatchers.
constexpr int kFirstPassPicks = 2;
// Allowed deviation of an endpoint's number of dispatchers below and above the mean. Narrower
// bounds move more pairs at each change. The mean is often a whole or half number; offsets that are
// whole or half numbers would make many endpoints change at the same time when one dispatcher is
// added or removed.
constexpr double kUnderMean = 1.25;
constexpr double kOverMean = 1.75;
// For a mean below this the bounds are narrower by one, because a difference of one dispatcher
// matters more among few.
constexpr double kSmallMean = 4;
// Ratio of candidate pairs, which are sorted, to the pairs that are needed.
constexpr double kCandidateFactor = 5;
// Pause after an update, in milliseconds for each pair of a dispatcher and an endpoint.
constexpr double kPausePerPairMs = 0.001;
// Passing on an endpoint's entry takes as long as this many pairs.
constexpr double kPairsPerEntry = 100;

// A dispatcher and an endpoint with their hash score.
struct Pair {
  std::uint64_t score = 0;
  std::uint32_t dispatcher = 0;  // place in the list
  std::uint32_t endpoint = 0;    // place in the list
  bool is_taken = false;
  auto operator<=>(const Pair& other) const {
    return std::tie(score, dispatcher, endpoint) <=>
           std::tie(other.score, other.dispatcher, other.endpoint);
  }
};

// Returns the maximum score of a candidate pair, chosen so that there are about kCandidateFactor
// times as many candidates as needed pairs.
std::uint64_t candidate_bound(std::size_t endpoints, int subset_size) {
  double fraction =
      std::min(1.0, kCandidateFactor * (subset_size + 2.0) / static_cast<double>(endpoints));
  if (fraction >= 1)
    return ~std::uint64_t{0};
  return static_cast<std::uint64_t>(fraction * 0x1p64);
}

// Returns the candidate pairs, sorted by score. Sorting all pairs would dominate the run time.
std::vector<Pair> best_pairs(const std::vector<scheduler::EndpointId>& endpoints,
                             const std::vector<int>& dispatchers, int subset_size) {
  std::uint64_t bound = candidate_bound(endpoints.size(), subset_size);
  std::vector<Pair> pairs;
  for (std::size_t e = 0; e < endpoints.size(); ++e) {
    std::uint64_t seed = mix(endpoints[e]);
    for (std::size_t d = 0; d < dispatchers.size(); ++d) {
      std::uint64_t score = mix(seed + static_cast<std::uint64_t>(dispatchers[d]));
      if (score <= bound)
        pairs.push_back({score, static_cast<std::uint32_t>(d), static_cast<std::uint32_t>(e)});
    }
  }
  std::sort(pairs.begin(), pairs.end());
  return pairs;
}

}  // namespace

std::vector<std::vector<int>> subsets(const std::vector<scheduler::EndpointId>& endpoints,
                                      const std::vector<int>& dispatchers, int subset_size) {
  std::vector<std::vector<int>> assigned(endpoints.size());
  if (endpoints.empty() || dispatchers.empty())
    return assigned;
  subset_size = std::min(subset_size, static_cast<int>(endpoints.size()));
  double mean_dispatchers_per_endpoint = static_cast<double>(subset_size) *
                                         static_cast<double>(dispatchers.size()) /
                                         static_cast<double>(endpoints.size());
  std::vector<Pair> pairs = best_pairs(endpoints, dispatchers, subset_size);
  std::vector<int> sizes(dispatchers.size());
  auto pass = [&](int most_endpoints, double most_dispatchers) {
    for (Pair& pair : pairs) {
      std::vector<int>& at = assigned[pair.endpoint];
      if (pair.is_taken || sizes[pair.dispatcher] >= most_endpoints ||
          static_cast<double>(at.size()) + 1 > most_dispatchers)
        continue;
      pair.is_taken = true;
      ++sizes[pair.dispatcher];
      at.push_back(dispatchers[pair.dispatcher]);
    }
  };
  double under = mean_dispatchers_per_endpoint < kSmallMean ? kUnderMean - 1 : kUnderMean;
  double over = mean_dispatchers_per_endpoint < kSmallMean ? kOverMean - 1 : kOverMean;
  pass(std::min(kFirstPassPicks, subset_size), mean_dispatchers_per_endpoint + over);
  pass(subset_size, std::max(1.0, mean_dispatchers_per_endpoint - under));
  pass(subset_size, mean_dispatchers_per_endpoint + over);
  pass(subset_size, static_cast<double>(dispatchers.size()));
  for (std::vector<int>& at : assigned)
    std::sort(at.begin(), at.end());
  return assigned;
}

bool shares_load(bool peers, int dispatchers) {
  return peers && dispatchers >= kLeastSharingDispatchers;
}

double desired_subset_size(bool peers, int dispatchers) {
  return shares_load(peers, dispatchers) ? kDesiredSizeSharingLoad : kDesiredSize;
}

int dispatchers_per_endpoint(double desired_size, int dispatchers, int endpoints) {
  if (endpoints == 0)
    return 0;
  double needed = 1 + std::ceil(desired_size * dispatchers / endpoints);
  return static_cast<int>(std::min<double>(dispatchers, needed));
}

int endpoints_per_dispatcher(double desired_size, int dispatchers, int endpoints) {
  if (endpoints == 0)
    return 0;
  int per_endpoint = dispatchers_per_endpoint(desired_size, dispatchers, endpoints);
  double pairs = static_cast<double>(per_endpoint) * endpoints;
  return std::clamp(static_cast<int>(std::lround(pairs / dispatchers)), 1, endpoints);
}

Subsets::Subsets(const scheduler::Settings& settings)
    : dispatchers_(settings.dispatchers),
      self_(settings.rank),
      peers_(settings.peers),
      is_alive_(static_cast<std::size_t>(std::max(1, settings.dispatchers)), true) {}

bool Subsets::apply(const scheduler::Event& event) {
  if (const auto* list = std::get_if<scheduler::EndpointList>(&event))
    return apply_list(*list);
  if (const auto* members = std::get_if<scheduler::MembershipChanged>(&event))
    return apply_members(*members);
  if (const auto* settings = std::get_if<scheduler::SettingsChanged>(&event))
    return apply_settings(settings->settings);
  return false;
}

const scheduler::SubsetChanged& Subsets::update() {
  last_notification_ = assign();
  return last_notification_;
}

std::optional<scheduler::SubsetChanged> Subsets::after(const scheduler::Event& event) {
  if (!apply(event))
    return std::nullopt;
  return update();
}

double Subsets::update_pause_ms() const {
  return kPausePerPairMs * static_cast<double>(endpoints_.size()) * (dispatchers_ + kPairsPerEntry);
}

bool Subsets::apply_list(const scheduler::EndpointList& list) {
  if (list.scope == scheduler::ListScope::failed)
    return false;
  if (list.scope == scheduler::ListScope::delta)
    return apply_entries(list, endpoints_);
  std::set<scheduler::EndpointId> complete;
  apply_entries(list, complete);
  if (complete == endpoints_)
    return false;
  endpoints_ = std::move(complete);
  return true;
}

bool Subsets::apply_entries(const scheduler::EndpointList& list,
                            std::set<scheduler::EndpointId>& endpoints) {
  bool has_changed = false;
  for (const scheduler::EndpointEntry& entry : list.entries) {
    bool is_changed = entry.state == scheduler::EndpointState::gone
                          ? endpoints.erase(entry.endpoint) > 0
                          : endpoints.insert(entry.endpoint).second;
    has_changed = has_changed || is_changed;
  }
  return has_changed;
}

bool Subsets::apply_members(const scheduler::MembershipChanged& members) {
  if (members.is_alive.size() != is_alive_.size() || members.is_alive == is_alive_)
    return false;
  is_alive_ = members.is_alive;
  return true;
}

bool Subsets::apply_settings(const scheduler::Settings& settings) {
  if (settings.dispatchers == dispatchers_ && settings.peers == peers_)
    return false;
  dispatchers_ = settings.dispatchers;
  peers_ = settings.peers;
  is_alive_.assign(static_cast<std::size_t>(dispatchers_), true);
  return true;
}

scheduler::SubsetChanged Subsets::assign() const {
  std::vector<scheduler::EndpointId> endpoints(endpoints_.begin(), endpoints_.end());
  std::vector<int> alive;
  for (int d = 0; d < dispatchers_; ++d)
    if (is_alive_[static_cast<std::size_t>(d)] || d == self_)
      alive.push_back(d);
  // Uses the number of all dispatchers, including dead ones, so that the subsets of the others keep
  // their size.
  int subset_size = endpoints_per_dispatcher(desired_subset_size(peers_, dispatchers_),
                                             dispatchers_, static_cast<int>(endpoints.size()));
  std::vector<std::vector<int>> assigned = subsets(endpoints, alive, subset_size);
  scheduler::SubsetChanged out;
  out.shares_load = shares_load(peers_, dispatchers_);
  for (std::size_t e = 0; e < endpoints.size(); ++e) {
    std::vector<int>& at = assigned[e];
    auto self = std::find(at.begin(), at.end(), self_);
    bool is_own = self != at.end();
    if (is_own)
      at.erase(self);
    out.endpoints.push_back({endpoints[e], is_own, std::move(at)});
  }
  return out;
}

}  // namespace keelflow::fleet
