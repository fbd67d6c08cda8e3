/// How often each key is met.
#include "scheduler/key_frequency.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr int kKeysPerHalving = 4096;  // keys after which older ones count half

TEST(KeyFrequency, AKeyThatWasNotMetHasNoFraction) {
  KeyFrequency frequency;
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0);
  frequency.count(8);
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0);
}

TEST(KeyFrequency, TheFractionIsOfAllThatWereCounted) {
  KeyFrequency frequency;
  for (std::uint64_t key : {7, 7, 7, 8})
    frequency.count(key);
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0.75);
  EXPECT_DOUBLE_EQ(frequency.fraction(8), 0.25);
}

TEST(KeyFrequency, OlderTrafficCountsLessThanNewOne) {
  KeyFrequency frequency;
  for (int i = 0; i < kKeysPerHalving; ++i)
    frequency.count(7);
  for (int i = 0; i < kKeysPerHalving / 2; ++i)
    frequency.count(8);
  EXPECT_NEAR(frequency.fraction(8), 0.5, 0.01);
  for (int i = 0; i < 4 * kKeysPerHalving; ++i)
    frequency.count(8);
  EXPECT_LT(frequency.fraction(7), 0.01);
}

TEST(KeyFrequency, AKeyThatIsMetNoMoreIsForgotten) {
  KeyFrequency frequency;
  frequency.count(7);
  for (int i = 0; i < 2 * kKeysPerHalving; ++i)
    frequency.count(8);
  EXPECT_DOUBLE_EQ(frequency.fraction(7), 0);
}

}  // namespace
}  // namespace keelflow::scheduler
