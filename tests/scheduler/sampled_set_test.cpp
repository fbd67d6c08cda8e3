/// Tests of a set of small integers with access by position.
#include "scheduler/sampled_set.h"

#include <gtest/gtest.h>

#include <set>

namespace keelflow::scheduler {
namespace {

std::set<std::uint32_t> items_of(const SampledSet& set) {
  std::set<std::uint32_t> items;
  for (std::size_t i = 0; i < set.size(); ++i)
    items.insert(set[i]);
  return items;
}

TEST(SampledSet, SettingAnItemTwiceKeepsOneCopy) {
  SampledSet set;
  set.set(5, true);
  set.set(5, true);
  EXPECT_EQ(set.size(), 1u);
  EXPECT_TRUE(set.has(5));
  EXPECT_FALSE(set.has(4));
  EXPECT_FALSE(set.has(1000));
}

TEST(SampledSet, TheLastItemMovesToThePositionOfARemovedItem) {
  SampledSet set;
  for (std::uint32_t item : {3, 1, 2})
    set.set(item, true);
  set.set(3, false);
  ASSERT_EQ(set.size(), 2u);
  EXPECT_EQ(set[0], 2u);
  EXPECT_EQ(set[1], 1u);
}

TEST(SampledSet, RemovingAnAbsentItemChangesNothing) {
  SampledSet set;
  set.set(3, true);
  set.set(9, false);
  set.set(3, false);
  set.set(3, false);
  EXPECT_EQ(set.size(), 0u);
}

TEST(SampledSet, ARemovedItemCanBeAddedAgain) {
  SampledSet set;
  for (std::uint32_t item : {3, 1, 2})
    set.set(item, true);
  for (std::uint32_t item : {2, 3})
    set.set(item, false);
  set.set(3, true);
  EXPECT_EQ(items_of(set), (std::set<std::uint32_t>{1, 3}));
}

}  // namespace
}  // namespace keelflow::scheduler
