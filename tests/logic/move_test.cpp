#include "moves/move.h"

#include <gtest/gtest.h>

#include <random>

namespace keelflow::moves {
namespace {

MoveSpec spec() {
  MoveSpec m;
  m.name = "m", m.route = "all", m.from = "old", m.to = "new";
  m.steps = {10, 50, 100};
  m.min_duration_ms = 5'000;
  m.max_duration_ms = 300'000;
  m.min_answers = 100;
  m.cool_off_ms = 60'000;
  return m;
}

const PoolView kFine{.ready = 10, .warm = 10, .draining = 0, .capacity = 10};

// A route's traffic while a move is under way: requests a second, and how likely each pool is to
// serve in time.
struct World {
  explicit World(MoveSpec s, unsigned seed = 1) : move(std::move(s)), random(seed) {
    move.pools(kFine, kFine, now);
  }

  void run(double seconds) {
    for (double until = now + 1000 * seconds; now < until;) {
      now += 100;
      std::poisson_distribution<int> count(rate / 10);
      for (int n = count(random); n > 0; --n) {
        Arm arm = uniform(random) < move.share() ? Arm::trial : Arm::control;
        move.arrived(arm, true, now);
        double good = arm == Arm::trial ? in_time_new : in_time_old;
        move.answered(arm, 1, uniform(random) < good ? 1 : 0, now, now);
      }
      move.tick(now);
      if (move.state() == State::undone || move.state() == State::done)
        return;
    }
  }

