/// Tests of verdicts, holds and breakers.
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "plugins/breaker.h"
#include "plugins/holds.h"
#include "plugins/verdict.h"

namespace keelflow::plugins {
namespace {

using scheduler::Idempotency;

PluginAnswer said(Verdict v) {
  return {.has_answered = true, .fallback = Fallback::allow, .verdict = std::move(v)};
}
const RequestFacts kSafe{.idempotency = Idempotency::idempotent,
                         .repeat = false,
                         .remaining_timeout_ms = 3000,
                         .need_ms = 1000};

TEST(Verdict, OneRefusalIsEnoughAndTheLongestRetryDelayApplies) {
  auto all = combine({said({}), said({.refuse = true, .come_back_ms = 500}),
                      said({.refuse = true, .come_back_ms = 900}), said({.hold_ms = 5})},
                     kSafe, {});
  EXPECT_TRUE(all.verdict.refuse);
  EXPECT_EQ(all.refused_by, 1);
  EXPECT_EQ(all.verdict.come_back_ms, 900);
  EXPECT_FALSE(combine({said({}), said({.queue_weight = 2})}, kSafe, {}).verdict.refuse);
}

TEST(Verdict, AMissingAnswerIsReplacedByTheFallback) {
  EXPECT_FALSE(
      combine({{.has_answered = false, .fallback = Fallback::allow, .verdict = {.refuse = true}}},
              kSafe, {})
          .verdict.refuse);
  auto refused = combine(
      {said({}), {.has_answered = false, .fallback = Fallback::refuse, .verdict = {}}}, kSafe, {});
  EXPECT_TRUE(refused.verdict.refuse);
  EXPECT_EQ(refused.refused_by, 1);
  EXPECT_EQ(refused.verdict.come_back_ms, Bounds{}.fallback_come_back_ms);
}

TEST(Verdict, TheLongestHoldAppliesAndLeavesTheSchedulerItsTime) {
  auto all = combine({said({.hold_ms = 300}), said({.hold_ms = 700})}, kSafe, {});
  EXPECT_EQ(all.verdict.hold_ms, 700);
  EXPECT_EQ(all.held_by, 1);
  EXPECT_FALSE(all.hold_shortened);
  all = combine({said({.hold_ms = 60'000})}, kSafe, {.max_hold_ms = 5000});
  EXPECT_EQ(all.verdict.hold_ms, 2000)
      << "the remaining timeout less the time that the scheduler needs";
  EXPECT_TRUE(all.hold_shortened);
  EXPECT_EQ(combine({said({.hold_ms = 60'000})}, kSafe, {.max_hold_ms = 50}).verdict.hold_ms, 50);
  RequestFacts late = kSafe;
  late.remaining_timeout_ms = 900;
  EXPECT_EQ(combine({said({.hold_ms = 10})}, late, {}).verdict.hold_ms, 0);
}

TEST(Verdict, ARetryWithAnIdempotencyKeyIsNeverHeld) {
  for (Idempotency idempotency :
       {Idempotency::idempotent, Idempotency::idempotent_with_key, Idempotency::non_idempotent})
    for (bool repeat : {false, true}) {
      RequestFacts subject = kSafe;
      subject.idempotency = idempotency;
      subject.repeat = repeat;
      auto all = combine({said({.hold_ms = 100})}, subject, {});
      bool forbidden = idempotency == Idempotency::idempotent_with_key && repeat;
      EXPECT_EQ(all.hold_forbidden, forbidden);
      EXPECT_EQ(all.verdict.hold_ms, forbidden ? 0 : 100);
    }
}

TEST(Verdict, WeightsMultiplyWithinBoundsAndTheFirstLabelApplies) {
  auto all = combine(
      {said({.queue_weight = 2}), said({.queue_weight = 3, .label = "a"}), said({.label = "b"})},
      kSafe, {});
  EXPECT_EQ(all.verdict.queue_weight, 6);
  EXPECT_EQ(all.verdict.label, "a");
  EXPECT_EQ(combine({said({.queue_weight = 1e9})}, kSafe, {}).verdict.queue_weight, 16);
  EXPECT_EQ(combine({said({.queue_weight = 1e-9})}, kSafe, {}).verdict.queue_weight, 1.0 / 16);
}

TEST(Verdict, InvalidNumbersAreIgnored) {
  for (double odd : {std::numeric_limits<double>::quiet_NaN(),
                     std::numeric_limits<double>::infinity(), -1.0, -0.0}) {
    auto all =
        combine({said({.come_back_ms = odd, .hold_ms = odd, .queue_weight = odd})}, kSafe, {});
    EXPECT_EQ(all.verdict.hold_ms, 0) << odd;
    EXPECT_EQ(all.verdict.queue_weight, 1) << odd;
    EXPECT_EQ(all.verdict.come_back_ms, 0) << odd;
  }
  auto shape = combine({Shape{.has_share = true, .label = {}, .share = std::nan("")},
                        Shape{.has_share = true, .label = {}, .share = 7}});
  EXPECT_EQ(shape.share, 1);
}

TEST(Shape, OneDropIsEnoughAndTheFirstLabelApplies) {
  auto shape = combine({Shape{}, Shape{.has_label = true, .label = "a"},
                        Shape{.drop = true, .has_label = true, .label = "b"}});
  EXPECT_TRUE(shape.drop);
  EXPECT_EQ(shape.label, "a");
}

TEST(Holds, ARequestThatDoesNotFitReleasesTheOldest) {
  Holds holds(2, 100);
  EXPECT_TRUE(holds.add(1, 40, 1000).empty());
  EXPECT_TRUE(holds.add(2, 40, 900).empty());
  EXPECT_EQ(holds.add(3, 10, 800), (std::vector<Holds::Id>{1})) << "by number";
  EXPECT_EQ(holds.add(4, 95, 700), (std::vector<Holds::Id>{2, 3})) << "by bytes";
  EXPECT_EQ(holds.add(5, 101, 700), (std::vector<Holds::Id>{5})) << "larger than the byte limit";
  EXPECT_EQ(holds.pushed_out(), 4u);
  EXPECT_EQ(holds.due(699), (std::vector<Holds::Id>{}));
  EXPECT_EQ(holds.due(700), (std::vector<Holds::Id>{4}));
  EXPECT_EQ(holds.count(), 0u);
  EXPECT_EQ(holds.bytes(), 0u);
}

TEST(Holds, ReleasesEachRequestOnceInOrderOfItsEnd) {
  std::mt19937 random(7);
  Holds holds(1000, 1 << 20);
  std::vector<double> ends(200);
  for (Holds::Id id = 0; id < 200; ++id)
    holds.add(id, 10, ends[id] = random() % 1000);
  for (Holds::Id id = 0; id < 200; id += 3)
    EXPECT_TRUE(holds.remove(id));
  EXPECT_FALSE(holds.remove(0));
  double last = 0;
  std::size_t count = 0;
  for (double now = 0; now <= 1000; now += 50)
    for (Holds::Id id : holds.due(now)) {
      EXPECT_NE(id % 3, 0u);
      EXPECT_LE(ends[id], now);
      EXPECT_GE(ends[id], last);
      last = ends[id];
      ++count;
    }
  EXPECT_EQ(count, 133u);
  EXPECT_FALSE(holds.next());
}

TEST(Holds, LowerLimitsReleaseTheOldest) {
  Holds holds(10, 1000);
  for (Holds::Id id = 1; id <= 5; ++id)
    holds.add(id, 10, 100);
  EXPECT_EQ(holds.set_limits(3, 1000), (std::vector<Holds::Id>{1, 2}));
  EXPECT_EQ(holds.all(), (std::vector<Holds::Id>{3, 4, 5}));
  EXPECT_EQ(holds.add(6, 10, 100), (std::vector<Holds::Id>{})) << "there is room again";
}

// Settings without jitter, so that back-offs are exact.
BreakerSettings steady() {
  BreakerSettings s;
  s.jitter = 0;
  return s;
}

TEST(Breaker, FailuresWithinTheWindowOpenIt) {
  Breaker breaker(steady(), 1);
  for (int i = 0; i < 4; ++i)
    EXPECT_FALSE(breaker.add_failure(i));
  EXPECT_TRUE(breaker.add_failure(5));
  EXPECT_EQ(breaker.state(), Breaker::State::open);
  EXPECT_FALSE(breaker.allows_call());
  Breaker patient(steady(), 1);
  for (int i = 0; i < 100; ++i)
    EXPECT_FALSE(patient.add_failure(i * 2501.0)) << "five failures take longer than the window";
}

TEST(Breaker, TheBackOffDoublesUntilTheBreakerIsOut) {
  Breaker breaker(steady(), 1);
  double now = 0, expected = 250;
  for (int turn = 1; turn < 8; ++turn, expected *= 2) {
    breaker.host_died(now);
    EXPECT_EQ(breaker.state(), Breaker::State::open);
    EXPECT_EQ(breaker.until(), now + expected) << turn;
    EXPECT_FALSE(breaker.begin_trial(breaker.until() - 1));
    now = breaker.until();
    ASSERT_TRUE(breaker.begin_trial(now));
  }
  breaker.host_died(now);
  EXPECT_EQ(breaker.state(), Breaker::State::out);
  EXPECT_EQ(breaker.until(), now + 600'000);
  EXPECT_TRUE(breaker.begin_trial(breaker.until()))
      << "the breaker still gets a trial in the state `out`";
}

TEST(Breaker, ATrialAllowsOneCallAtATimeAndSuccessesCloseIt) {
  Breaker breaker(steady(), 1);
  breaker.host_died(0);
  ASSERT_TRUE(breaker.begin_trial(250));
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(breaker.allows_call());
    breaker.asked();
    EXPECT_FALSE(breaker.allows_call());
    breaker.add_success(260 + i);
  }
  EXPECT_EQ(breaker.state(), Breaker::State::closed);
  for (int i = 0; i < 5; ++i)
    breaker.add_failure(300 + i);
  EXPECT_EQ(breaker.until(), 304 + 500)
      << "not closed for long enough: the back-off keeps doubling";
  ASSERT_TRUE(breaker.begin_trial(804));
  breaker.asked();
  EXPECT_TRUE(breaker.add_failure(805)) << "one failure ends a trial";
  breaker.begin_trial(breaker.until());
  breaker.asked();
  breaker.dropped();
  EXPECT_TRUE(breaker.allows_call()) << "a call without a result does not occupy the trial";
}

TEST(Breaker, TimeInTheClosedStateResetsTheBackOff) {
  Breaker breaker(steady(), 1);
  breaker.host_died(0);
  breaker.begin_trial(250);
  for (int i = 0; i < 3; ++i)
    breaker.add_success(300);
  breaker.host_died(300 + 30'001);
  EXPECT_EQ(breaker.until(), 300 + 30'001 + 250);
}

TEST(Breaker, StaysDisabledUntilItIsEnabled) {
  Breaker breaker(steady(), 1);
  breaker.disable();
  breaker.host_died(1);
  EXPECT_FALSE(breaker.add_failure(2));
  EXPECT_FALSE(breaker.begin_trial(1e9));
  EXPECT_EQ(breaker.state(), Breaker::State::disabled);
  breaker.enable(10);
  EXPECT_TRUE(breaker.begin_trial(10));
}

TEST(Breaker, JitterSpreadsTheBackOff) {
  double least = 1e9, most = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Breaker breaker({}, seed);
    breaker.host_died(0);
    least = std::min(least, breaker.until());
    most = std::max(most, breaker.until());
  }
  EXPECT_GE(least, 187.5);
  EXPECT_LE(most, 312.5);
  EXPECT_GT(most - least, 80);
}

}  // namespace
}  // namespace keelflow::plugins
