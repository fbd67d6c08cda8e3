// Pools and routes as an operator writes them: names, not yet numbers. Made by node/config,
// compiled by Router.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace keelflow::routes {

// A set of endpoints. All conditions that are given must hold; of one condition any value may. The
// first pool that fits has the endpoint, so that each belongs to exactly one; an endpoint that fits
// none gets no traffic.
struct PoolSpec {
  std::string name;
  std::vector<std::string> sites, kinds, hosts;  // of hosts the beginning of the name
  std::vector<int> blocks;
};

// Sends requests to pools by weight. The first route that fits takes a request; the last one fits
// all.
struct RouteSpec {
  std::string name;
  std::vector<std::string> classes, tenants, paths;  // of paths the beginning
  std::vector<std::pair<std::string, double>> to;  // pool and weight, weights of any sum above zero
  bool rehome =
      false;  // when weights change, requests that no endpoint was sent yet are routed again
};

struct Spec {
  std::vector<PoolSpec> pools;
  std::vector<RouteSpec> routes;
  bool on() const { return !pools.empty(); }
};

// What needs no names of the platform's to be seen: unknown pools, names given twice, routes never
// reached.
std::vector<std::string> faults(const Spec& spec);

inline constexpr std::size_t kMaxPools = 16, kMaxRoutes = 64;

}  // namespace keelflow::routes
