/// Tests of the work that may be sent to an endpoint that is warming up.
#include "scheduler/slow_start.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr Time kStartedAt = 10000;
constexpr double kWindowMs = 2000;

/// One endpoint that has just started, and a clock that the test sets.
struct SlowStartTest : ::testing::Test {
  SlowStartTest()
      : environment(test_settings(), 1),
        endpoints(1),
        statistics(environment.settings),
        slow_start(environment, endpoints, statistics) {
    environment.now = kStartedAt;
    warming_up_slot = add({.endpoint = 7, .started_at = kStartedAt});
  }

  static Settings test_settings() {
    Settings settings;
    settings.dispatchers = 4;
    settings.slow_start_initial_fraction = 0.2;
    settings.slow_start_ms = 8000;
    settings.overload_multiple = 3;
    settings.overload_window_ms = kWindowMs;
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
  EndpointSlot warming_up_slot = 0;
};

// One core at a fifth of its capacity is overloaded by three times that work within 2000 ms; the
// fleet may use 0.62 of it.
constexpr double kFleetBudgetMs = 0.62 * 3 * 0.2 * kWindowMs;

TEST_F(SlowStartTest, AnEndpointWarmsUpFromItsStartForTheConfiguredTime) {
  EXPECT_TRUE(slow_start.is_warming_up(warming_up_slot));
  EXPECT_DOUBLE_EQ(slow_start.weight(warming_up_slot), 0.2);
  environment.now = kStartedAt + 4000;
  EXPECT_DOUBLE_EQ(slow_start.weight(warming_up_slot), 0.6);
  environment.now = kStartedAt + 8000;
  EXPECT_FALSE(slow_start.is_warming_up(warming_up_slot));
  EXPECT_DOUBLE_EQ(slow_start.weight(warming_up_slot), 1);
}

TEST_F(SlowStartTest, AnEndpointThatStartedLongAgoDoesNotWarmUp) {
  EndpointSlot old = add({.endpoint = 8});
  EXPECT_FALSE(slow_start.is_warming_up(old));
  EXPECT_DOUBLE_EQ(slow_start.weight(old), 1);
}

TEST_F(SlowStartTest, TheBudgetIsSplitEvenlyUntilAFractionIsSet) {
  EXPECT_NEAR(slow_start.budget(warming_up_slot).own, kFleetBudgetMs / 4, 1e-9);
  slow_start.set_budget_fraction(warming_up_slot, 0.5);
  EXPECT_NEAR(slow_start.budget(warming_up_slot).own, kFleetBudgetMs / 2, 1e-9);
}

TEST_F(SlowStartTest, SentWorkCountsUntilTheWindowHasPassed) {
  double initial_budget = slow_start.budget(warming_up_slot).own;
  slow_start.spend(warming_up_slot, initial_budget);
  EXPECT_FALSE(slow_start.has_budget_for(warming_up_slot, 1));
  EXPECT_DOUBLE_EQ(slow_start.work_in_window(warming_up_slot, environment.now), initial_budget);
  environment.now += kWindowMs + 1;
  EXPECT_TRUE(slow_start.has_budget_for(warming_up_slot, initial_budget));
  EXPECT_DOUBLE_EQ(slow_start.work_in_window(warming_up_slot, environment.now), 0);
}

TEST_F(SlowStartTest, AGrantIsSpentBeforeTheOwnShareAndExpires) {
  double own = slow_start.budget(warming_up_slot).own;
  slow_start.on_grant(warming_up_slot, grant(100, kStartedAt + 50, true));
  EXPECT_NEAR(slow_start.budget(warming_up_slot).total(), own + 100, 1e-9);
  slow_start.spend(warming_up_slot, 130);
  EXPECT_DOUBLE_EQ(slow_start.budget(warming_up_slot).granted, 0);
  EXPECT_NEAR(slow_start.budget(warming_up_slot).own, own - 30, 1e-9);
  slow_start.on_grant(warming_up_slot, grant(100, kStartedAt + 50, true));
  environment.now = kStartedAt + 50;
  EXPECT_DOUBLE_EQ(slow_start.budget(warming_up_slot).granted, 0);
}

TEST_F(SlowStartTest, WorkGrantedToAPeerCountsAsSentAndCanBeReturned) {
  double own = slow_start.budget(warming_up_slot).own;
  slow_start.on_grant(warming_up_slot, grant(100, kStartedAt + 50, false));
  EXPECT_NEAR(slow_start.budget(warming_up_slot).own, own - 100, 1e-9);
  slow_start.on_grant(warming_up_slot, grant(-40, kStartedAt + 50, false));
  EXPECT_NEAR(slow_start.budget(warming_up_slot).own, own - 60, 1e-9);
}

TEST_F(SlowStartTest, ListedCapacityIsLimitedToTwiceTheObservedCores) {
  EndpointSlot large = add({.endpoint = 8, .nominal_capacity = 16, .started_at = kStartedAt});
  EXPECT_NEAR(slow_start.budget(large).own, 2 * kFleetBudgetMs / 4, 1e-9);
  statistics.record_concurrent_attempts(0, 4);
  EXPECT_NEAR(slow_start.budget(large).own, 8 * kFleetBudgetMs / 4, 1e-9);
}

TEST_F(SlowStartTest, WorkIsScaledByTheRatioOfItsKindToNoLessThanNineTenthsOfItsHint) {
  EXPECT_DOUBLE_EQ(slow_start.work_of(warming_up_slot, 100, 50), 100);
  EXPECT_DOUBLE_EQ(slow_start.work_of(warming_up_slot, 100, 150), 150);
  for (int i = 0; i < 200; ++i)
    statistics.record_ratio(warming_up_slot, 0, 0.25, false);
  EXPECT_DOUBLE_EQ(slow_start.work_of(warming_up_slot, 100, 100), 90);
}

TEST_F(SlowStartTest, ANewIncarnationHasNoSentOrGrantedWork) {
  double initial_budget = slow_start.budget(warming_up_slot).total();
  slow_start.spend(warming_up_slot, 100);
  slow_start.on_grant(warming_up_slot, grant(100, kStartedAt + 50, true));
  slow_start.reset(warming_up_slot);
  EXPECT_DOUBLE_EQ(slow_start.budget(warming_up_slot).total(), initial_budget);
}

}  // namespace
}  // namespace keelflow::scheduler
