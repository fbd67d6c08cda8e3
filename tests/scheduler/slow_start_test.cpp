/// What an endpoint that is warming up may be sent.
#include "scheduler/slow_start.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr Time kStartedAt = 10000;
constexpr double kWindow = 2000;

struct SlowStartTest : ::testing::Test {
  SlowStartTest()
      : environment(some_settings(), 1),
        endpoints(1),
        statistics(environment.settings),
        slow_start(environment, endpoints, statistics) {
    environment.now = kStartedAt;
    new_one = add({.endpoint = 7, .started_at = kStartedAt});
  }

  static Settings some_settings() {
    Settings settings;
    settings.dispatchers = 4;
    settings.slow_start_initial_fraction = 0.2;
    settings.slow_start_ms = 8000;
    settings.overload_multiple = 3;
    settings.overload_window_ms = kWindow;
    return settings;
  }
  EndpointSlot add(const EndpointEntry& entry) {
    EndpointSlot slot = endpoints.add(entry);
    statistics.reset(slot, entry.kind);
    slow_start.reset(slot);
    return slot;
  }
  SlowStartGrant grant(double work_ms, Time until, bool is_received) const {
    return {7, kStartedAt, work_ms, until, is_received};
  }

  Environment environment;
  EndpointTable endpoints;
  ServiceStatistics statistics;
  SlowStart slow_start;
  EndpointSlot new_one = 0;
};

// Of one core at a fifth of its capacity, three times that within 2000 ms, of which 0.62 are used.
constexpr double kWholeBudget = 0.62 * 3 * 0.2 * kWindow;

TEST_F(SlowStartTest, AnEndpointWarmsUpFromItsStartForTheTimeOfTheSettings) {
  EXPECT_TRUE(slow_start.is_warming_up(new_one));
  EXPECT_DOUBLE_EQ(slow_start.weight(new_one), 0.2);
  environment.now = kStartedAt + 4000;
  EXPECT_DOUBLE_EQ(slow_start.weight(new_one), 0.6);
  environment.now = kStartedAt + 8000;
  EXPECT_FALSE(slow_start.is_warming_up(new_one));
  EXPECT_DOUBLE_EQ(slow_start.weight(new_one), 1);
}

TEST_F(SlowStartTest, AnEndpointThatStartedLongAgoDoesNotWarmUp) {
  EndpointSlot old = add({.endpoint = 8});
  EXPECT_FALSE(slow_start.is_warming_up(old));
  EXPECT_DOUBLE_EQ(slow_start.weight(old), 1);
}

TEST_F(SlowStartTest, UntilItIsNotifiedADispatcherHasAnEvenPartOfTheBudget) {
  EXPECT_NEAR(slow_start.budget(new_one).own, kWholeBudget / 4, 1e-9);
  slow_start.set_fraction(new_one, 0.5);
  EXPECT_NEAR(slow_start.budget(new_one).own, kWholeBudget / 2, 1e-9);
}

TEST_F(SlowStartTest, WhatWasSentCountsUntilTheWindowHasPassed) {
  double whole = slow_start.budget(new_one).own;
  slow_start.spend(new_one, whole);
  EXPECT_FALSE(slow_start.has_budget_for(new_one, 1));
  EXPECT_DOUBLE_EQ(slow_start.work_in_window(new_one, environment.now), whole);
  environment.now += kWindow + 1;
  EXPECT_TRUE(slow_start.has_budget_for(new_one, whole));
  EXPECT_DOUBLE_EQ(slow_start.work_in_window(new_one, environment.now), 0);
}

TEST_F(SlowStartTest, AGrantIsSpentBeforeTheOwnPartAndEndsAtItsTime) {
  double own = slow_start.budget(new_one).own;
  slow_start.on_grant(new_one, grant(100, kStartedAt + 50, true));
  EXPECT_NEAR(slow_start.budget(new_one).total(), own + 100, 1e-9);
  slow_start.spend(new_one, 130);
  EXPECT_DOUBLE_EQ(slow_start.budget(new_one).granted, 0);
  EXPECT_NEAR(slow_start.budget(new_one).own, own - 30, 1e-9);
  slow_start.on_grant(new_one, grant(100, kStartedAt + 50, true));
  environment.now = kStartedAt + 50;
  EXPECT_DOUBLE_EQ(slow_start.budget(new_one).granted, 0);
}

TEST_F(SlowStartTest, WhatWasGrantedToAnotherCountsAsSentAndCanBeGivenBack) {
  double own = slow_start.budget(new_one).own;
  slow_start.on_grant(new_one, grant(100, kStartedAt + 50, false));
  EXPECT_NEAR(slow_start.budget(new_one).own, own - 100, 1e-9);
  slow_start.on_grant(new_one, grant(-40, kStartedAt + 50, false));
  EXPECT_NEAR(slow_start.budget(new_one).own, own - 60, 1e-9);
}

TEST_F(SlowStartTest, AListedSizeIsBelievedUpToTwiceTheCoresThatWereSeen) {
  EndpointSlot large = add({.endpoint = 8, .nominal_capacity = 16, .started_at = kStartedAt});
  EXPECT_NEAR(slow_start.budget(large).own, 2 * kWholeBudget / 4, 1e-9);
  statistics.record_running(0, 4);
  EXPECT_NEAR(slow_start.budget(large).own, 8 * kWholeBudget / 4, 1e-9);
}

TEST_F(SlowStartTest, WorkCountsAsNineTenthsOfItsHintAtLeastAndWithTheRatioOfItsKind) {
  EXPECT_DOUBLE_EQ(slow_start.work_of(new_one, 100, 50), 100);
  EXPECT_DOUBLE_EQ(slow_start.work_of(new_one, 100, 150), 150);
  for (int i = 0; i < 200; ++i)
    statistics.record_ratio(new_one, 0, 0.25, false);
  EXPECT_DOUBLE_EQ(slow_start.work_of(new_one, 100, 100), 90);
}

TEST_F(SlowStartTest, ANewIncarnationHasNothingSentAndNothingGranted) {
  double whole = slow_start.budget(new_one).total();
  slow_start.spend(new_one, 100);
  slow_start.on_grant(new_one, grant(100, kStartedAt + 50, true));
  slow_start.reset(new_one);
  EXPECT_DOUBLE_EQ(slow_start.budget(new_one).total(), whole);
}

}  // namespace
}  // namespace keelflow::scheduler
