/// Tests of sums of amounts over a sliding time window.
#include "scheduler/sliding_window.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

TEST(SlidingWindow, SumIncludesAmountsAtTheWindowStartAndLater) {
  SlidingWindow window;
  window.add(100, 1, 0);
  window.add(200, 2, 0);
  window.add(300, 4, 0);
  EXPECT_DOUBLE_EQ(window.sum(0), 7);
  EXPECT_DOUBLE_EQ(window.sum(200), 6);
  EXPECT_DOUBLE_EQ(window.sum(201), 4);
  EXPECT_DOUBLE_EQ(window.sum(301), 0);
}

TEST(SlidingWindow, AnAmountInTheFutureCountsAtOnce) {
  SlidingWindow window;
  window.add(5000, 3, 0);
  EXPECT_DOUBLE_EQ(window.sum(1000), 3);
}

TEST(SlidingWindow, ExpiredAmountsStayRemoved) {
  SlidingWindow window;
  window.add(100, 1, 0);
  window.add(300, 2, 200);
  EXPECT_DOUBLE_EQ(window.sum(0), 2);
}

TEST(SlidingWindow, ANegativeAmountReducesTheSum) {
  SlidingWindow window;
  window.add(100, 5, 0);
  window.add(100, -2, 0);
  EXPECT_DOUBLE_EQ(window.sum(100), 3);
}

}  // namespace
}  // namespace keelflow::scheduler
