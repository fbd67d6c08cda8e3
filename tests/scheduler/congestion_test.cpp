/// Tests of the congestion estimate.
#include "scheduler/congestion.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

TEST(Congestion, StartsAtZero) {
  Congestion congestion;
  EXPECT_DOUBLE_EQ(congestion.level(), 0);
  EXPECT_FALSE(congestion.is_high());
}

TEST(Congestion, IsHighAfterSevenConsecutiveSignals) {
  Congestion congestion;
  for (int i = 0; i < 6; ++i)
    congestion.record_congested();
  EXPECT_FALSE(congestion.is_high());
  congestion.record_congested();
  EXPECT_TRUE(congestion.is_high());
}

TEST(Congestion, ATimelyStartLowersTheLevelByATenth) {
  Congestion congestion;
  congestion.restore(0.6);
  congestion.record_timely_start();
  EXPECT_DOUBLE_EQ(congestion.level(), 0.54);
}

TEST(Congestion, FadingLowersTheLevelByAHundredth) {
  Congestion congestion;
  congestion.restore(0.6);
  congestion.fade();
  EXPECT_DOUBLE_EQ(congestion.level(), 0.594);
}

TEST(Congestion, IsNotHighAtExactlyAHalf) {
  Congestion congestion;
  congestion.restore(0.5);
  EXPECT_FALSE(congestion.is_high());
}

}  // namespace
}  // namespace keelflow::scheduler
