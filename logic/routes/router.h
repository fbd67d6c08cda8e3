/// Assigns endpoints to pools and requests to pools. Performs no I/O and reads no clock: the time
/// (Unix milliseconds, as in the scheduler) is an argument. Each pool has its own Dispatcher, which
/// schedules requests within the pool.
///
/// The choice of a pool is stable. A hash maps each request to a point in [0, 1), and a route's
/// pools divide that interval by weight. The hash is that of the request's object; without an
/// object, of its idempotency key; without either, of its id. `shift` moves only one boundary, so a
/// larger step shifts additional traffic and returns none.
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

/// The platform's names; the index of a name is its number in the scheduler.
struct NameLists {
  std::vector<std::string> classes, tenants, zones, kinds;
};

/// The properties of a request that routing uses.
struct Query {
  int class_index = 0, tenant = 0;
  std::string_view path;
  std::uint64_t object = 0;  // zero: none
  std::string_view idempotency_key, id;
  double remaining_timeout_ms = 0;  // remaining time until the client gives up
};

/// The pool and the route chosen for a request.
struct Choice {
  int pool = 0, route = 0;
  // Sent to another pool, because its own has no ready endpoint or only endpoints in slow start.
  bool spilled = false;
  bool kept = false;  // sent to the pool of an earlier try with the same idempotency key
};

/// The endpoints of one pool by state, according to the endpoint list in force.
struct Health {
  int ready = 0, warm = 0, draining = 0;
  double warm_share = 0;  // sum of nominal_capacity over the warm, ready endpoints
};

/// The durations, in milliseconds, of slow start and of the delay before an endpoint in slow start
/// joins its new pool.
struct Timing {
  double slow_start_ms = 0, pool_change_delay_ms = 0;
};

/// Returns a message for each name in the Spec that the platform does not know.
std::vector<std::string> unknown_names(const Spec& spec, const NameLists& names);

/// Compiles a Spec and applies it to endpoint lists and requests.
class Router {
 public:
  // Pool numbers, each with the list that the pool's Dispatcher must receive.
  using Lists = std::vector<std::pair<int, scheduler::EndpointList>>;

  // `classes` define which requests have idempotency keys, and their deduplication windows. The
  // Spec must have no faults.
  Router(Spec spec, NameLists names, std::vector<scheduler::ClassSettings> classes, Timing timing,
         std::size_t key_entries = 16 * 1024);

  // Replaces the Spec. Pools with a known name keep their numbers and new pools get free numbers; a
  // number is never reused for another name in a node's lifetime. Returns nothing, and changes
  // nothing, if no numbers are left (kMaxPools in total). Otherwise returns a complete list with
  // scope `cached` for every pool; the list of a removed pool is empty.
  std::optional<Lists> replace(Spec spec, double now_ms);
  bool fits(const Spec& spec) const;  // enough pool numbers are left

  // Updates the platform's names after it has appended names to the lists or renamed an unused
  // class number. `replace` must follow.
  void rename(NameLists names, std::vector<scheduler::ClassSettings> classes) {
    names_ = std::move(names);
    classes_ = std::move(classes);
  }

  // Splits an endpoint list received from discovery into one list for each pool. `host` returns the
  // host name of an endpoint, or an empty string if it is unknown; the endpoint then keeps the host
  // name known before.
  Lists split(const scheduler::EndpointList& list,
              const std::function<std::string_view(scheduler::EndpointId)>& host, double now_ms);
  // Returns the new list of each pool that an endpoint joins at `now_ms`; must be called at
  // `next_due`. An endpoint in slow start that changes pools joins its new pool after
  // pool_change_delay_ms, because the new pool's Dispatcher does not know what the old pool's
  // Dispatcher sent to the endpoint, and the endpoint must not get the slow-start shares of both.
  Lists due(double now_ms);
  std::optional<double> next_due() const;

  Choice choose(const Query& query, double now_ms);

  // Sets the share of `to` (0 to 1) in the combined weight of the two pools of the route.
  void shift(int route, int from, int to, double share);

  int pool(std::string_view name) const;   // -1: no such pool
  int route(std::string_view name) const;  // -1: no such route
  const std::string& pool_name(int pool) const {
    return pool_names_.at(static_cast<std::size_t>(pool));
  }
  // Includes removed pools, which keep their numbers.
  int pool_count() const { return static_cast<int>(pool_names_.size()); }
  bool is_current(int pool) const;
  const Spec& spec() const { return spec_; }
  const Health& health(int pool, double now_ms);
  double weight(int route, int pool) const;  // the pool's share of the route's traffic, 0 to 1
  std::uint64_t keys_forgotten() const { return keys_.evicted_before_expiry(); }
  int unassigned() const { return unassigned_; }  // endpoints that match no pool

 private:
  // Returns the pool names by number, with the names that the Spec adds.
  std::vector<std::string> numbered_names(const Spec& spec) const;
  /// A pool's part of [0, 1): from the end of the previous segment to `end`.
  struct Segment {
    int pool;
    double weight, end;
  };
  /// A compiled RouteSpec.
  struct Route {
    std::vector<bool> classes, tenants;  // empty: any
    std::vector<std::string> paths;
    std::vector<Segment> segments;
  };
  /// An endpoint and its pool.
  struct Endpoint {
    scheduler::EndpointEntry entry;
    std::string host;
    int pool = -1;
    double joins_at_ms = 0;  // while > 0: not yet in the list of its pool
  };

  void compile();
  static void layout_segments(Route& route);
  int pool_for(const Endpoint& endpoint) const;
  bool in_slow_start(const Endpoint& endpoint, double now_ms) const;
  void assign_pool(Endpoint& endpoint, double now_ms);
  bool update_endpoint(scheduler::EndpointEntry entry, std::string_view host, double now_ms);
  Lists complete_list() const;
  scheduler::EndpointList complete_list(int pool) const;
  void recount_health_by_state(double now_ms);

  Spec spec_;
  NameLists names_;
  std::vector<scheduler::ClassSettings> classes_;
  Timing timing_;
  PoolByKeyCache keys_;
  std::vector<std::string> pool_names_;
  std::vector<int> pool_numbers_;  // of the pools in spec_.pools
  std::vector<Route> routes_;
  // Ordered, so that the same events produce the same lists.
  std::map<scheduler::EndpointId, Endpoint> endpoints_;
  // Indexed by pool; recounted after changes and when an endpoint's slow start ends.
  std::vector<Health> health_;
  double next_warm_ms_ = 0;  // when the next slow start ends
  int unassigned_ = 0;
};

/// Returns the point in [0, 1) to which a request is mapped: a hash of its object; without an
/// object, of its idempotency key; without either, of its id.
double point_of(const Query& query, std::uint64_t seed);
/// Returns the key by which retries of a request are recognized.
std::uint64_t affinity_key(const Query& query);

}  // namespace keelflow::routes
