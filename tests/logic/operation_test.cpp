// Endpoints out by hand, and who is ready in a handover.
#include <gtest/gtest.h>

#include "admin_overrides/admin_overrides.h"
#include "handover/succession.h"

namespace keelflow {
namespace {

using admin_overrides::AdminOverrides;
using scheduler::EndpointEntry;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::ListScope;

constexpr double kLater = 12345;

EndpointList list(ListScope scope,
                  std::vector<std::pair<scheduler::EndpointId, EndpointState>> endpoints,
                  double started_at = 0) {
  EndpointList out{.scope = scope, .entries = {}};
  for (auto [endpoint, state] : endpoints) {
    EndpointEntry entry;
    entry.endpoint = endpoint, entry.state = state, entry.started_at = started_at;
    out.entries.push_back(entry);
  }
  return out;
}

EndpointState told(const EndpointList& all, scheduler::EndpointId endpoint) {
  for (const EndpointEntry& entry : all.entries)
    if (entry.endpoint == endpoint)
      return entry.state;
  return EndpointState::gone;
}

TEST(AdminOverrides, WhatDiscoverySaysInBetweenBringsNobodyBack) {
  AdminOverrides hand;
  hand.apply(list(ListScope::full, {{1, EndpointState::ready}, {2, EndpointState::ready}}));
  auto out = hand.out(1, "one");
  ASSERT_TRUE(out);
  EXPECT_EQ(told(*out, 1), EndpointState::draining);
  EXPECT_FALSE(hand.out(1, "one"));
  EXPECT_EQ(told(hand.apply(list(ListScope::delta, {{1, EndpointState::gone}})), 1),
            EndpointState::gone);
  EXPECT_EQ(hand.listed(), 1u);
  EXPECT_EQ(told(hand.apply(list(ListScope::delta, {{1, EndpointState::ready}}, kLater)), 1),
            EndpointState::draining);
  EXPECT_EQ(told(hand.apply(list(ListScope::full, {{1, EndpointState::ready}}, kLater)), 1),
            EndpointState::draining);
  auto back = hand.back(1);
  ASSERT_TRUE(back);
  EXPECT_EQ(told(*back, 1), EndpointState::ready);
  EXPECT_EQ(back->entries.front().started_at, kLater);  // rule 4 counts from there
  EXPECT_FALSE(hand.back(1));
}

// Anything but a list from memory tells the module that discovery has answered: it would stop
// asking.
TEST(AdminOverrides, IsNoWordOfDiscoverys) {
  AdminOverrides hand;
  hand.apply(list(ListScope::cached, {{1, EndpointState::ready}, {2, EndpointState::ready}}));
  auto out = hand.out(1, "one");
  ASSERT_TRUE(out);
  EXPECT_EQ(out->scope, ListScope::cached);
  EXPECT_EQ(out->entries.size(), 2u);
  EXPECT_EQ(hand.apply(list(ListScope::failed, {})).scope, ListScope::failed);
  EXPECT_EQ(hand.listed(), 2u);
}

TEST(AdminOverrides, OneThatIsNotListedYetIsOutWhenItComes) {
  AdminOverrides hand;
  EXPECT_FALSE(hand.out(7, "seven"));
  EXPECT_EQ(told(hand.apply(list(ListScope::full, {{7, EndpointState::ready}})), 7),
            EndpointState::draining);
  EXPECT_EQ(hand.hosts(), std::vector<std::string>{"seven"});
}

TEST(AdminOverrides, EachUnavailableOneCountsOnce) {
  AdminOverrides hand;
  hand.apply(list(ListScope::full, {{1, EndpointState::ready},
                                    {2, EndpointState::draining},
                                    {3, EndpointState::ready},
                                    {4, EndpointState::ready}}));
  hand.out(1, "one");
  hand.out(2, "two");
  hand.out(9, "not listed");
  EXPECT_EQ(hand.unavailable([](auto endpoint) { return endpoint == 1 || endpoint == 3; }), 3u);
}

TEST(Succession, WaitsForTheElderAndForDiscoveryAndForNobodyForever) {
  handover::Succession alone(1000, false);
  EXPECT_EQ(alone.waits_for(1000), "");
  handover::Succession both(1000, true);
  EXPECT_NE(both.waits_for(1000), "");
  both.listed();
  EXPECT_NE(both.waits_for(1100), "");
  both.answered();
  EXPECT_EQ(both.waits_for(1100), "");
  handover::Succession silent(1000, true);
  silent.listed();
  EXPECT_NE(silent.waits_for(1000 + handover::kAnswerWithin - 1), "");
  EXPECT_EQ(silent.waits_for(silent.latest()), "");
  handover::Succession dead(1000, true);
  dead.gone();
  EXPECT_NE(dead.waits_for(1001), "");
  EXPECT_EQ(dead.waits_for(dead.latest()), "");
}

TEST(Succession, AnElderLeavesTheSocketOnlyToOneThatIsReady) {
  EXPECT_FALSE(handover::leaves_accepting(true, false));
  EXPECT_FALSE(handover::leaves_accepting(false, true));
  EXPECT_TRUE(handover::leaves_accepting(true, true));
}

}  // namespace
}  // namespace keelflow
