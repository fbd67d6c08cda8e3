/// Tests of the frequency estimate of keys.
#include "scheduler/key_frequency.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr int kHalvingInterval = 4096;  // counts are halved after this number of keys

TEST(KeyFrequency, AnUnseenKeyHasAFractionOfZero) {
  KeyFrequency frequency;
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0);
  frequency.count(8);
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0);
}

TEST(KeyFrequency, TheFractionIsOfAllCountedKeys) {
  KeyFrequency frequency;
  for (std::uint64_t key : {7, 7, 7, 8})
    frequency.count(key);
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0.75);
  EXPECT_DOUBLE_EQ(frequency.fraction(8), 0.25);
}

TEST(KeyFrequency, OlderTrafficCountsLessThanNewTraffic) {
  KeyFrequency frequency;
  for (int i = 0; i < kHalvingInterval; ++i)
    frequency.count(7);
  for (int i = 0; i < kHalvingInterval / 2; ++i)
    frequency.count(8);
  EXPECT_NEAR(frequency.fraction(8), 0.5, 0.01);
  for (int i = 0; i < 4 * kHalvingInterval; ++i)
    frequency.count(8);
  EXPECT_LT(frequency.fraction(7), 0.01);
}

TEST(KeyFrequency, AKeyThatIsNoLongerSeenIsForgotten) {
  KeyFrequency frequency;
  frequency.count(7);
  for (int i = 0; i < 2 * kHalvingInterval; ++i)
    frequency.count(8);
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0);
}

}  // namespace
}  // namespace keelflow::scheduler
