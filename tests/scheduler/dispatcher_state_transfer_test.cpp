/// Tests of the state that a Dispatcher restores from another process, and of the state that it
/// keeps when its settings change.
#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(SiblingProcess, RestoresTheLearnedStateAndSlotsInUseOfTheOtherProcess) {
  Settings settings = basic_settings();
  DispatcherHarness old_process(settings);
  DispatcherHarness new_process(settings);
  old_process.endpoints(2);
  for (RequestId id = 1; id <= 40; ++id) {
    old_process.arrive(id, 100);
    old_process.handle(AttemptStarted{id, 0});
    old_process.now += 300;
    old_process.outcome(id, 0, AttemptResult::ok, true);
  }
  old_process.arrive(41, 100);
  EndpointId busy_endpoint = old_process.sends.back().endpoint;
  new_process.now = old_process.now;
  new_process.endpoints(2);
  EXPECT_EQ(new_process.dispatcher.calibration(0), 1);
  new_process.handle(old_process.dispatcher.learned_state(old_process.now));
  EXPECT_EQ(new_process.dispatcher.calibration(0), old_process.dispatcher.calibration(0));
  EXPECT_GT(new_process.dispatcher.calibration(0), 2.5);
  new_process.arrive(1, 100);
  ASSERT_EQ(new_process.sends.size(), 1u);
  EXPECT_NE(new_process.sends[0].endpoint, busy_endpoint);
}

TEST(SettingsChanged, KeepsTheLearnedStateAndTheClassOfRequestsInProgress) {
  Settings settings = basic_settings();
  DispatcherHarness harness(settings);
  harness.endpoints(2);
  for (RequestId id = 1; id <= 40; ++id) {
    harness.arrive(id, 100);
    harness.handle(AttemptStarted{id, 0});
    harness.now += 300;
    harness.outcome(id, 0, AttemptResult::ok, true);
  }
  double learned = harness.dispatcher.calibration(0);
  harness.arrive(50, 100);
  Settings stricter = settings;
  stricter.classes.push_back(settings.classes[0]);
  stricter.classes[1].idempotency = Idempotency::non_idempotent;
  harness.handle(SettingsChanged{stricter, {0, 0}});
  EXPECT_EQ(harness.dispatcher.calibration(1), learned);
  harness.arrive(51, 100, 1);
  std::size_t before = harness.sends.size();
  harness.outcome(50, 0, AttemptResult::reset, false);  // arrived as idempotent: retried
  EXPECT_EQ(harness.sends.size(), before + 1);
  harness.outcome(51, 0, AttemptResult::reset, false);  // arrived as non-idempotent: fails
  EXPECT_EQ(harness.sends.size(), before + 1);
  ASSERT_EQ(harness.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailRequest>(harness.answers[0]));
}

TEST(SettingsChanged, AQueuedRequestEndsAtOnceIfItHasReachedALoweredAttemptLimit) {
  Settings settings = basic_settings();
  DispatcherHarness harness(settings);
  harness.endpoints(1);
  harness.arrive(1, 100);
  harness.outcome(1, 0, AttemptResult::connect_failed, false);  // ejects the only endpoint
  ASSERT_TRUE(harness.answers.empty());
  ASSERT_EQ(harness.dispatcher.queued_requests(), 1u);
  settings.max_attempts = 1;
  harness.handle(SettingsChanged{settings, {0}});
  EXPECT_EQ(harness.answers.size(), 1u);
  EXPECT_EQ(harness.dispatcher.queued_requests(), 0u);
}

}  // namespace
}  // namespace keelflow::scheduler
