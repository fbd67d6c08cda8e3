/// Tests of subset membership of endpoints, during and after their warm-up.
#include "scheduler/subset.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr EndpointSlot kSlot = 3;

TEST(Subset, AllEndpointsBelongToTheSubsetUntilTheFirstEvent) {
  Subset subset;
  subset.reset(kSlot);
  EXPECT_TRUE(subset.entry(kSlot, false).is_own);
  EXPECT_TRUE(subset.entry(kSlot, true).is_own);
  EXPECT_DOUBLE_EQ(subset.fraction(), 1);
  EXPECT_FALSE(subset.shares_load());
}

TEST(Subset, AnEndpointHasASeparateEntryWhileItWarmsUp) {
  Subset subset;
  subset.reset(kSlot);
  subset.set(kSlot, {7, false, {1, 2}});
  subset.set_warming_up(kSlot, {7, true, {4}});
  EXPECT_FALSE(subset.entry(kSlot, false).is_own);
  EXPECT_EQ(subset.entry(kSlot, false).peers, (std::vector<int>{1, 2}));
  EXPECT_TRUE(subset.entry(kSlot, true).is_own);
  EXPECT_EQ(subset.entry(kSlot, true).peers, (std::vector<int>{4}));
}

TEST(Subset, ResettingAnEndpointAffectsNoOther) {
  Subset subset;
  subset.reset(kSlot);
  subset.reset(kSlot + 1);
  subset.set(kSlot, {7, false, {1}});
  subset.set(kSlot + 1, {8, false, {1}});
  subset.reset(kSlot);
  EXPECT_TRUE(subset.entry(kSlot, false).is_own);
  EXPECT_TRUE(subset.entry(kSlot, false).peers.empty());
  EXPECT_FALSE(subset.entry(kSlot + 1, false).is_own);
}

TEST(Subset, TheLastFractionAndSharingReplaceTheFormerOnes) {
  Subset subset;
  subset.set_fraction_and_sharing(0.25, true);
  EXPECT_DOUBLE_EQ(subset.fraction(), 0.25);
  EXPECT_TRUE(subset.shares_load());
  subset.set_fraction_and_sharing(1, false);
  EXPECT_DOUBLE_EQ(subset.fraction(), 1);
  EXPECT_FALSE(subset.shares_load());
}

}  // namespace
}  // namespace keelflow::scheduler
