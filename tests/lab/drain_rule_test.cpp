// The rule on drains, as the lab checks it.
#include "drain_rule.h"

#include <gtest/gtest.h>

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kThen{1h};

TEST(DrainRule, AChangeCountsFromWhenItIsWrittenAndForThatNodeAlone) {
  DrainRule rule;
  EXPECT_EQ(rule.counts_as_told(0, "box"), TimePoint::max());
  rule.told(0, "box", kThen);  // it is ready: nothing to be told
  rule.drained("box", kThen);
  rule.told(0, "box", kThen + 1s);
  rule.told(0, "box", kThen + 3s);
  EXPECT_EQ(rule.counts_as_told(0, "box"), kThen + 1s);
  EXPECT_EQ(rule.counts_as_told(1, "box"), kThen + 6s);
  rule.ready("box");
  EXPECT_EQ(rule.counts_as_told(0, "box"), TimePoint::max());
}

TEST(DrainRule, WhereDiscoveryCannotBeReachedSixSecondsCountFromItsReturn) {
  DrainRule rule;
  rule.reachable(0, false, kThen);
  rule.drained("box", kThen + 1s);
  EXPECT_EQ(rule.counts_as_told(0, "box"), TimePoint::max());
  rule.reachable(0, true, kThen + 9s);
  rule.reachable(0, true, kThen + 10s);
  EXPECT_EQ(rule.counts_as_told(0, "box"), kThen + 15s);
}

TEST(DrainRule, WhatASilentWatchMissesCountsSixSecondsAfterItFellSilent) {
  DrainRule rule;
  rule.silent(0, kThen);
  rule.drained("box", kThen + 4s);
  EXPECT_EQ(rule.counts_as_told(0, "box"), kThen + 6s);
  rule.drained("late", kThen + 8s);
  EXPECT_EQ(rule.counts_as_told(0, "late"), kThen + 8s);
  rule.heard(0);
  EXPECT_EQ(rule.counts_as_told(0, "box"), kThen + 10s);
}

// A watch that fell silent just before an outage does not make changes count that discovery could
// tell nobody.
TEST(DrainRule, WhatChangesWhileDiscoveryIsAwayIsNotMissedByASilentWatch) {
  DrainRule rule;
  rule.silent(0, kThen);
  rule.drained("before", kThen + 1s);
  rule.reachable(0, false, kThen + 2s);
  rule.drained("meanwhile", kThen + 3s);
  EXPECT_EQ(rule.counts_as_told(0, "before"), kThen + 6s);
  EXPECT_EQ(rule.counts_as_told(0, "meanwhile"), TimePoint::max());
  rule.reachable(0, true, kThen + 20s);
  rule.drained("after", kThen + 21s);
  EXPECT_EQ(rule.counts_as_told(0, "before"), kThen + 6s);
  EXPECT_EQ(rule.counts_as_told(0, "meanwhile"), kThen + 26s);
  EXPECT_EQ(rule.counts_as_told(0, "after"), kThen + 21s);
}

}  // namespace
}  // namespace keelflow::lab
