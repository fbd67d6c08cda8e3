// Which pool an endpoint belongs to, and which pool a request goes to. Pure: the time (Unix
// milliseconds, the module's scale) is an argument. What happens within a pool is the module's:
// each pool has a Dispatcher of its own.
//
// A choice is stable. The hash of what a request is about (its object, else its idempotency key,
// else its id) is a point in [0, 1), and a route's pools share that interval by weight. `shift`
// moves one boundary only, so that a larger step adds to what was moved and takes nothing back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routes/key_memory.h"
#include "routes/spec.h"
#include "scheduler/dispatcher.h"

namespace keelflow::routes {

// The platform's names by the module's numbers.
struct NameLists {
  std::vector<std::string> classes, tenants, zones, kinds;
};

struct Query {  // what a request shows of itself
  int class_index = 0, tenant = 0;
  std::string_view path;
  std::uint64_t object = 0;  // zero: none
  std::string_view idempotency_key, id;
  double patience_ms = 0;
};

struct Choice {
  int pool = 0, route = 0;
  bool spilled = false;  // its own pool had nothing fit to serve
  bool kept = false;     // it followed an earlier try of the same keyed request
};

struct Health {  // of one pool, by the list in force
  int ready = 0, warm = 0, draining = 0;
  double warm_share = 0;  // sum of nominal_capacity speed over its warm, ready endpoints
};

struct Timing {  // rule 4's figures, milliseconds
  double slow_start_ms = 0, pool_change_delay_ms = 0;
};

// Names in it that the platform does not have.
std::vector<std::string> unknown_names(const Spec& spec, const NameLists& names);

class Router {
 public:
  using Lists = std::vector<std::pair<int, scheduler::EndpointList>>;  // pool, what its Dispatcher
                                                                       // is to be told

  // `classes` tell which are keyed, and for how long repeats are dropped. The Spec must be without
  // faults.
  Router(Spec spec, NameLists names, std::vector<scheduler::ClassSettings> classes, Timing timing,
         std::size_t key_entries = 16 * 1024);

  // Another Spec takes over. Pools that it names again keep their numbers, and new ones get free
  // numbers: none is used for two names in a node's life. Empty: there are no numbers left
  // (kMostPools in all), nothing is changed. The lists are complete ones, told as cached, for every
  // pool; pools that are no more get an empty one.
  std::optional<Lists> replace(Spec spec, double now_ms);
  bool fits(const Spec& spec) const;  // there are numbers left for it

  // Names that the platform has added, at the end of each list, or given to a class number that
  // nobody uses. To be followed by `replace`.
  void rename(NameLists names, std::vector<scheduler::ClassSettings> classes) {
    names_ = std::move(names);
    classes_ = std::move(classes);
  }

  // Splits what discovery tells. `host` names a endpoint; empty where it is not known (it then
  // keeps its pool).
  Lists split(const scheduler::EndpointList& list,
              const std::function<std::string_view(scheduler::EndpointId)>& host, double now_ms);
  // A cold endpoint that changes pools joins the new one after rest_ms: the new Dispatcher does not
  // know what the old one sent to it, and a cold box must not get both shares. To be called when
  // `next_due` has come.
  Lists due(double now_ms);
  std::optional<double> next_due() const;

  Choice choose(const Query& query, double now_ms);

  // The share of `to` in what the two pools of the route get together, 0 to 1.
  void shift(int route, int from, int to, double share);

  int pool(std::string_view name) const;   // -1: none of that name
  int route(std::string_view name) const;  // -1
  const std::string& pool_name(int pool) const {
    return pool_names_.at(static_cast<std::size_t>(pool));
  }
  int numbers() const { return static_cast<int>(pool_names_.size()); }  // pools, gone ones included
  bool is_current(int pool) const;
  const Spec& spec() const { return spec_; }
  const Health& health(int pool, double now_ms);
  double weight(int route, int pool) const;  // its share of the route's traffic, 0 to 1
  std::uint64_t keys_forgotten() const { return keys_.evicted_live(); }
  int unassigned() const { return unassigned_; }  // endpoints that no pool names

 private:
  std::vector<std::string> numbered_names(
      const Spec& spec) const;  // the names of pools, with those that it adds
  struct Segment {
    int pool;
    double weight, end;  // the part of [0, 1) below `end` and above the one before
  };
  struct Route {
    std::vector<bool> classes, tenants;  // empty: any
    std::vector<std::string> paths;
    std::vector<Segment> segments;
  };
  struct Endpoint {
    scheduler::EndpointEntry entry;
    std::string host;
    int pool = -1;
    double joins_at_ms = 0;  // while > 0: not yet told to its pool
  };

  void compile();
  static void layout_segments(Route& route);
  int pool_for(const Endpoint& endpoint) const;
  bool in_slow_start(const Endpoint& endpoint, double now_ms) const;
  void assign_pool(Endpoint& endpoint, double now_ms);
  bool update_endpoint(scheduler::EndpointEntry entry, std::string_view host, double now_ms);
  Lists complete_list() const;
  scheduler::EndpointList complete_list(int pool) const;
  void recount_health(double now_ms);

  Spec spec_;
  NameLists names_;
  std::vector<scheduler::ClassSettings> classes_;
  Timing timing_;
  PoolByKeyCache keys_;
  std::vector<std::string> pool_names_;
  std::vector<int> pool_numbers_;  // of spec_.pools
  std::vector<Route> routes_;
  std::map<scheduler::EndpointId, Endpoint>
      endpoints_;               // in order, so that the same events give the same lists
  std::vector<Health> health_;  // by pool; counted at changes, and when an endpoint has warmed up
  double next_warm_ms_ = 0;     // the next such moment
  int unassigned_ = 0;
};

// The point in [0, 1) of what a request is about, and the key by which further tries of it are
// known.
double point_of(const Query& query, std::uint64_t seed);
std::uint64_t affinity_key(const Query& query);

}  // namespace keelflow::routes
