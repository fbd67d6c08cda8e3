/// Tests of the averages of start delays and running times.
#include "scheduler/service_statistics.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace keelflow::scheduler {
namespace {

constexpr EndpointSlot kSlot = 0;

Settings two_kinds_and_zones() {
  Settings settings;
  settings.kinds = 2;
  settings.zones = 2;
  return settings;
}

TEST(ServiceStatistics, ARatioChangesTheEndpointMoreThanItsKindAndLeavesOtherKindsUnchanged) {
  ServiceStatistics statistics(two_kinds_and_zones());
  statistics.reset(kSlot, 1);
  statistics.record_ratio(kSlot, 1, 2, false);
  EXPECT_DOUBLE_EQ(statistics.service_time_ratio(kSlot), 1.2);
  EXPECT_DOUBLE_EQ(statistics.kind_service_time_ratio(1), 1.1);
  EXPECT_DOUBLE_EQ(statistics.kind_service_time_ratio(0), 1);
}

TEST(ServiceStatistics, ARatioDuringWarmUpDoesNotChangeTheKind) {
  ServiceStatistics statistics(two_kinds_and_zones());
  statistics.reset(kSlot, 0);
  statistics.record_ratio(kSlot, 0, 2, true);
  EXPECT_DOUBLE_EQ(statistics.service_time_ratio(kSlot), 1.2);
  EXPECT_DOUBLE_EQ(statistics.kind_service_time_ratio(0), 1);
}

TEST(ServiceStatistics, ANewIncarnationStartsWithTheRatioOfItsKind) {
  ServiceStatistics statistics(two_kinds_and_zones());
  statistics.reset(kSlot, 0);
  statistics.record_ratio(kSlot, 0, 2, false);
  statistics.reset(kSlot, 0);
  EXPECT_DOUBLE_EQ(statistics.service_time_ratio(kSlot), 1.1);
}

TEST(ServiceStatistics, ARatioIsClampedToBetweenAQuarterAndFour) {
  ServiceStatistics statistics(two_kinds_and_zones());
  statistics.reset(kSlot, 0);
  statistics.record_ratio(kSlot, 0, 1000, false);
  EXPECT_DOUBLE_EQ(statistics.service_time_ratio(kSlot), 1 + 0.2 * 3);
  statistics.reset(kSlot, 1);
  statistics.record_ratio(kSlot, 1, 0, false);
  EXPECT_DOUBLE_EQ(statistics.service_time_ratio(kSlot), 1 - 0.2 * 0.75);
}

TEST(ServiceStatistics, TheMeanRunningTimeIsTheFirstRunThenMovesATenthOfTheWayToEachNewRun) {
  ServiceStatistics statistics(two_kinds_and_zones());
  EXPECT_DOUBLE_EQ(statistics.mean_running_time_ms(), 0);
  statistics.record_run(100);
  EXPECT_DOUBLE_EQ(statistics.mean_running_time_ms(), 100);
  statistics.record_run(200);
  EXPECT_DOUBLE_EQ(statistics.mean_running_time_ms(), 110);
}

TEST(ServiceStatistics, TheStartTimeoutIsThreeMeanDelaysOfTheZoneFourTicksAndTenMs) {
  ServiceStatistics statistics(two_kinds_and_zones());
  EXPECT_DOUBLE_EQ(statistics.start_timeout(0, 5), 30);
  statistics.record_start_delay(1, 20);
  EXPECT_DOUBLE_EQ(statistics.start_timeout(1, 5), 90);
  EXPECT_DOUBLE_EQ(statistics.start_timeout(0, 5), 30);
}

TEST(ServiceStatistics, TheObservedCoresOfAKindAreTheMaximumOfConcurrentRuns) {
  ServiceStatistics statistics(two_kinds_and_zones());
  EXPECT_DOUBLE_EQ(statistics.observed_cores(0), 1);
  statistics.record_concurrent_attempts(0, 4);
  statistics.record_concurrent_attempts(0, 2);
  EXPECT_DOUBLE_EQ(statistics.observed_cores(0), 4);
  EXPECT_DOUBLE_EQ(statistics.observed_cores(1), 1);
}

TEST(ServiceStatistics, RestoresTheLearnedState) {
  ServiceStatistics statistics(two_kinds_and_zones());
  LearnedState learned;
  learned.kinds = {{4, 1.5}, {2, 0.5}};
  learned.fleet.start_delay_ms = {10, 20};
  learned.fleet.mean_run_ms = 300;
  statistics.restore(learned);
  EXPECT_DOUBLE_EQ(statistics.kind_service_time_ratio(1), 0.5);
  EXPECT_DOUBLE_EQ(statistics.observed_cores(0), 4);
  EXPECT_DOUBLE_EQ(statistics.mean_running_time_ms(), 300);
  EXPECT_DOUBLE_EQ(statistics.start_timeout(1, 0), 70);
  EXPECT_THROW(statistics.restore(LearnedState{}), std::out_of_range);
}

}  // namespace
}  // namespace keelflow::scheduler
