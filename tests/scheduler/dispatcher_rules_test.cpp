/// Rules 1 to 3, each with the case that would break it.
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
  Bench bench(basic_settings());
  bench.arrive(1, 100, 0, 700);
  bench.advance(1000 + 700);
  ASSERT_EQ(bench.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<RejectRequest>(bench.answers[0]));
}

TEST(AnsweredByDeadline, ATimeOutAtTheDeadlineIsAnsweredInTheSameCall) {
  Bench bench(with_idempotency(Idempotency::non_idempotent));
  bench.endpoints(2);
  bench.arrive(1, 100, 0, 700);
  bench.now += 700;
  bench.outcome(1, 0, AttemptResult::timeout, false);
  ASSERT_EQ(bench.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailRequest>(bench.answers[0]));
}

TEST(AnsweredByDeadline, LateStaleAndUnknownEventsAreHarmless) {
  Settings settings = basic_settings();
  settings.zones = 2;
  Bench bench(settings);
  bench.endpoints(2);
  bench.arrive(1, 100, 0, 700);
  bench.play(ClientDisconnected{1});
  bench.outcome(1, 0, AttemptResult::ok, true);
  bench.outcome(1, 0, AttemptResult::ok, true);
  bench.outcome(99, 0, AttemptResult::error, false);
  bench.outcome(1, 7, AttemptResult::error, false);
  bench.play(AttemptStarted{99, 3});
  bench.play(TimerFired{12345});
  bench.play(ResponseStreamStarted{99});
  bench.play(ClientDisconnected{99});
  bench.play(HealthCheckResult{});
  bench.play(PeerMessage{});
  bench.play(EndpointList{ListScope::delta, {{7, 200, 200, 0, EndpointState::ready, 1, 0}}});
  EXPECT_TRUE(bench.answers.empty());
  bench.arrive(2, 100, 55);  // a class that does not exist
  ASSERT_EQ(bench.answers.size(), 1u);
  bench.advance(bench.now + 5000);
  EXPECT_EQ(bench.answers.size(), 1u);
}

TEST(RetrySafety, ANonIdempotentRequestThatMayHaveRunIsNotSentAgainAndFails) {
  for (AttemptResult result : {AttemptResult::error, AttemptResult::reset}) {
    Bench bench(with_idempotency(Idempotency::non_idempotent));
    bench.endpoints(4);
    bench.arrive(1, 100);
    bench.outcome(1, 0, result, false);
    EXPECT_EQ(bench.sends.size(), 1u);
    ASSERT_EQ(bench.answers.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<FailRequest>(bench.answers[0]));
  }
}

TEST(RetrySafety, ARequestWithAKeyIsRepeatedOnlyWithinItsDeduplicationScope) {
  for (DeduplicationScope scope : {DeduplicationScope::zone, DeduplicationScope::cell}) {
    Settings settings = with_idempotency(Idempotency::idempotent_with_key, scope);
    settings.zones = 2;
    Bench bench(settings);
    EndpointList list;
    for (EndpointId id = 0; id < 16; ++id)
      list.entries.push_back(
          {id, static_cast<int>(id % 2), 0, static_cast<int>(id % 4), EndpointState::ready, 1, 0});
    bench.play(list);
    bench.arrive(1, 100);
    EndpointId first = bench.sends.at(0).endpoint;
    bench.outcome(1, 0, AttemptResult::reset, false);
    bench.advance(bench.now + 1000);
    ASSERT_EQ(bench.sends.size(), 2u);
    unsigned groups = scope == DeduplicationScope::zone ? 2 : 4;
    EXPECT_EQ(bench.sends[1].endpoint % groups, first % groups);
  }
}

TEST(RetrySafety, ARequestWithAKeyIsNotRepeatedAfterItsDeduplicationWindow) {
  Bench bench(with_idempotency(Idempotency::idempotent_with_key, DeduplicationScope::zone, 300));
  bench.endpoints(4);
  bench.arrive(1, 100);
  bench.now += 300;
  bench.outcome(1, 0, AttemptResult::reset, false);
  EXPECT_EQ(bench.sends.size(), 1u);
  ASSERT_EQ(bench.answers.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailRequest>(bench.answers[0]));
}

TEST(EndpointListObeyed, NothingGoesToAnEndpointThatDrainsOrIsMissingFromAFullList) {
  Bench bench(basic_settings());
  bench.endpoints(2);
  bench.play(EndpointList{ListScope::delta, {{100, 0, 0, 0, EndpointState::draining, 1, 0}}});
  for (RequestId id = 1; id < 20; ++id)
    bench.arrive(id, 100);
  bench.play(EndpointList{ListScope::full, {{102, 0, 0, 0, EndpointState::ready, 1, 0}}});
  std::size_t before = bench.sends.size();
  for (const auto& send : bench.sends)
    EXPECT_NE(send.endpoint, 100u);
  bench.advance(bench.now + 2000);
  for (std::size_t i = before; i < bench.sends.size(); ++i)
    EXPECT_EQ(bench.sends[i].endpoint, 102u);
}

TEST(EndpointListObeyed, ThePolledListIsPolledAgainOftenEnoughAfterFailures) {
  Settings settings = basic_settings();
  settings.polls_list = true;
  settings.dispatchers = 40;
  settings.rank = 3;
  Bench bench(settings);
  std::vector<Time> polled;
  auto collect = [&] {
    for (const auto& action : bench.last)
      if (std::holds_alternative<PollEndpointList>(action))
        polled.push_back(bench.now);
  };
  bench.play(EndpointList{ListScope::cached, {}});
  for (int i = 0; i < 60000; ++i) {
    std::size_t had = polled.size();
    collect();
    if (polled.size() > had) {
      bench.now += 50;
      bench.play(EndpointList{ListScope::failed, {}});
    } else {
      bench.advance(bench.now + 1);
    }
  }
  ASSERT_GE(polled.size(), 10u);
  EXPECT_LE(polled[0] - 1000, 0.2 * settings.poll_within_ms);
  for (std::size_t i = 1; i < polled.size(); ++i)
    EXPECT_LE(polled[i] - polled[i - 1], settings.poll_within_ms / 2);
}

}  // namespace
}  // namespace keelflow::scheduler
