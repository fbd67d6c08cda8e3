/// What a Dispatcher takes over from another process, and preserves when its settings change.
#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(SiblingProcess, KnowsWhatTheOtherLearnedAndWhereItsSlotsAre) {
  Settings settings = basic_settings();
  Bench old_process(settings);
  Bench new_process(settings);
  old_process.endpoints(2);
  for (RequestId id = 1; id <= 40; ++id) {
    old_process.arrive(id, 100);
    old_process.play(AttemptStarted{id, 0});
    old_process.now += 300;
    old_process.outcome(id, 0, AttemptResult::ok, true);
  }
  old_process.arrive(41, 100);
  EndpointId busy = old_process.sends.back().endpoint;
  new_process.now = old_process.now;
  new_process.endpoints(2);
  EXPECT_EQ(new_process.d.calibration(0), 1);
  new_process.play(old_process.d.learned_state(old_process.now));
  EXPECT_EQ(new_process.d.calibration(0), old_process.d.calibration(0));
  EXPECT_GT(new_process.d.calibration(0), 2.5);
  new_process.arrive(1, 100);
  ASSERT_EQ(new_process.sends.size(), 1u);
  EXPECT_NE(new_process.sends[0].endpoint, busy);
}

TEST(SettingsChanged, PreservesWhatWasLearnedAndTheClassOfRequestsUnderWay) {
  Settings settings = basic_settings();
  Bench bench(settings);
  bench.endpoints(2);
  for (RequestId id = 1; id <= 40; ++id) {
    bench.arrive(id, 100);
    bench.play(AttemptStarted{id, 0});
    bench.now += 300;
    bench.outcome(id, 0, AttemptResult::ok, true);
  }
  double learned = bench.d.calibration(0);
  bench.arrive(50, 100);
  Settings stricter = settings;
  stricter.classes.push_back(settings.classes[0]);
  stricter.classes[1].idempotency = Idempotency::non_idempotent;
  bench.play(SettingsChanged{stricter, {0, 0}});
  EXPECT_EQ(bench.d.calibration(1), learned);
  bench.arrive(51, 100, 1);
  std::size_t before = bench.sends.size();
  bench.outcome(50, 0, AttemptResult::reset, false);  // arrived as idempotent, and is retried
  EXPECT_EQ(bench.sends.size(), before + 1);
  bench.outcome(51, 0, AttemptResult::reset, false);  // arrived as non-idempotent
  EXPECT_EQ(bench.sends.size(), before + 1);
  ASSERT_EQ(bench.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailRequest>(bench.answers[0]));
}

TEST(SettingsChanged, AQueuedRequestThatHasUsedUpAStricterAttemptLimitEndsAtOnce) {
  Settings settings = basic_settings();
  Bench bench(settings);
  bench.endpoints(1);
  bench.arrive(1, 100);
  bench.outcome(1, 0, AttemptResult::connect_failed, false);  // the only endpoint is ejected now
  ASSERT_TRUE(bench.answers.empty());
  ASSERT_EQ(bench.d.queued_requests(), 1u);
  settings.max_attempts = 1;
  bench.play(SettingsChanged{settings, {0}});
  EXPECT_EQ(bench.answers.size(), 1u);
  EXPECT_EQ(bench.d.queued_requests(), 0u);
}

}  // namespace
}  // namespace keelflow::scheduler
