/// Tests of how a Dispatcher handles endpoints that reject, fail, do not respond or restart.
#include <algorithm>
#include <set>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(ConcurrencyLimit, RejectionsLowerTheLimitAndTimelyStartsRaiseIt) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(1);
  for (RequestId id = 1; id <= 6; ++id)
    harness.arrive(id, 100);
  std::size_t initially_sent = harness.sends.size();
  EXPECT_LT(initially_sent, 6u);  // the others are queued
  EXPECT_EQ(harness.dispatcher.queued_requests(), 6 - initially_sent);
  // Attempts that start in time raise the concurrency limit, so more requests are in flight at
  // once.
  RequestId next = 100;
  std::set<RequestId> started;
  std::size_t in_flight = 0;
  std::size_t max_in_flight = 0;
  for (int round = 0; round < 400; ++round) {
    std::vector<SendAttempt> sent(harness.sends.begin(), harness.sends.end());
    harness.sends.clear();
    in_flight += sent.size();
    max_in_flight = std::max(max_in_flight, in_flight);
    for (const SendAttempt& send : sent) {
      harness.now += 1;
      harness.handle(AttemptStarted{send.request, 0});
    }
    harness.advance(harness.now + 5);
    for (const SendAttempt& send : sent) {
      --in_flight;
      harness.outcome(send.request, 0, AttemptResult::ok, true);
    }
    while (harness.dispatcher.queued_requests() < 5)
      harness.arrive(next++, 100);
  }
  EXPECT_GT(max_in_flight, initially_sent);
}

TEST(Rejection, RequeuesTheRequestWithoutFailingIt) {
  Settings settings = basic_settings();
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  DispatcherHarness harness(settings);
  harness.endpoints(4);
  harness.arrive(1, 100);
  ASSERT_EQ(harness.sends.size(), 1u);
  harness.outcome(1, 0, AttemptResult::rejected, false);
  EXPECT_TRUE(harness.answers.empty());
  ASSERT_EQ(harness.sends.size(), 2u);
  EXPECT_NE(harness.sends[1].endpoint, harness.sends[0].endpoint);
}

TEST(Rejection, AQueuedRequestIsSentAgainAfterTheEjection) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(1);
  harness.arrive(1, 100);
  harness.outcome(1, 0, AttemptResult::rejected, false);
  EXPECT_EQ(harness.sends.size(), 1u);
  harness.advance(harness.now + 3000);
  EXPECT_GE(harness.sends.size(), 2u);
}

TEST(Retry, PrefersAnUntriedEndpointWithCapacity) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    DispatcherHarness harness(basic_settings(), seed);
    harness.endpoints(3);
    harness.arrive(1, 100);
    harness.now += 1000;  // ejected endpoints are available again
    harness.outcome(1, 0, AttemptResult::cancelled, false);
    harness.outcome(1, 1, AttemptResult::cancelled, false);
    ASSERT_EQ(harness.sends.size(), 3u);
    std::set<EndpointId> used{harness.sends[0].endpoint, harness.sends[1].endpoint,
                              harness.sends[2].endpoint};
    EXPECT_EQ(used.size(), 3u);
  }
}

TEST(SilentAttempt, IsCancelledEvenIfOnlyOneAttemptMayBeInFlight) {
  Settings settings = basic_settings();
  settings.concurrent_attempts = false;
  settings.tick_ms = 4;
  DispatcherHarness harness(settings);
  harness.endpoints(2);
  serve(harness, 1, 100, 100);  // sets the mean running time
  harness.sends.clear();
  harness.arrive(2, 100);
  harness.advance(harness.now + 300);
  EXPECT_TRUE(harness.cancels.empty());  // the attempt may still be queued at the endpoint
  harness.advance(harness.now + 300);
  EXPECT_EQ(harness.cancels.size(), 1u);
  EXPECT_EQ(harness.sends.size(), 1u);  // no second attempt while the first is in flight
  harness.outcome(2, 0, AttemptResult::cancelled, false);
  ASSERT_EQ(harness.sends.size(), 2u);
  EXPECT_NE(harness.sends[1].endpoint, harness.sends[0].endpoint);
}

TEST(Ejection, RepeatedFailuresBackOffAndBlockNonIdempotentRequests) {
  Settings settings = basic_settings();
  settings.classes.resize(2);
  settings.classes[1].idempotency = Idempotency::non_idempotent;
  DispatcherHarness harness(settings);
  harness.endpoints(1);
  serve(harness, 1, 100, 100);  // sets the mean running time
  std::vector<Time> attempt_times;
  for (RequestId id = 2; harness.now < 20000; ++id) {
    std::size_t before = harness.sends.size();
    harness.arrive(id, 100);
    if (harness.sends.size() == before) {
      harness.handle(ClientDisconnected{id});
      harness.advance(harness.now + 5);
      continue;
    }
    attempt_times.push_back(harness.now);
    harness.handle(
        AttemptStarted{id, 0});  // the endpoint starts the attempt and fails it immediately
    harness.outcome(id, 0, AttemptResult::error, true);
  }
  ASSERT_GE(attempt_times.size(), 8u);
  EXPECT_LT(attempt_times.size(), 60u);
  EXPECT_GT(attempt_times.back() - attempt_times[attempt_times.size() - 2], 400);
  harness.advance(harness.now + 2000);
  harness.sends.clear();
  harness.arrive(100001, 100, 1);
  EXPECT_TRUE(harness.sends.empty());
  harness.arrive(100002, 100, 0);
  ASSERT_EQ(harness.sends.size(), 1u);
  harness.outcome(100002, 0, AttemptResult::ok, true);  // success clears the signs of faults
  ASSERT_EQ(harness.sends.size(), 2u);
  EXPECT_EQ(harness.sends[1].request, 100001u);
}

TEST(Incarnation, ANewIncarnationResetsHealthButKeepsAttemptsInFlight) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(1);
  harness.arrive(1, 100);
  ASSERT_EQ(harness.sends.size(), 1u);
  harness.advance(harness.now + 1000);  // late start: the endpoint is ejected and its limit lowered
  harness.handle(EndpointList{ListScope::delta,
                              {{100, 0, 0, 0, EndpointState::ready, 1, harness.now - 20000}}});
  harness.arrive(2, 100);
  ASSERT_EQ(harness.sends.size(),
            2u);  // the new incarnation is used at once, beside the attempt at the former one
  harness.arrive(3, 100);
  EXPECT_EQ(harness.sends.size(),
            2u);  // the attempt at the former incarnation still counts against the limit
  harness.outcome(1, 0, AttemptResult::reset, false);
  EXPECT_GE(harness.sends.size(), 2u);
  EXPECT_TRUE(harness.answers.empty());
}

}  // namespace
}  // namespace keelflow::scheduler
