/// Pools and routes as an operator writes them, with names instead of numbers. node/config creates
/// them; Router compiles them.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace keelflow::routes {

/// Selects a set of endpoints. An endpoint matches if every condition that is given holds; a
/// condition holds if any of its values matches. An endpoint belongs to the first pool that it
/// matches, so to at most one; an endpoint that matches none gets no traffic.
struct PoolSpec {
  std::string name;
  std::vector<std::string> sites, kinds, hosts;  // hosts: prefixes of host names
  std::vector<int> blocks;
};

/// Distributes requests over pools by weight. The first matching route takes a request; the last
/// route must match all requests.
struct RouteSpec {
  std::string name;
  std::vector<std::string> classes, tenants, paths;  // paths: prefixes
  // Pools and their weights. The weights may have any sum above zero.
  std::vector<std::pair<std::string, double>> to;
  // Whether requests that were not yet sent to an endpoint are routed again when weights change.
  bool rehome = false;
};

/// All pools and routes of a configuration.
struct Spec {
  std::vector<PoolSpec> pools;
  std::vector<RouteSpec> routes;
  bool on() const { return !pools.empty(); }
};

/// Returns the faults that can be found without the platform's names: unknown pools, duplicate
/// names, unreachable routes.
std::vector<std::string> faults(const Spec& spec);

inline constexpr std::size_t kMaxPools = 16, kMaxRoutes = 64;

}  // namespace keelflow::routes
