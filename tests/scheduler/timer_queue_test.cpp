/// Tests of a queue of timers that is driven by one external timer.
#include "scheduler/timer_queue.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

TEST(TimerQueue, TimersAreOrderedByTimeAndThenByInsertion) {
  TimerQueue timers;
  timers.add(300, TimerPurpose::deadline, 1);
  timers.add(100, TimerPurpose::overdue, 2);
  timers.add(100, TimerPurpose::late_start, 3, 4);
  EXPECT_EQ(timers.pop().subject, 2u);
  TimerQueue::Entry second = timers.pop();
  EXPECT_EQ(second.subject, 3u);
  EXPECT_EQ(second.purpose, TimerPurpose::late_start);
  EXPECT_EQ(second.attempt, 4);
  EXPECT_EQ(timers.pop().subject, 1u);
}

TEST(TimerQueue, ATimerIsDueAtItsTimeAndNotBefore) {
  TimerQueue timers;
  EXPECT_FALSE(timers.is_due(1000));
  timers.add(100, TimerPurpose::reindex);
  EXPECT_FALSE(timers.is_due(99));
  EXPECT_TRUE(timers.is_due(100));
  timers.pop();
  EXPECT_FALSE(timers.is_due(100));
}

TEST(TimerQueue, TheExternalTimerIsRearmedOnlyForAnEarlierTime) {
  TimerQueue timers;
  EXPECT_FALSE(timers.needs_arming());
  timers.add(200, TimerPurpose::reindex);
  EXPECT_TRUE(timers.needs_arming());
  EXPECT_DOUBLE_EQ(timers.arm(), 200);
  timers.add(300, TimerPurpose::reindex);
  EXPECT_FALSE(timers.needs_arming());
  timers.add(100, TimerPurpose::reindex);
  EXPECT_TRUE(timers.needs_arming());
  EXPECT_DOUBLE_EQ(timers.arm(), 100);
}

TEST(TimerQueue, AStaleExternalTimerChangesNothing) {
  TimerQueue timers;
  timers.add(200, TimerPurpose::reindex);
  timers.arm();
  std::uint64_t stale = timers.id();
  timers.add(100, TimerPurpose::reindex);
  timers.arm();
  timers.on_fired(stale);
  EXPECT_FALSE(timers.needs_arming());
  timers.on_fired(timers.id());
  EXPECT_TRUE(timers.needs_arming());
}

}  // namespace
}  // namespace keelflow::scheduler
