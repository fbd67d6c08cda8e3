#include "fleet/slow_start_order.h"

#include <algorithm>
#include <compare>

#include "fleet/mix.h"

namespace keelflow::fleet {
namespace {

// Number of dispatchers that own parts. With fewer owners much of the budget belongs to owners
// that have no traffic for it; docs/design/fleet.md compares other values.
constexpr int kOwners = 8;

// A dispatcher and its hash score, ordered by score.
struct Scored {
  std::uint64_t score;
  int dispatcher;
  auto operator<=>(const Scored&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

std::uint64_t seed_of(const scheduler::EndpointEntry& endpoint) {
  double started_at_us = std::max(0.0, endpoint.started_at) * 1000;
  return mix(endpoint.endpoint ^ mix(static_cast<std::uint64_t>(started_at_us)));
}

}  // namespace

std::uint32_t incarnation_tag_of(const scheduler::EndpointEntry& endpoint) {
  return static_cast<std::uint32_t>(seed_of(endpoint));
}

std::vector<int> order_at(const scheduler::EndpointEntry& endpoint, int dispatchers) {
  std::uint64_t seed = seed_of(endpoint);
  std::vector<Scored> scored;
  scored.reserve(static_cast<std::size_t>(dispatchers));
  for (int dispatcher = 0; dispatcher < dispatchers; ++dispatcher)
    scored.push_back({mix(seed + static_cast<std::uint64_t>(dispatcher)), dispatcher});
  std::sort(scored.begin(), scored.end());
  std::vector<int> order;
  order.reserve(scored.size());
  for (const Scored& one : scored)
    order.push_back(one.dispatcher);
  return order;
}

int owner_count(int dispatchers) {
  return std::min(kOwners, dispatchers);
}

double fraction_at(int place, int dispatchers) {
  int owners = owner_count(dispatchers);
  return place < owners ? 1.0 / owners : 0;
}

}  // namespace keelflow::fleet
