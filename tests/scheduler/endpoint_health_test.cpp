/// Tests of the concurrency limit and the ejection of an endpoint.
#include "scheduler/endpoint_health.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr EndpointSlot kSlot = 0;
constexpr double kMeanRunMs = 1000;  // the shortest ejection is a tenth of this mean running time
constexpr double kBaseEjectionMs = 100;
constexpr double kMinEjectionJitter = 0.75;  // ejection durations have random jitter
constexpr double kMaxEjectionJitter = 1.25;

/// The health of one endpoint, with a clock that the test sets.
struct EndpointHealthTest : ::testing::Test {
  EndpointHealthTest() : environment(Settings{}, 1), health(environment) {
    environment.now = 1000;
    health.reset(kSlot);
  }
  double ejected_for() const { return health.ejected_until(kSlot) - environment.now; }
  void expect_ejected_for_about(double duration) const {
    EXPECT_GE(ejected_for(), kMinEjectionJitter * duration);
    EXPECT_LE(ejected_for(), kMaxEjectionJitter * duration);
  }
  void advance_past_ejection() { environment.now = health.ejected_until(kSlot); }

  Environment environment;
  EndpointHealth health;
};

TEST_F(EndpointHealthTest, ANewIncarnationIsHealthyWithALimitOfTwo) {
  EXPECT_DOUBLE_EQ(health.concurrency_limit(kSlot), 2);
  EXPECT_FALSE(health.is_ejected(kSlot));
  EXPECT_FALSE(health.has_fault_signs(kSlot));
}

TEST_F(EndpointHealthTest, TheLimitGrowsOnlyWhenItIsFullyUsed) {
  health.record_success(kSlot, 0.5);
  EXPECT_DOUBLE_EQ(health.concurrency_limit(kSlot), 2);
  health.record_success(kSlot, 1);
  EXPECT_DOUBLE_EQ(health.concurrency_limit(kSlot), 2.5);
}

TEST_F(EndpointHealthTest, OverloadLowersTheLimitToNoLessThanOneAndIsNotAFault) {
  health.eject_as_overloaded(kSlot, kMeanRunMs);
  EXPECT_DOUBLE_EQ(health.concurrency_limit(kSlot), 1.4);
  EXPECT_TRUE(health.is_ejected(kSlot));
  expect_ejected_for_about(kBaseEjectionMs);
  health.eject_as_overloaded(kSlot, kMeanRunMs);
  health.eject_as_overloaded(kSlot, kMeanRunMs);
  EXPECT_DOUBLE_EQ(health.concurrency_limit(kSlot), 1);
  EXPECT_FALSE(health.has_fault_signs(kSlot));
}

TEST_F(EndpointHealthTest, TheEjectionOfAnOutlierDoublesUpToThreeTimes) {
  for (double duration : {2.0, 4.0, 8.0, 8.0}) {
    health.eject_as_outlier(kSlot, kMeanRunMs);
    expect_ejected_for_about(duration * kBaseEjectionMs);
    advance_past_ejection();
    EXPECT_FALSE(health.is_ejected(kSlot));
  }
  EXPECT_DOUBLE_EQ(health.concurrency_limit(kSlot), 1);
}

TEST_F(EndpointHealthTest, ConsecutiveFailuresDoubleTheEjectionUpToSixTimes) {
  for (int i = 0; i < 10; ++i)
    health.record_failure(kSlot);
  EXPECT_TRUE(health.fails_repeatedly(kSlot));
  health.eject_as_outlier(kSlot, kMeanRunMs);
  expect_ejected_for_about(64 * kBaseEjectionMs);
}

TEST_F(EndpointHealthTest, ATimelyStartClearsOutlierSignsButNotFailures) {
  health.eject_as_outlier(kSlot, kMeanRunMs);
  health.record_failure(kSlot);
  health.record_success(kSlot, 0);
  EXPECT_TRUE(health.has_fault_signs(kSlot));
  EXPECT_FALSE(health.fails_repeatedly(kSlot));
  health.clear_failures(kSlot);
  EXPECT_FALSE(health.has_fault_signs(kSlot));
}

TEST_F(EndpointHealthTest, AnEjectionIsNeverShortened) {
  health.eject_until(kSlot, 5000);
  health.eject_until(kSlot, 2000);
  EXPECT_DOUBLE_EQ(health.ejected_until(kSlot), 5000);
}

TEST_F(EndpointHealthTest, WithoutAMeanRunningTimeAnEjectionLastsFourTicks) {
  environment.settings.tick_ms = 50;
  health.eject_as_overloaded(kSlot, 0);
  expect_ejected_for_about(4 * 50);
}

TEST_F(EndpointHealthTest, ANewIncarnationHasNoFaultsOfTheFormerOne) {
  health.record_failure(kSlot);
  health.eject_as_outlier(kSlot, kMeanRunMs);
  health.reset(kSlot);
  EXPECT_FALSE(health.is_ejected(kSlot));
  EXPECT_FALSE(health.has_fault_signs(kSlot));
}

}  // namespace
}  // namespace keelflow::scheduler
