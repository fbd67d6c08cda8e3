// Administrative overrides, and which process is ready in a hand-over.
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
  EndpointList list{.scope = scope, .entries = {}};
  for (auto [endpoint, state] : endpoints) {
    EndpointEntry entry;
    entry.endpoint = endpoint;
    entry.state = state;
    entry.started_at = started_at;
    list.entries.push_back(entry);
  }
  return list;
}

EndpointState state_of(const EndpointList& list, scheduler::EndpointId endpoint) {
  for (const EndpointEntry& entry : list.entries)
    if (entry.endpoint == endpoint)
      return entry.state;
  return EndpointState::gone;
}

TEST(AdminOverrides, ADisabledEndpointStaysDisabledWhateverDiscoveryLists) {
  AdminOverrides overrides;
  overrides.apply(list(ListScope::full, {{1, EndpointState::ready}, {2, EndpointState::ready}}));
  auto disabled = overrides.disable(1, "one");
  ASSERT_TRUE(disabled);
  EXPECT_EQ(state_of(*disabled, 1), EndpointState::draining);
  EXPECT_FALSE(overrides.disable(1, "one"));
  EXPECT_EQ(state_of(overrides.apply(list(ListScope::delta, {{1, EndpointState::gone}})), 1),
            EndpointState::gone);
  EXPECT_EQ(overrides.listed(), 1u);
  EXPECT_EQ(
      state_of(overrides.apply(list(ListScope::delta, {{1, EndpointState::ready}}, kLater)), 1),
      EndpointState::draining);
  EXPECT_EQ(
      state_of(overrides.apply(list(ListScope::full, {{1, EndpointState::ready}}, kLater)), 1),
      EndpointState::draining);
  auto enabled = overrides.enable(1);
  ASSERT_TRUE(enabled);
  EXPECT_EQ(state_of(*enabled, 1), EndpointState::ready);
  EXPECT_EQ(enabled->entries.front().started_at, kLater);  // rule 4 counts from there
  EXPECT_FALSE(overrides.enable(1));
}

// Any list but a cached one means to the scheduler that discovery has answered: it would stop
// polling.
TEST(AdminOverrides, AChangeIsNoAnswerOfDiscovery) {
  AdminOverrides overrides;
  overrides.apply(list(ListScope::cached, {{1, EndpointState::ready}, {2, EndpointState::ready}}));
  auto disabled = overrides.disable(1, "one");
  ASSERT_TRUE(disabled);
  EXPECT_EQ(disabled->scope, ListScope::cached);
  EXPECT_EQ(disabled->entries.size(), 2u);
  EXPECT_EQ(overrides.apply(list(ListScope::failed, {})).scope, ListScope::failed);
  EXPECT_EQ(overrides.listed(), 2u);
}

TEST(AdminOverrides, AnEndpointMayBeDisabledBeforeItIsListed) {
  AdminOverrides overrides;
  EXPECT_FALSE(overrides.disable(7, "seven"));
  EXPECT_EQ(state_of(overrides.apply(list(ListScope::full, {{7, EndpointState::ready}})), 7),
            EndpointState::draining);
  EXPECT_EQ(overrides.disabled_hosts(), std::vector<std::string>{"seven"});
}

TEST(AdminOverrides, EachUnavailableEndpointCountsOnce) {
  AdminOverrides overrides;
  overrides.apply(list(ListScope::full, {{1, EndpointState::ready},
                                         {2, EndpointState::draining},
                                         {3, EndpointState::ready},
                                         {4, EndpointState::ready}}));
  overrides.disable(1, "one");
  overrides.disable(2, "two");
  overrides.disable(9, "not listed");
  EXPECT_EQ(overrides.unavailable([](auto endpoint) { return endpoint == 1 || endpoint == 3; }),
            3u);
}

TEST(TakeoverReadiness, WaitsForTheElderAndForDiscoveryAndForNobodyForever) {
  handover::TakeoverReadiness alone(1000, false);
  EXPECT_EQ(alone.waits_for(1000), "");
  handover::TakeoverReadiness both(1000, true);
  EXPECT_NE(both.waits_for(1000), "");
  both.endpoint_list_received();
  EXPECT_NE(both.waits_for(1100), "");
  both.state_received();
  EXPECT_EQ(both.waits_for(1100), "");
  handover::TakeoverReadiness silent(1000, true);
  silent.endpoint_list_received();
  EXPECT_NE(silent.waits_for(1000 + handover::kStateTimeoutMs - 1), "");
  EXPECT_EQ(silent.waits_for(silent.latest_ready_ms()), "");
  handover::TakeoverReadiness dead(1000, true);
  dead.predecessor_ended();
  EXPECT_NE(dead.waits_for(1001), "");
  EXPECT_EQ(dead.waits_for(dead.latest_ready_ms()), "");
}

TEST(TakeoverReadiness, AnElderLeavesTheSocketOnlyToOneThatIsReady) {
  EXPECT_FALSE(handover::should_stop_accepting(true, false));
  EXPECT_FALSE(handover::should_stop_accepting(false, true));
  EXPECT_TRUE(handover::should_stop_accepting(true, true));
}

}  // namespace
}  // namespace keelflow
