/// Tests of endpoint selection: subsets, kinds, keys, load and service times.
#include <map>
#include <set>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

// A dispatcher prefers the endpoints of its subset, which it learns from events. It prefers an
// endpoint that is warming up if it has a share of that endpoint's budget.
TEST(Fleet, PrefersItsSubsetExceptForEndpointsThatAreWarmingUp) {
  Settings settings = basic_settings();
  settings.dispatchers = 100;
  settings.rank = 3;
  DispatcherHarness harness(settings);
  harness.endpoints(20);
  SubsetChanged subsets;
  for (EndpointId endpoint = 100; endpoint < 120; ++endpoint)
    subsets.endpoints.push_back({endpoint, endpoint == 107, {}});
  harness.handle(subsets);
  harness.arrive(1, 10);
  ASSERT_EQ(harness.sends.size(), 1u);
  EXPECT_EQ(harness.sends[0].endpoint, 107u);
  int users_while_warming_up = 0;
  // Only the first few dispatchers in the order of the endpoint use it, regardless of their
  // subsets.
  for (int rank = 0; rank < 100; ++rank) {
    settings.rank = rank;
    DispatcherHarness other(settings);
    EndpointList list;
    list.entries.push_back({7, 0, 0, 0, EndpointState::ready, 1, other.now - 100});
    SubsetChanged not_in_subset{{{7, true, {}}}};
    for (EndpointId endpoint = 8; endpoint < 107; ++endpoint) {
      list.entries.push_back({endpoint, 0, 0, 0, EndpointState::ready, 1, 0});
      not_in_subset.endpoints.push_back({endpoint, false, {}});
    }
    other.handle(list);
    other.handle(not_in_subset);
    other.arrive(1, 4);
    users_while_warming_up += !other.sends.empty() && other.sends[0].endpoint == 7;
  }
  EXPECT_EQ(users_while_warming_up, 5);
}

TEST(EndpointSelection, PrefersTheEndpointWithTheFewestOwnCapacitySlotsInUse) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(4);
  for (RequestId id = 1; id <= 4; ++id)
    harness.arrive(id, 100);
  std::set<EndpointId> used;
  for (const auto& send : harness.sends)
    used.insert(send.endpoint);
  EXPECT_GE(used.size(), 3u);  // four samples of four endpoints, with repeats, miss few of them
}

TEST(EndpointSelection, PrefersAFasterEndpointAtEqualLoad) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(2);
  int sent_to_slow = 0;
  int all = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    harness.arrive(id, 100);
    EndpointId endpoint = harness.sends.back().endpoint;
    harness.handle(AttemptStarted{id, 0});
    harness.advance(harness.now + (endpoint == 100 ? 600 : 100));
    harness.outcome(id, 0, AttemptResult::ok, true);
    if (id > 50) {
      ++all;
      sent_to_slow += endpoint == 100;
    }
  }
  EXPECT_LT(sent_to_slow, all / 4);
}

TEST(Kinds, ARequestIsSentOnlyToEndpointsOfItsKind) {
  Settings settings = basic_settings();
  settings.kinds = 2;
  settings.classes.resize(2, settings.classes[0]);
  settings.classes[1].kind = 1;
  DispatcherHarness harness(settings);
  harness.endpoints(2, 1, 2);
  harness.arrive(1, 100, 1);
  ASSERT_EQ(harness.sends.size(), 1u);
  EXPECT_EQ(harness.sends[0].endpoint, 101u);
  harness.handle(EndpointList{
      ListScope::delta,
      {{100, 0, 0, 0, EndpointState::gone, 1, 0}, {101, 0, 1, 0, EndpointState::gone, 1, 0}}});
  harness.arrive(2, 100, 1);
  harness.handle(EndpointList{ListScope::delta, {{100, 0, 0, 0, EndpointState::ready, 1, 0}}});
  EXPECT_EQ(harness.sends.size(), 1u);  // the ready endpoint is of the wrong kind
}

TEST(Keys, ALateStartIsCancelledOnlyForARequestWithoutAKey) {
  for (std::uint64_t key : {0, 7}) {
    DispatcherHarness harness(basic_settings());
    harness.endpoints(8);
    harness.arrive(1, 100, 0, 10000, key);
    ASSERT_EQ(harness.sends.size(), 1u);
    bool cancelled = false;
    for (int i = 0; i < 300; ++i) {
      harness.advance(harness.now + 1);
      for (const auto& action : harness.last_actions)
        cancelled = cancelled || std::holds_alternative<CancelAttempt>(action);
    }
    EXPECT_EQ(cancelled, key == 0);
  }
}

TEST(Keys, DispatchersSelectTheSameEndpointsForAKey) {
  Settings settings = basic_settings();
  settings.dispatchers = 2;
  std::map<std::uint64_t, std::set<EndpointId>> used;
  for (int rank = 0; rank < 2; ++rank) {
    settings.rank = rank;
    DispatcherHarness harness(settings, 77 + static_cast<std::uint64_t>(rank));
    harness.endpoints(20);
    RequestId id = 0;
    for (int round = 0; round < 3; ++round)
      for (std::uint64_t key = 1; key <= 60; ++key) {
        harness.arrive(++id, 100, 0, 10000, key);
        harness.handle(AttemptStarted{id, 0});
        harness.advance(harness.now + 20);
        harness.outcome(id, 0, AttemptResult::ok, true);
        used[key].insert(harness.sends.back().endpoint);
      }
  }
  std::size_t pairs = 0;
  for (const auto& [key, endpoints] : used)
    pairs += endpoints.size();
  EXPECT_LE(pairs, 60u * 5 / 2);  // random placement would use about five endpoints per key
}

TEST(SubsetChanged, EachOfManyDispatchersPrefersItsOwnSubset) {
  Settings settings = basic_settings();
  settings.dispatchers = 100;
  std::map<EndpointId, int> fleet;
  int without_subset = 0;  // dispatchers for which the hash yields no subset
  for (settings.rank = 0; settings.rank < 100; ++settings.rank) {
    DispatcherHarness harness(settings, 11 + static_cast<std::uint64_t>(settings.rank));
    harness.endpoints(100);
    std::set<EndpointId> mine;
    for (RequestId id = 1; id <= 40; ++id) {
      harness.arrive(id, 100);
      harness.handle(AttemptStarted{id, 0});
      harness.advance(harness.now + 20);
      harness.outcome(id, 0, AttemptResult::ok, true);
      mine.insert(harness.sends.back().endpoint);
    }
    without_subset += mine.size() > 15;
    for (EndpointId endpoint : mine)
      ++fleet[endpoint];
  }
  EXPECT_LE(without_subset, 3);
  EXPECT_GE(fleet.size(), 90u);  // together the dispatchers use nearly the whole fleet
}

}  // namespace
}  // namespace keelflow::scheduler
