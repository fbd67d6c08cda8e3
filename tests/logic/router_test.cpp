/// Tests of Router, the faults of a Spec and PoolByKeyCache.
#include "routes/router.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>
#include <set>

namespace keelflow::routes {
namespace {

using scheduler::EndpointEntry;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::ListScope;

constexpr double kSlowStartMs = 20'000, kPoolChangeDelayMs = 2'000;
const NameLists kNames{
    {"price", "hold", "sale"}, {"river", "main"}, {"east", "west"}, {"fast", "slow"}};

std::vector<scheduler::ClassSettings> classes() {
  std::vector<scheduler::ClassSettings> out(3);
  out[1].idempotency = scheduler::Idempotency::idempotent_with_key;
  out[1].deduplication_window_ms = 5000;
  out[2].idempotency = scheduler::Idempotency::non_idempotent;
  return out;
}

Spec two_pools(double old_weight, double new_weight) {
  Spec spec;
  spec.pools = {{"new", {}, {}, {"n"}, {}}, {"old", {}, {}, {}, {}}};
  spec.routes = {{"all", {}, {}, {}, {{"old", old_weight}, {"new", new_weight}}, false}};
  return spec;
}

/// Endpoints with their host names, applied to a Router as one endpoint list.
struct Fleet {
  std::map<scheduler::EndpointId, std::string> names;
  EndpointList list;
  Fleet& add(scheduler::EndpointId id, std::string name, double started_at = 0,
             EndpointState state = EndpointState::ready) {
    names[id] = std::move(name);
    list.entries.push_back({id, 0, 0, 0, state, 1, started_at});
    return *this;
  }
  Router::Lists apply_to(Router& router, double now) {
    return router.split(
        list, [this](scheduler::EndpointId id) { return std::string_view(names[id]); }, now);
  }
};

Router make(Spec spec) {
  return Router(std::move(spec), kNames, classes(), {kSlowStartMs, kPoolChangeDelayMs});
}

Query query(std::uint64_t object, int class_index = 0) {
  Query q;
  q.class_index = class_index;
  q.object = object;
  q.remaining_timeout_ms = 1000;
  return q;
}

const EndpointEntry* find(const Router::Lists& lists, int pool, scheduler::EndpointId endpoint) {
  for (const auto& [pool_lists, list] : lists)
    if (pool_lists == pool)
      for (const auto& entry : list.entries)
        if (entry.endpoint == endpoint)
          return &entry;
  return nullptr;
}

TEST(Router, AssignsAnEndpointToTheFirstMatchingPool) {
  Spec spec;
  spec.pools = {{"both", {"east"}, {"fast"}, {}, {}},
                {"blocks", {}, {}, {}, {3, 4}},
                {"hosts", {}, {}, {"n-", "m-"}, {}}};
  spec.routes = {{"all", {}, {}, {}, {{"both", 1}}, false}};
  Router router = make(spec);
  std::map<scheduler::EndpointId, std::string> names{{1, "a"}, {2, "a"}, {3, "m-1"}, {4, "a"}};
  EndpointList list;
  list.entries = {{1, 0, 0, 3, EndpointState::ready, 1, 0},
                  {2, 0, 1, 3, EndpointState::ready, 1, 0},
                  {3, 1, 1, 9, EndpointState::ready, 1, 0},
                  {4, 1, 0, 9, EndpointState::ready, 1, 0}};
  auto pool_lists = router.split(
      list, [&](scheduler::EndpointId id) { return std::string_view(names[id]); }, 1000);
  EXPECT_TRUE(find(pool_lists, 0, 1));
  EXPECT_TRUE(find(pool_lists, 1, 2));
  EXPECT_TRUE(find(pool_lists, 2, 3));
  EXPECT_EQ(router.unassigned(), 1);
  std::map<scheduler::EndpointId, int> count;
  for (const auto& [pool, part] : pool_lists)
    for (const auto& entry : part.entries)
      ++count[entry.endpoint];
  for (const auto& [endpoint, times] : count)
    EXPECT_EQ(times, 1) << endpoint;
}

TEST(Router, AStepShiftsTheAddedShareAndReturnsNothing) {
  Router router = make(two_pools(100, 0));
  Fleet().add(1, "o1").add(2, "n1").apply_to(router, 0);
  std::set<std::uint64_t> moved;
  for (double share : {0.01, 0.05, 0.10, 0.25, 0.50, 1.0}) {
    router.shift(0, 1, 0, share);
    std::size_t before = moved.size();
    for (std::uint64_t object = 1; object <= 20'000; ++object) {
      bool now_new = router.choose(query(object), 0).pool == 0;
      ASSERT_TRUE(now_new || !moved.contains(object))
          << object << " was returned at share " << share;
      if (now_new)
        moved.insert(object);
    }
    EXPECT_GT(moved.size(), before);
    EXPECT_NEAR(static_cast<double>(moved.size()) / 20'000, share, 0.012);
  }
}

TEST(Router, AShiftBetweenTwoPoolsDoesNotAffectAThirdPool) {
  Spec spec = two_pools(50, 0);
  spec.pools.insert(spec.pools.begin(), {"third", {}, {}, {"t"}, {}});
  spec.routes[0].to = {{"old", 50}, {"third", 50}, {"new", 0}};
  Router router = make(spec);
  Fleet().add(1, "o1").add(2, "n1").add(3, "t1").apply_to(router, 0);
  router.shift(0, router.pool("old"), router.pool("new"), 0);
  std::map<std::uint64_t, int> before;
  for (std::uint64_t object = 1; object <= 5000; ++object)
    before[object] = router.choose(query(object), 0).pool;
  router.shift(0, router.pool("old"), router.pool("new"), 0.4);
  int moved = 0;
  for (auto [object, pool] : before) {
    int now_in = router.choose(query(object), 0).pool;
    EXPECT_EQ(pool == router.pool("third"), now_in == router.pool("third"));
    moved += now_in == router.pool("new");
  }
  EXPECT_NEAR(moved / 5000.0, 0.5 * 0.4, 0.02);
}

TEST(Router, RoutesARetryWithoutAnObjectByItsIdempotencyKey) {
  Router router = make(two_pools(50, 50));
  Fleet().add(1, "o1").add(2, "n1").apply_to(router, 0);
  int apart = 0;
  for (int i = 0; i < 200; ++i) {
    std::string key = "k" + std::to_string(i), first = "a" + std::to_string(i),
                second = "b" + std::to_string(i);
    Query a, b;
    a.idempotency_key = b.idempotency_key = key;
    a.id = first, b.id = second;
    ASSERT_EQ(router.choose(a, 0).pool, router.choose(b, 0).pool);
    a.idempotency_key = b.idempotency_key = "";
    apart += router.choose(a, 0).pool != router.choose(b, 0).pool;
  }
  EXPECT_GT(apart, 50);  // without keys the pools differ, so the check above is able to fail
}

TEST(Router, ARetryWithAKeyStaysInItsPoolForTheDeduplicationWindow) {
  Router router = make(two_pools(100, 0));
  Fleet().add(1, "o1").add(2, "n1").apply_to(router, 0);
  router.shift(0, 1, 0, 1.0);
  Query hold = query(7, 1);
  hold.idempotency_key = "k";
  ASSERT_EQ(router.choose(hold, 1000).pool, 0);
  router.shift(0, 1, 0, 0.0);  // undone
  Choice again = router.choose(hold, 3000);
  EXPECT_EQ(again.pool, 0);
  EXPECT_TRUE(again.kept);
  EXPECT_EQ(router.choose(query(7, 0), 3000).pool,
            1);  // another class of the same object is routed by weight
  // The entry expires the deduplication window after the latest time at which a try may be sent:
  // 3000 + patience + window.
  EXPECT_TRUE(router.choose(hold, 8900).kept);
  EXPECT_FALSE(router.choose(hold, 8900 + 1000 + 5000 + 1).kept);
}

TEST(Router, MatchesRoutesInOrderByClassTenantAndPath) {
  Spec spec = two_pools(100, 0);
  spec.routes = {{"sales", {"sale"}, {"main"}, {}, {{"new", 1}}, false},
                 {"books", {}, {}, {"/price/books"}, {{"new", 1}}, false},
                 {"rest", {}, {}, {}, {{"old", 1}}, false}};
  Router router = make(spec);
  Fleet().add(1, "o1").add(2, "n1").apply_to(router, 0);
  Query q = query(1, 2);
  q.path = "/sale/x";
  EXPECT_EQ(router.choose(q, 0).route, 2);
  q.tenant = 1;
  EXPECT_EQ(router.choose(q, 0).route, 0);
  q.class_index = 0;
  q.path = "/price/books/1";
  EXPECT_EQ(router.choose(q, 0).route, 1);
}

TEST(Router, SpillsFromAPoolWithNoReadyOrOnlySlowStartingEndpoints) {
  Router router = make(two_pools(0, 100));
  Fleet().add(1, "o1").apply_to(router, 0);
  EXPECT_TRUE(router.choose(query(1), 0).spilled);
  EXPECT_EQ(router.choose(query(1), 0).pool, 1);
  Fleet().add(1, "o1").add(2, "n1", 10'000).apply_to(router, 11'000);
  EXPECT_EQ(router.choose(query(1), 11'000).pool, 1)
      << "endpoints in slow start get no spilled requests while others are warm";
  EXPECT_EQ(router.choose(query(1), 10'000 + kSlowStartMs + 200).pool, 0)
      << "slow start ends by time alone, without a new list";
  Fleet().add(2, "n1", 40'000).apply_to(router, 41'000);
  EXPECT_EQ(router.choose(query(1), 41'000).pool, 0)
      << "an endpoint in slow start is chosen if it is the only ready one";
}

TEST(Router, ARetryWithAKeyIsNotSpilledFromThePoolThatMayHaveRunIt) {
  Router router = make(two_pools(0, 100));
  Fleet().add(1, "o1").add(2, "n1").apply_to(router, 0);
  Query hold = query(1, 1);
  hold.idempotency_key = "k";
  ASSERT_EQ(router.choose(hold, 0).pool, 0);
  Fleet().add(1, "o1").apply_to(router, 100);
  EXPECT_EQ(router.choose(hold, 200).pool, 0);
  EXPECT_EQ(router.choose(query(1), 200).pool, 1);
}

TEST(Router, AnEndpointInSlowStartChangesPoolsAfterADelay) {
  Router router = make(two_pools(100, 0));
  Fleet fleet;
  fleet.add(1, "o1", 1000).add(2, "o2", 0);
  auto pool_lists = fleet.apply_to(router, 2000);
  ASSERT_TRUE(find(pool_lists, 1, 1) && find(pool_lists, 1, 2));
  fleet.names = {{1, "n1"}, {2, "n2"}};
  fleet.list.scope = ListScope::delta;
  pool_lists = fleet.apply_to(router, 3000);
  ASSERT_TRUE(find(pool_lists, 1, 1)) << "the old pool must be notified that the endpoint is gone";
  EXPECT_EQ(find(pool_lists, 1, 1)->state, EndpointState::gone);
  EXPECT_FALSE(find(pool_lists, 0, 1)) << "the delay after the change of pools is not over";
  EXPECT_TRUE(find(pool_lists, 0, 2)) << "a warm endpoint joins immediately";
  ASSERT_TRUE(router.next_due());
  EXPECT_EQ(*router.next_due(), 3000 + kPoolChangeDelayMs);
  EXPECT_TRUE(router.due(3000 + kPoolChangeDelayMs - 1).empty());
  pool_lists = router.due(3000 + kPoolChangeDelayMs);
  ASSERT_TRUE(find(pool_lists, 0, 1));
  EXPECT_EQ(find(pool_lists, 0, 1)->state, EndpointState::ready);
  EXPECT_FALSE(router.next_due());
}

TEST(Router, ReplaceKeepsPoolNumbersAndFailsWhenNoneAreLeft) {
  Router router = make(two_pools(100, 0));
  Fleet fleet;
  fleet.add(1, "o1").add(2, "n1").apply_to(router, 0);
  Spec spec = two_pools(100, 0);
  spec.pools.insert(spec.pools.begin(), {"extra", {}, {}, {"n1"}, {}});
  auto lists = router.replace(spec, 100);
  ASSERT_TRUE(lists);
  EXPECT_EQ(router.pool("new"), 0);
  EXPECT_EQ(router.pool("extra"), 2);
  EXPECT_TRUE(find(*lists, 2, 2));
  EXPECT_FALSE(find(*lists, 0, 2));
  for (int i = 0; router.pool_count() < static_cast<int>(kMaxPools); ++i) {
    spec.pools[0].name = "extra" + std::to_string(i);
    ASSERT_TRUE(router.replace(spec, 100));
  }
  spec.pools[0].name = "one too many";
  EXPECT_FALSE(router.replace(spec, 100));
  EXPECT_EQ(router.pool("one too many"), -1);
}

TEST(Router, WithOnePoolPassesListsOnUnchanged) {
  Spec spec;
  spec.pools = {{"all", {}, {}, {}, {}}};
  spec.routes = {{"all", {}, {}, {}, {{"all", 1}}, false}};
  Router router = make(spec);
  std::mt19937 random(3);
  for (int i = 0; i < 200; ++i) {
    Fleet fleet;
    for (scheduler::EndpointId w = 1; w <= 20; ++w)
      if (random() % 3)
        fleet.add(w, "h", 0, random() % 4 ? EndpointState::ready : EndpointState::draining);
    fleet.list.scope = std::array{ListScope::cached, ListScope::full, ListScope::delta,
                                  ListScope::failed}[random() % 4];
    auto pool_lists = fleet.apply_to(router, i);
    ASSERT_EQ(pool_lists.size(), 1u);
    EXPECT_EQ(pool_lists[0].second.scope, fleet.list.scope);
    std::size_t count = fleet.list.scope == ListScope::failed ? 0 : fleet.list.entries.size();
    ASSERT_EQ(pool_lists[0].second.entries.size(), count);
    for (std::size_t k = 0; k < count; ++k)
      EXPECT_EQ(pool_lists[0].second.entries[k].endpoint, fleet.list.entries[k].endpoint);
  }
}

TEST(Router, ReportsAllFaultsOfASpec) {
  Spec spec = two_pools(0, 0);
  spec.pools.push_back({"old", {}, {}, {}, {}});
  spec.routes.push_back({"x", {"sale"}, {}, {}, {{"none", 1}}, false});
  EXPECT_EQ(
      faults(spec).size(),
      5u);  // duplicate pool "old", zero weights, "all" before "x", unknown pool "none", "x" last
  EXPECT_TRUE(faults(two_pools(1, 1)).empty());
  spec = two_pools(1, 1);
  spec.pools[0].sites = {"north"};
  spec.routes[0].classes = {"gift"};
  EXPECT_EQ(unknown_names(spec, kNames).size(), 2u);
}

TEST(PoolByKeyCache, HasAFixedSizeAndCountsLiveEvictions) {
  PoolByKeyCache memory(1024);
  std::mt19937_64 random(5);
  for (int i = 0; i < 100'000; ++i)
    memory.put(random(), 1, 10'000, i * 0.001);
  EXPECT_EQ(memory.capacity(), 1024u);
  EXPECT_GT(memory.evicted_before_expiry(), 90'000u);
  PoolByKeyCache calm(1024);
  for (int i = 0; i < 100'000; ++i)
    calm.put(random(), 1, i + 50, i);
  EXPECT_LT(calm.evicted_before_expiry(),
            100u);  // expired entries do not count; rarely a bucket of four gets five live ones
}

}  // namespace
}  // namespace keelflow::routes