  Move move;
  std::mt19937 random;
  std::uniform_real_distribution<double> uniform{0, 1};
  double now = 1e12, rate = 100, in_time_old = 0.95, in_time_new = 0.95;
};

TEST(Move, PassesItsStepsAndEndsWhereThePoolsAreEqual) {
  World world(spec());
  ASSERT_EQ(world.move.start(world.now), "");
  EXPECT_DOUBLE_EQ(world.move.share(), 0.10);
  world.run(600);
  EXPECT_EQ(world.move.state(), State::done);
  EXPECT_DOUBLE_EQ(world.move.share(), 1.0);
  EXPECT_EQ(world.move.undos(), 0u);
}

TEST(Move, KeepsAControlUntilTheLastStepHasPassed) {
  World world(spec());
  world.move.start(world.now);
  double most = 0;
  while (world.move.state() == State::running)
    most = std::max(most, world.move.share()), world.run(1);
  EXPECT_DOUBLE_EQ(most, 0.95);
}

TEST(Move, IsUndoneWithinTheFirstStepWhereTheNewPoolIsWorse) {
  World world(spec());
  world.in_time_new = 0.6;
  world.move.start(world.now);
  world.run(600);
  EXPECT_EQ(world.move.state(), State::undone);
  EXPECT_EQ(world.move.step(), 0u);
  EXPECT_DOUBLE_EQ(world.move.share(), 0.0);
  EXPECT_NE(world.move.start(world.now + 59'000), "") << "it cools off";
  EXPECT_EQ(world.move.start(world.now + 60'000), "");
}

TEST(Move, WhatHitsBothPoolsIsNoGround) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    World world(spec(), seed);
    world.move.start(world.now);
    world.run(3);
    world.in_time_old = world.in_time_new = 0.4;  // both fall, as in a jump of traffic
    world.run(100);
    EXPECT_NE(world.move.state(), State::undone) << "seed " << seed << ": " << world.move.reason();
  }
}

TEST(Move, AJumpIsNoGroundWhereTheNewPoolHasMoreLoadThanCapacity) {
  auto play = [](double capacity_new) {
    MoveSpec slow = spec();
    slow.min_duration_ms = 30'000;  // it stays at one half for as long as this lasts
    World world(slow);
    world.move.start(world.now);
    while (world.move.step() < 1)
      world.run(1);
    world.run(3);
    PoolView to = kFine;
    to.capacity = capacity_new;
    world.move.pools(kFine, to, world.now);
    world.rate = 300;
    world.run(4);  // seen as a jump by now
    world.in_time_new = 0.3;
    world.run(10);
    return world;
  };
  World excused = play(5);  // half the load on a third of the capacity
  EXPECT_EQ(excused.move.state(), State::running) << excused.move.reason();
  EXPECT_EQ(excused.move.wait_reason(), Wait::surge);
  World blamed = play(20);  // half the load on two thirds of it, and still worse
  EXPECT_EQ(blamed.move.state(), State::undone);
}

// The jump is over, and what it left in the queues is still served late: no ground either.
TEST(Move, WhatAJumpLeavesBehindIsWaitedOut) {
  MoveSpec slow = spec();
  slow.min_duration_ms = 30'000;
  World world(slow);
  world.move.start(world.now);
  while (world.move.step() < 1)
    world.run(1);
  PoolView small = kFine;
  small.capacity = 5;
  world.move.pools(kFine, small, world.now);
  world.rate = 300;
  world.run(5);
  ASSERT_EQ(world.move.wait_reason(), Wait::surge);
  world.in_time_new = 0.3;
  world.rate = 100;
  world.run(8);  // of which the load takes a few seconds to be seen as usual
  world.in_time_new = 0.95;
  world.run(8);
  EXPECT_EQ(world.move.state(), State::running) << world.move.reason();
  EXPECT_GT(world.move.last().trial, 0.8) << "the late ones were not measured";
}

TEST(Move, AJumpOfOtherRoutesToTheNewPoolIsSeenToo) {
  auto play = [](double others) {
    MoveSpec slow = spec();
    slow.min_duration_ms = 30'000;
    World world(slow);
    auto also = [&](double rate, double seconds) {  // requests of another route to the new pool
      for (double end = world.now + 1000 * seconds;
           world.now < end && world.move.state() != State::undone;) {
        for (int i = 0; i < rate / 10; ++i)
          world.move.arrived(Arm::trial, false, world.now);
        world.run(0.1);
      }
    };
    also(50, 20);
    world.move.start(world.now);
    also(50, 3);
    also(others, 4);
    world.in_time_new = 0.3;
    also(others, 25);
    return world.move.state();
  };
  EXPECT_EQ(play(300), State::running);
  EXPECT_EQ(play(50), State::undone);
}

TEST(Move, APoolTooSmallForItsShareIsAGroundWithoutAJump) {
  World world(spec());
  world.move.start(world.now);
  while (world.move.step() < 1)
    world.run(1);
  world.move.pools(kFine, {.ready = 2, .warm = 2, .draining = 0, .capacity = 2}, world.now);
  world.in_time_new = 0.7;
  world.run(60);
  EXPECT_EQ(world.move.state(), State::undone);
  EXPECT_EQ(world.move.step(), 1u);
}

TEST(Move, ColdBoxesAreWaitedOutAndNotMeasured) {
  World world(spec());
  world.move.pools(kFine, {.ready = 10, .warm = 0, .draining = 0, .capacity = 0}, world.now);
  ASSERT_EQ(world.move.start(world.now), "");
  world.in_time_new = 0.1;
  world.run(30);
  EXPECT_EQ(world.move.state(), State::running);
  EXPECT_EQ(world.move.wait_reason(), Wait::slow_start);
  EXPECT_EQ(world.move.step(), 0u) << "the step's time stands still";
  world.move.pools(kFine, kFine, world.now);
  world.in_time_new = 0.95;
  world.run(600);
  EXPECT_EQ(world.move.state(), State::done);
}

TEST(Move, ALostOrDrainingPoolIsUndoneAtOnceAndAnEmptyOneIsNotBegun) {
  World world(spec());
  world.move.start(world.now);
  world.move.pools(kFine, {.ready = 0, .warm = 0, .draining = 3, .capacity = 0}, world.now);
  EXPECT_EQ(world.move.state(), State::undone);
  EXPECT_NE(world.move.reason().find("draining"), std::string::npos);
  World empty(spec());
  empty.move.pools(kFine, {}, empty.now);
  EXPECT_NE(empty.move.start(empty.now), "");
  EXPECT_EQ(empty.move.state(), State::idle);
}

TEST(Move, ACrashInTheOldPoolIsNoGround) {
  World world(spec());
  world.move.start(world.now);
  world.run(3);
  world.in_time_old = 0.7;
  world.run(600);
  EXPECT_EQ(world.move.state(), State::done);
}

TEST(Move, CommandsMayComeTwiceAndAtAnyTime) {
  World world(spec());
  EXPECT_NE(world.move.undo("x", world.now), "");
  EXPECT_NE(world.move.pause(world.now), "");
  EXPECT_NE(world.move.resume(world.now), "");
  EXPECT_EQ(world.move.start(world.now), "");
  EXPECT_NE(world.move.start(world.now), "");
  EXPECT_EQ(world.move.pause(world.now), "");
  world.run(60);
  EXPECT_EQ(world.move.step(), 0u) << "a paused move takes no step";
  EXPECT_EQ(world.move.resume(world.now), "");
  EXPECT_EQ(world.move.undo("by hand", world.now), "");
  EXPECT_NE(world.move.undo("by hand", world.now), "");
  EXPECT_EQ(world.move.undos(), 1u);
}

TEST(Move, APausedMoveIsStillUndoneWhereItsPoolIsWorse) {
  World world(spec());
  world.move.start(world.now);
  world.move.pause(world.now);
  world.in_time_new = 0.3;
  world.run(60);
  EXPECT_EQ(world.move.state(), State::undone);
}

TEST(Move, NewStepsAreTakenUpWhereTheOldOnesStood) {
  World world(spec());
  world.move.start(world.now);
  while (world.move.step() < 1)
    world.run(1);
  MoveSpec other = spec();
  other.steps = {20, 40, 60, 100};
  world.move.update_spec(other, world.now);
  EXPECT_DOUBLE_EQ(world.move.share(), 0.40);
  EXPECT_EQ(world.move.step(), 1u);
  other.steps = {70, 100};
  world.move.update_spec(other, world.now);
  EXPECT_DOUBLE_EQ(world.move.share(), 0.70);
}

TEST(Move, AnswersFromBeforeTheMeasureBeganDoNotCount) {
  World world(spec());
  world.move.start(world.now);
  double began = world.now;
  auto answers = [&](double arrived, double from) {
    for (int i = 0; i < 500; ++i) {
      world.move.answered(Arm::trial, 1, 0, arrived, from + 20 * i);
      world.move.answered(Arm::control, 1, 1, arrived, from + 20 * i);
    }
    world.move.tick(from + 10'000);
  };
  answers(began - 1, began);
  EXPECT_EQ(world.move.state(), State::running);
  answers(began, began + 10'000);
  EXPECT_EQ(world.move.state(), State::undone);
}

TEST(Move, AnUndecidedStepIsUndoneInTheEnd) {
  MoveSpec s = spec();
  s.max_duration_ms = 20'000;
  s.min_answers = 1'000'000;
  World world(s);
  world.move.start(world.now);
  world.run(25);
  EXPECT_EQ(world.move.state(), State::undone);
}

TEST(Move, FaultsAreNamed) {
  MoveSpec s = spec();
  EXPECT_TRUE(faults(s).empty());
  s.steps = {10, 5, 90};
  s.to = s.from;
  s.min_duration_ms = s.max_duration_ms;
  EXPECT_EQ(faults(s).size(), 4u);
}

// Answers that hang together in time (an outage of both pools, second by second) must not count as
// independent.
TEST(Comparison, AnswersThatHangTogetherDoNotRaiseFalseAlarms) {
  int alarms = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    Comparison comparison({});
    bool called = false;
    for (int second = 0; second < 60; ++second) {
      // Each pool has seconds of its own in which nothing is in time.
      bool bad_old = uniform(random) < 0.1, bad_new = uniform(random) < 0.1;
      for (int i = 0; i < 40; ++i) {
        bool trial = i % 4 == 0;
        comparison.add(trial ? Arm::trial : Arm::control, 1, (trial ? bad_new : bad_old) ? 0 : 1,
                       1000.0 * second + i);
      }
      called = called || (second > 8 && comparison.worse(comparison.estimate()));
    }
    alarms += called;
  }
  EXPECT_LE(alarms, 10) << "of 200";
}

// Seconds that are bad for one pool alone, rarely: a move of an equal pool must outlast them.
// Seven seconds of two equal pools, but for one second in which all that the new one answers is
// late: as independent answers that is far more than chance, and there are too few seconds yet to
// see that its answers hang together.
TEST(Comparison, ABadMomentOfTheNewPoolIsNotABadPool) {
  int alarms = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    Comparison comparison({});
    bool called = false;
    for (int i = 0; i < 2800; ++i) {
      bool trial = i % 4 == 0,
           good = uniform(random) < 0.97 && !(trial && i / 400 == static_cast<int>(seed % 6));
      comparison.add(trial ? Arm::trial : Arm::control, 1, good ? 1 : 0, 2.5 * i);
      called = called || comparison.worse(comparison.estimate());
    }
    alarms += called;
  }
  EXPECT_LE(alarms, 2) << "of 200";
}

TEST(LoadSurgeDetector, TellsAJumpFromNoiseAndTakesALastingOneForUsualInTheEnd) {
  std::mt19937 random(11);
  LoadSurgeDetector watch;
  double now = 0;
  int quiet_jumps = 0;
  auto run = [&](double rate, int seconds) {
    int jumps = 0;
    std::poisson_distribution<int> count(rate);
    for (int i = 0; i < seconds; ++i, now += 1000) {
      for (int n = count(random); n > 0; --n)
        watch.arrived(now);
      watch.advance(now + 1000);
      jumps += watch.surge();
    }
    return jumps;
  };
  quiet_jumps = run(20, 600);
  EXPECT_EQ(quiet_jumps, 0);
  EXPECT_GT(run(48, 10), 5);
  run(48, 600);
  EXPECT_FALSE(watch.surge());
}

TEST(LoadSurgeDetector, AYoungOneDoesNotTakeAJumpForUsual) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    LoadSurgeDetector watch;
    int jumps = 0;
    for (int second = 0; second < 40; ++second) {
      std::poisson_distribution<int> count(second < 10 ? 100 : 240);
      for (int n = count(random); n > 0; --n)
        watch.arrived(1000.0 * second);
      watch.advance(1000.0 * (second + 1));
      jumps += watch.surge();
    }
    EXPECT_GE(jumps, 27) << "of 30 seconds, seed " << seed;
  }
}

}  // namespace
}  // namespace keelflow::moves
