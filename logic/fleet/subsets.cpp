#include "fleet/subsets.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

#include "fleet/mix.h"

namespace keelflow::fleet {
namespace {

constexpr double kWanted = 4,
                 kWantedWhereTold =
                     6;  // home endpoints for each dispatcher; where dispatchers talk of them
constexpr int kTellingFleet = 16;  // dispatchers from which on they do
constexpr int kFree = 2;           // of its homes a dispatcher has wherever its best pairs fall
// By how much an endpoint's dispatchers may lie under and over its part. Narrower bounds move more
// at each change, and bounds on whole or half numbers, where parts often lie, would all jump with
// one dispatcher more or less.
constexpr double kUnder = 1.25, kOver = 1.75, kFew = 4;
constexpr double kLooked = 5;  // times as many pairs are looked at as are taken, the best ones

struct Pair {
  std::uint64_t score;
  std::uint32_t dispatcher, endpoint;  // places in the lists
  bool taken = false;
  auto operator<=>(const Pair& o) const {
    return std::tie(score, dispatcher, endpoint) <=> std::tie(o.score, o.dispatcher, o.endpoint);
  }
};

// The best pairs, in order: they are enough, and sorting all would cost most of the time.
std::vector<Pair> best_pairs(const std::vector<scheduler::EndpointId>& endpoints,
                             const std::vector<int>& dispatchers, int each) {
  double share = std::min(1.0, kLooked * (each + 2.0) / static_cast<double>(endpoints.size()));
  auto most = share >= 1 ? ~std::uint64_t{0} : static_cast<std::uint64_t>(share * 0x1p64);
  std::vector<Pair> pairs;
  for (std::size_t w = 0; w < endpoints.size(); ++w) {
    std::uint64_t seed = mix(endpoints[w]);
    for (std::size_t d = 0; d < dispatchers.size(); ++d) {
      std::uint64_t score = mix(seed + static_cast<std::uint64_t>(dispatchers[d]));
      if (score <= most)
        pairs.push_back({score, static_cast<std::uint32_t>(d), static_cast<std::uint32_t>(w)});
    }
  }
  std::sort(pairs.begin(), pairs.end());
  return pairs;
}

}  // namespace

std::vector<std::vector<int>> subsets(const std::vector<scheduler::EndpointId>& endpoints,
                                      const std::vector<int>& dispatchers, int each) {
  std::vector<std::vector<int>> homes(endpoints.size());
  if (endpoints.empty() || dispatchers.empty())
    return homes;
  each = std::min(each, static_cast<int>(endpoints.size()));
  double part = static_cast<double>(each) * static_cast<double>(dispatchers.size()) /
                static_cast<double>(endpoints.size());
  std::vector<Pair> pairs = best_pairs(endpoints, dispatchers, each);
  std::vector<int> has(dispatchers.size());
  auto pass = [&](int most, double bound) {
    for (Pair& p : pairs) {
      if (p.taken || has[p.dispatcher] >= most ||
          static_cast<double>(homes[p.endpoint].size()) + 1 > bound)
        continue;
      p.taken = true;
      ++has[p.dispatcher];
      homes[p.endpoint].push_back(dispatchers[p.dispatcher]);
    }
  };
  // Of a few, one more or less is much.
  double under = part < kFew ? kUnder - 1 : kUnder, over = part < kFew ? kOver - 1 : kOver;
  pass(std::min(kFree, each), part + over);
  pass(each, std::max(1.0, part - under));
  pass(each, part + over);
  pass(each, static_cast<double>(dispatchers.size()));
  for (auto& of : homes)
    std::sort(of.begin(), of.end());
  return homes;
}

bool talks_of_homes(bool peers, int dispatchers) {
  return peers && dispatchers >= kTellingFleet;
}
double wanted_homes(bool peers, int dispatchers) {
  return talks_of_homes(peers, dispatchers) ? kWantedWhereTold : kWanted;
}

int homes_at_each(double wanted, int dispatchers, int endpoints) {
  return endpoints == 0 ? 0
                        : static_cast<int>(std::min<double>(
                              dispatchers, 1 + std::ceil(wanted * dispatchers / endpoints)));
}

int homes_for_each(double wanted, int dispatchers, int endpoints) {
  if (endpoints == 0)
    return 0;
  double all = static_cast<double>(homes_at_each(wanted, dispatchers, endpoints)) * endpoints;
  return std::clamp(static_cast<int>(std::lround(all / dispatchers)), 1, endpoints);
}

Subsets::Subsets(const scheduler::Settings& s)
    : dispatchers_(s.dispatchers),
      self_(s.rank),
      peers_(s.peers),
      lives_(static_cast<std::size_t>(std::max(1, s.dispatchers)), true) {}

std::optional<scheduler::SubsetChanged> Subsets::after(const scheduler::Event& event) {
  if (const auto* list = std::get_if<scheduler::EndpointList>(&event)) {
    if (!take(*list))
      return std::nullopt;
  } else if (const auto* members = std::get_if<scheduler::MembershipChanged>(&event)) {
    if (members->is_alive.size() != lives_.size() || members->is_alive == lives_)
      return std::nullopt;
    lives_ = members->is_alive;
  } else if (const auto* retune = std::get_if<scheduler::SettingsChanged>(&event)) {
    if (retune->settings.dispatchers == dispatchers_ && retune->settings.peers == peers_)
      return std::nullopt;
    dispatchers_ = retune->settings.dispatchers, peers_ = retune->settings.peers;
    lives_.assign(static_cast<std::size_t>(dispatchers_), true);
  } else {
    return std::nullopt;
  }
  return told_ = divide();
}

bool Subsets::take(const scheduler::EndpointList& list) {
  if (list.scope == scheduler::ListScope::failed)
    return false;
  std::set<scheduler::EndpointId> now;
  if (list.scope == scheduler::ListScope::delta)
    now = endpoints_;
  for (const scheduler::EndpointEntry& e : list.entries)
    if (e.state == scheduler::EndpointState::gone)
      now.erase(e.endpoint);
    else
      now.insert(e.endpoint);
  if (now == endpoints_)
    return false;
  endpoints_ = std::move(now);
  return true;
}

scheduler::SubsetChanged Subsets::divide() const {
  std::vector<scheduler::EndpointId> endpoints(endpoints_.begin(), endpoints_.end());
  std::vector<int> living;
  for (int d = 0; d < dispatchers_; ++d)
    if (lives_[static_cast<std::size_t>(d)] || d == self_)
      living.push_back(d);
  // By the number of all: who is left keeps as many as before.
  int each = homes_for_each(wanted_homes(peers_, dispatchers_), dispatchers_,
                            static_cast<int>(endpoints.size()));
  auto homes = subsets(endpoints, living, each);
  scheduler::SubsetChanged out;
  out.shares_load = talks_of_homes(peers_, dispatchers_);
  for (std::size_t w = 0; w < endpoints.size(); ++w) {
    auto self = std::find(homes[w].begin(), homes[w].end(), self_);
    bool home = self != homes[w].end();
    if (home)
      homes[w].erase(self);
    out.endpoints.push_back({endpoints[w], home, std::move(homes[w])});
  }
  return out;
}

}  // namespace keelflow::fleet
