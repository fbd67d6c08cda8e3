/// Tests of traffic shifting: the Move state machine, Comparison and LoadSurgeDetector.
#include "moves/move.h"

#include <gtest/gtest.h>

#include <random>

namespace keelflow::moves {
namespace {

MoveSpec spec() {
  MoveSpec m;
  m.name = "m";
  m.route = "all";
  m.from = "old";
  m.to = "new";
  m.steps = {10, 50, 100};
  m.min_duration_ms = 5'000;
  m.max_duration_ms = 300'000;
  m.min_answers = 100;
  m.cool_off_ms = 60'000;
  return m;
}

const PoolView kFine{.ready = 10, .warm = 10, .draining = 0, .capacity = 10};

/// Simulates the traffic of a route during a move, from the rate of requests per second and each
/// pool's probability of answering in time.
struct World {
  explicit World(MoveSpec s, unsigned seed = 1) : move(std::move(s)), random(seed) {
    move.update_pools(kFine, kFine, now);
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

TEST(Move, CompletesAllStepsIfThePoolsAreEqual) {
  World world(spec());
  ASSERT_EQ(world.move.start(world.now), "");
  EXPECT_DOUBLE_EQ(world.move.share(), 0.10);
  world.run(600);
  EXPECT_EQ(world.move.state(), State::done);
  EXPECT_DOUBLE_EQ(world.move.share(), 1.0);
  EXPECT_EQ(world.move.undos(), 0u);
}

TEST(Move, KeepsAControlShareUntilTheLastStepHasPassed) {
  World world(spec());
  world.move.start(world.now);
  double most = 0;
  while (world.move.state() == State::running) {
    most = std::max(most, world.move.share());
    world.run(1);
  }
  EXPECT_DOUBLE_EQ(most, 0.95);
}

TEST(Move, IsUndoneInTheFirstStepIfTheNewPoolIsWorse) {
  World world(spec());
  world.in_time_new = 0.6;
  world.move.start(world.now);
  world.run(600);
  EXPECT_EQ(world.move.state(), State::undone);
  EXPECT_EQ(world.move.step(), 0u);
  EXPECT_DOUBLE_EQ(world.move.share(), 0.0);
  EXPECT_NE(world.move.start(world.now + 59'000), "") << "the cool-off time is not over";
  EXPECT_EQ(world.move.start(world.now + 60'000), "");
}

TEST(Move, IsNotUndoneIfBothPoolsDegrade) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    World world(spec(), seed);
    world.move.start(world.now);
    world.run(3);
    world.in_time_old = world.in_time_new = 0.4;  // both degrade, as in a traffic surge
    world.run(100);
    EXPECT_NE(world.move.state(), State::undone) << "seed " << seed << ": " << world.move.reason();
  }
}

TEST(Move, IsNotUndoneInASurgeThatGivesTheNewPoolMoreLoadThanCapacity) {
  auto play = [](double capacity_new) {
    MoveSpec slow = spec();
    slow.min_duration_ms = 30'000;  // longer than the test runs, so the move stays at 50 %
    World world(slow);
    world.move.start(world.now);
    while (world.move.step() < 1)
      world.run(1);
    world.run(3);
    PoolView to = kFine;
    to.capacity = capacity_new;
    world.move.update_pools(kFine, to, world.now);
    world.rate = 300;
    world.run(4);  // long enough to detect the surge
    world.in_time_new = 0.3;
    world.run(10);
    return world;
  };
  World exceeding = play(5);  // half the load on a third of the capacity
  EXPECT_EQ(exceeding.move.state(), State::running) << exceeding.move.reason();
  EXPECT_EQ(exceeding.move.wait_reason(), Wait::surge);
  World sufficient = play(20);  // half the load on two thirds of the capacity, and still worse
  EXPECT_EQ(sufficient.move.state(), State::undone);
}

// After a surge the requests left in the queues are still answered late. They must not cause an
// undo.
TEST(Move, DoesNotMeasureLateAnswersRightAfterASurge) {
  MoveSpec slow = spec();
  slow.min_duration_ms = 30'000;
  World world(slow);
  world.move.start(world.now);
  while (world.move.step() < 1)
    world.run(1);
  PoolView small_pool = kFine;
  small_pool.capacity = 5;
  world.move.update_pools(kFine, small_pool, world.now);
  world.rate = 300;
  world.run(5);
  ASSERT_EQ(world.move.wait_reason(), Wait::surge);
  world.in_time_new = 0.3;
  world.rate = 100;
  world.run(8);  // includes the few seconds until the end of the surge is detected
  world.in_time_new = 0.95;
  world.run(8);
  EXPECT_EQ(world.move.state(), State::running) << world.move.reason();
  EXPECT_GT(world.move.last().trial, 0.8) << "late answers must not be measured";
}

TEST(Move, DetectsASurgeOfOtherRoutesToTheNewPool) {
  auto play = [](double other_rate) {
    MoveSpec slow = spec();
    slow.min_duration_ms = 30'000;
    World world(slow);
    auto run_with_other_route = [&](double rate,
                                    double seconds) {  // requests of another route to the new pool
      for (double end = world.now + 1000 * seconds;
           world.now < end && world.move.state() != State::undone;) {
        for (int i = 0; i < rate / 10; ++i)
          world.move.arrived(Arm::trial, false, world.now);
        world.run(0.1);
      }
    };
    run_with_other_route(50, 20);
    world.move.start(world.now);
    run_with_other_route(50, 3);
    run_with_other_route(other_rate, 4);
    world.in_time_new = 0.3;
    run_with_other_route(other_rate, 25);
    return world.move.state();
  };
  EXPECT_EQ(play(300), State::running);
  EXPECT_EQ(play(50), State::undone);
}

TEST(Move, IsUndoneIfTheNewPoolIsTooSmallWithoutASurge) {
  World world(spec());
  world.move.start(world.now);
  while (world.move.step() < 1)
    world.run(1);
  world.move.update_pools(kFine, {.ready = 2, .warm = 2, .draining = 0, .capacity = 2}, world.now);
  world.in_time_new = 0.7;
  world.run(60);
  EXPECT_EQ(world.move.state(), State::undone);
  EXPECT_EQ(world.move.step(), 1u);
}

TEST(Move, WaitsForEndpointsInSlowStartWithoutMeasuringThem) {
  World world(spec());
  world.move.update_pools(kFine, {.ready = 10, .warm = 0, .draining = 0, .capacity = 0}, world.now);
  ASSERT_EQ(world.move.start(world.now), "");
  world.in_time_new = 0.1;
  world.run(30);
  EXPECT_EQ(world.move.state(), State::running);
  EXPECT_EQ(world.move.wait_reason(), Wait::slow_start);
  EXPECT_EQ(world.move.step(), 0u) << "the waiting time must not count for the step";
  world.move.update_pools(kFine, kFine, world.now);
  world.in_time_new = 0.95;
  world.run(600);
  EXPECT_EQ(world.move.state(), State::done);
}

TEST(Move, IsUndoneAtOnceIfThePoolDrainsAndDoesNotStartWithAnEmptyPool) {
  World world(spec());
  world.move.start(world.now);
  world.move.update_pools(kFine, {.ready = 0, .warm = 0, .draining = 3, .capacity = 0}, world.now);
  EXPECT_EQ(world.move.state(), State::undone);
  EXPECT_NE(world.move.reason().find("draining"), std::string::npos);
  World empty(spec());
  empty.move.update_pools(kFine, {}, empty.now);
  EXPECT_NE(empty.move.start(empty.now), "");
  EXPECT_EQ(empty.move.state(), State::idle);
}

TEST(Move, IsNotUndoneIfTheOldPoolDegrades) {
  World world(spec());
  world.move.start(world.now);
  world.run(3);
  world.in_time_old = 0.7;
  world.run(600);
  EXPECT_EQ(world.move.state(), State::done);
}

TEST(Move, AcceptsCommandsRepeatedlyAndInAnyState) {
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

TEST(Move, IsUndoneWhilePausedIfTheNewPoolIsWorse) {
  World world(spec());
  world.move.start(world.now);
  world.move.pause(world.now);
  world.in_time_new = 0.3;
  world.run(60);
  EXPECT_EQ(world.move.state(), State::undone);
}

TEST(Move, ContinuesAtTheNearestStepAfterNewSettings) {
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

TEST(Move, IgnoresRequestsThatArrivedBeforeTheMeasurementBegan) {
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

TEST(Move, IsUndoneIfAStepStaysUndecidedForTooLong) {
  MoveSpec s = spec();
  s.max_duration_ms = 20'000;
  s.min_answers = 1'000'000;
  World world(s);
  world.move.start(world.now);
  world.run(25);
  EXPECT_EQ(world.move.state(), State::undone);
}

TEST(Move, ReportsAllFaultsOfItsSettings) {
  MoveSpec s = spec();
  EXPECT_TRUE(faults(s).empty());
  s.steps = {10, 5, 90};
  s.to = s.from;
  s.min_duration_ms = s.max_duration_ms;
  EXPECT_EQ(faults(s).size(), 4u);
}

// Answers that are correlated in time (whole seconds in which a pool answers nothing in time) must
// not count as independent.
TEST(Comparison, CorrelatedAnswersDoNotRaiseFalseAlarms) {
  int alarms = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    Comparison comparison({});
    bool called = false;
    for (int second = 0; second < 60; ++second) {
      // Each pool has its own seconds without any answer in time.
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

// Rare seconds that are bad for one pool only must not end a move between equal pools. The test
// runs two equal pools for seven seconds, except for one second in which all answers of the new
// pool are late. Counted as independent answers this is far beyond chance, and there are too few
// seconds yet to measure the correlation of the answers.
TEST(Comparison, OneBadSecondOfTheNewPoolDoesNotRaiseAnAlarm) {
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

TEST(LoadSurgeDetector, DistinguishesASurgeFromNoiseAndAdaptsToALastingOne) {
  std::mt19937 random(11);
  LoadSurgeDetector detector;
  double now = 0;
  int false_surges = 0;
  auto run = [&](double rate, int seconds) {
    int surge_seconds = 0;
    std::poisson_distribution<int> count(rate);
    for (int i = 0; i < seconds; ++i, now += 1000) {
      for (int n = count(random); n > 0; --n)
        detector.arrived(now);
      detector.advance(now + 1000);
      surge_seconds += detector.surge();
    }
    return surge_seconds;
  };
  false_surges = run(20, 600);
  EXPECT_EQ(false_surges, 0);
  EXPECT_GT(run(48, 10), 5);
  run(48, 600);
  EXPECT_FALSE(detector.surge());
}

TEST(LoadSurgeDetector, DetectsASurgeSoonAfterItsStart) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    LoadSurgeDetector detector;
    int surge_seconds = 0;
    for (int second = 0; second < 40; ++second) {
      std::poisson_distribution<int> count(second < 10 ? 100 : 240);
      for (int n = count(random); n > 0; --n)
        detector.arrived(1000.0 * second);
      detector.advance(1000.0 * (second + 1));
      surge_seconds += detector.surge();
    }
    EXPECT_GE(surge_seconds, 27) << "of 30 seconds, seed " << seed;
  }
}

}  // namespace
}  // namespace keelflow::moves
