// Tests administrative overrides, and which process accepts clients during a takeover.
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

TEST(AdminOverrides, ADisabledEndpointStaysDisabledWhenDiscoveryListsItAgain) {
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
  // The start that discovery reported last. Slow start is measured from this time.
  EXPECT_EQ(enabled->entries.front().started_at, kLater);
  EXPECT_FALSE(overrides.enable(1));
}

// The scheduler treats any list except a cached one as an answer from discovery, and would stop
// polling.
TEST(AdminOverrides, AnOverrideIsNotReportedAsAnAnswerOfDiscovery) {
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

TEST(TakeoverReadiness, WaitsForTheOldProcessAndForDiscoveryWithATimeoutForEach) {
  handover::TakeoverReadiness without_old_process(1000, false);
  EXPECT_EQ(without_old_process.waits_for(1000), "");
  handover::TakeoverReadiness with_old_process(1000, true);
  EXPECT_NE(with_old_process.waits_for(1000), "");
  with_old_process.endpoint_list_received();
  EXPECT_NE(with_old_process.waits_for(1100), "");
  with_old_process.state_received();
  EXPECT_EQ(with_old_process.waits_for(1100), "");
  handover::TakeoverReadiness state_missing(1000, true);
  state_missing.endpoint_list_received();
  EXPECT_NE(state_missing.waits_for(1000 + handover::kStateTimeoutMs - 1), "");
  EXPECT_EQ(state_missing.waits_for(state_missing.latest_ready_ms()), "");
  handover::TakeoverReadiness old_process_ended(1000, true);
  old_process_ended.predecessor_ended();
  EXPECT_NE(old_process_ended.waits_for(1001), "");
  EXPECT_EQ(old_process_ended.waits_for(old_process_ended.latest_ready_ms()), "");
}

TEST(TakeoverReadiness, TheOldProcessStopsAcceptingOnlyWhenItsSuccessorIsReady) {
  EXPECT_FALSE(handover::should_stop_accepting(true, false));
  EXPECT_FALSE(handover::should_stop_accepting(false, true));
  EXPECT_TRUE(handover::should_stop_accepting(true, true));
}

}  // namespace
}  // namespace keelflow
