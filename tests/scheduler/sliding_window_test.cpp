/// Amounts by time.
#include "scheduler/sliding_window.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

TEST(SlidingWindow, TheSumIsOfAmountsAtItsStartAndLater) {
  SlidingWindow window;
  window.add(100, 1, 0);
  window.add(200, 2, 0);
  window.add(300, 4, 0);
  EXPECT_DOUBLE_EQ(window.sum(0), 7);
  EXPECT_DOUBLE_EQ(window.sum(200), 6);
  EXPECT_DOUBLE_EQ(window.sum(201), 4);
  EXPECT_DOUBLE_EQ(window.sum(301), 0);
}

TEST(SlidingWindow, AnAmountForATimeToComeCountsAtOnce) {
  SlidingWindow window;
  window.add(5000, 3, 0);
  EXPECT_DOUBLE_EQ(window.sum(1000), 3);
}

TEST(SlidingWindow, WhatWasForgottenDoesNotComeBack) {
  SlidingWindow window;
  window.add(100, 1, 0);
  window.add(300, 2, 200);
  EXPECT_DOUBLE_EQ(window.sum(0), 2);
}

TEST(SlidingWindow, AnAmountCanBeTakenBack) {
  SlidingWindow window;
  window.add(100, 5, 0);
  window.add(100, -2, 0);
  EXPECT_DOUBLE_EQ(window.sum(100), 3);
}

}  // namespace
}  // namespace keelflow::scheduler
