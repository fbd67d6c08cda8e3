/// Tests that every request is answered by its deadline, that requests are retried only where that
/// is safe, and that the endpoint list is respected.
#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

Settings with_idempotency(Idempotency idempotency,
                          DeduplicationScope scope = DeduplicationScope::all,
                          double window = 5000) {
  Settings settings = basic_settings();
  settings.classes[0].idempotency = idempotency;
  settings.classes[0].deduplication_scope = scope;
  settings.classes[0].deduplication_window_ms = window;
  return settings;
}

TEST(AnsweredByDeadline, ARequestWithoutAnyEndpointIsAnsweredByItsDeadline) {
  DispatcherHarness harness(basic_settings());
  harness.arrive(1, 100, 0, 700);
  harness.advance(1000 + 700);
  ASSERT_EQ(harness.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<RejectRequest>(harness.answers[0]));
}

TEST(AnsweredByDeadline, ATimeoutAtTheDeadlineIsAnsweredInTheSameCall) {
  DispatcherHarness harness(with_idempotency(Idempotency::non_idempotent));
  harness.endpoints(2);
  harness.arrive(1, 100, 0, 700);
  harness.now += 700;
  harness.outcome(1, 0, AttemptResult::timeout, false);
  ASSERT_EQ(harness.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailRequest>(harness.answers[0]));
}

TEST(AnsweredByDeadline, LateStaleAndUnknownEventsCauseNoAnswer) {
  Settings settings = basic_settings();
  settings.zones = 2;
  DispatcherHarness harness(settings);
  harness.endpoints(2);
  harness.arrive(1, 100, 0, 700);
  harness.handle(ClientDisconnected{1});
  harness.outcome(1, 0, AttemptResult::ok, true);
  harness.outcome(1, 0, AttemptResult::ok, true);
  harness.outcome(99, 0, AttemptResult::error, false);
  harness.outcome(1, 7, AttemptResult::error, false);
  harness.handle(AttemptStarted{99, 3});
  harness.handle(TimerFired{12345});
  harness.handle(ResponseStreamStarted{99});
  harness.handle(ClientDisconnected{99});
  harness.handle(HealthCheckResult{});
  harness.handle(PeerMessage{});
  harness.handle(EndpointList{ListScope::delta, {{7, 200, 200, 0, EndpointState::ready, 1, 0}}});
  EXPECT_TRUE(harness.answers.empty());
  harness.arrive(2, 100, 55);  // undefined class
  ASSERT_EQ(harness.answers.size(), 1u);
  harness.advance(harness.now + 5000);
  EXPECT_EQ(harness.answers.size(), 1u);
}

TEST(RetrySafety, ANonIdempotentRequestThatMayHaveRunFailsWithoutARetry) {
  for (AttemptResult result : {AttemptResult::error, AttemptResult::reset}) {
    DispatcherHarness harness(with_idempotency(Idempotency::non_idempotent));
    harness.endpoints(4);
    harness.arrive(1, 100);
    harness.outcome(1, 0, result, false);
    EXPECT_EQ(harness.sends.size(), 1u);
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<FailRequest>(harness.answers[0]));
  }
}

TEST(RetrySafety, ARequestWithAKeyIsRetriedOnlyWithinItsDeduplicationScope) {
  for (DeduplicationScope scope : {DeduplicationScope::zone, DeduplicationScope::cell}) {
    Settings settings = with_idempotency(Idempotency::idempotent_with_key, scope);
    settings.zones = 2;
    DispatcherHarness harness(settings);
    EndpointList list;
    for (EndpointId id = 0; id < 16; ++id)
      list.entries.push_back(
          {id, static_cast<int>(id % 2), 0, static_cast<int>(id % 4), EndpointState::ready, 1, 0});
    harness.handle(list);
    harness.arrive(1, 100);
    EndpointId first = harness.sends.at(0).endpoint;
    harness.outcome(1, 0, AttemptResult::reset, false);
    harness.advance(harness.now + 1000);
    ASSERT_EQ(harness.sends.size(), 2u);
    unsigned groups = scope == DeduplicationScope::zone ? 2 : 4;
    EXPECT_EQ(harness.sends[1].endpoint % groups, first % groups);
  }
}

TEST(RetrySafety, ARequestWithAKeyIsNotRetriedAfterItsDeduplicationWindow) {
  DispatcherHarness harness(
      with_idempotency(Idempotency::idempotent_with_key, DeduplicationScope::zone, 300));
  harness.endpoints(4);
  harness.arrive(1, 100);
  harness.now += 300;
  harness.outcome(1, 0, AttemptResult::reset, false);
  EXPECT_EQ(harness.sends.size(), 1u);
  ASSERT_EQ(harness.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailRequest>(harness.answers[0]));
}

TEST(EndpointListObeyed, NothingIsSentToADrainingEndpointOrOneMissingFromAFullList) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(2);
  harness.handle(EndpointList{ListScope::delta, {{100, 0, 0, 0, EndpointState::draining, 1, 0}}});
  for (RequestId id = 1; id < 20; ++id)
    harness.arrive(id, 100);
  harness.handle(EndpointList{ListScope::full, {{102, 0, 0, 0, EndpointState::ready, 1, 0}}});
  std::size_t before = harness.sends.size();
  for (const auto& send : harness.sends)
    EXPECT_NE(send.endpoint, 100u);
  harness.advance(harness.now + 2000);
  for (std::size_t i = before; i < harness.sends.size(); ++i)
    EXPECT_EQ(harness.sends[i].endpoint, 102u);
}

TEST(EndpointListObeyed, FailedPollsAreRepeatedWithinHalfThePollLimit) {
  Settings settings = basic_settings();
  settings.polls_list = true;
  settings.dispatchers = 40;
  settings.rank = 3;
  DispatcherHarness harness(settings);
  std::vector<Time> polled;
  auto collect = [&] {
    for (const auto& action : harness.last_actions)
      if (std::holds_alternative<PollEndpointList>(action))
        polled.push_back(harness.now);
  };
  harness.handle(EndpointList{ListScope::cached, {}});
  for (int i = 0; i < 60000; ++i) {
    std::size_t previous_polls = polled.size();
    collect();
    if (polled.size() > previous_polls) {
      harness.now += 50;
      harness.handle(EndpointList{ListScope::failed, {}});
    } else {
      harness.advance(harness.now + 1);
    }
  }
  ASSERT_GE(polled.size(), 10u);
  EXPECT_LE(polled[0] - 1000, 0.2 * settings.poll_within_ms);
  for (std::size_t i = 1; i < polled.size(); ++i)
    EXPECT_LE(polled[i] - polled[i - 1], settings.poll_within_ms / 2);
}

}  // namespace
}  // namespace keelflow::scheduler
