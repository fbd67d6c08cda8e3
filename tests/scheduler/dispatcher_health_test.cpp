/// How a Dispatcher treats endpoints that reject, fail, stay silent or restart.
#include <algorithm>
#include <set>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(ConcurrencyLimit, RejectionsLowerItAndTimelyServiceRaisesIt) {
  Bench bench(basic_settings());
  bench.endpoints(1);
  for (RequestId id = 1; id <= 6; ++id)
    bench.arrive(id, 100);
  std::size_t at_first = bench.sends.size();
  EXPECT_LT(at_first, 6u);  // the others are queued
  EXPECT_EQ(bench.d.queued_requests(), 6 - at_first);
  // Timely service, again and again: more fit at once.
  RequestId next = 100;
  std::set<RequestId> started;
  std::size_t in_flight = 0;
  std::size_t most = 0;
  for (int round = 0; round < 400; ++round) {
    std::vector<SendAttempt> sent(bench.sends.begin(), bench.sends.end());
    bench.sends.clear();
    in_flight += sent.size();
    most = std::max(most, in_flight);
    for (const SendAttempt& send : sent) {
      bench.now += 1;
      bench.play(AttemptStarted{send.request, 0});
    }
    bench.advance(bench.now + 5);
    for (const SendAttempt& send : sent) {
      --in_flight;
      bench.outcome(send.request, 0, AttemptResult::ok, true);
    }
    while (bench.d.queued_requests() < 5)
      bench.arrive(next++, 100);
  }
  EXPECT_GT(most, at_first);
}

TEST(Rejection, RequeuesAndIsNoFailure) {
  Settings settings = basic_settings();
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  Bench bench(settings);
  bench.endpoints(4);
  bench.arrive(1, 100);
  ASSERT_EQ(bench.sends.size(), 1u);
  bench.outcome(1, 0, AttemptResult::rejected, false);
  EXPECT_TRUE(bench.answers.empty());
  ASSERT_EQ(bench.sends.size(), 2u);
  EXPECT_NE(bench.sends[1].endpoint, bench.sends[0].endpoint);
}

TEST(Rejection, AQueuedRequestIsSentAgainAfterTheEjection) {
  Bench bench(basic_settings());
  bench.endpoints(1);
  bench.arrive(1, 100);
  bench.outcome(1, 0, AttemptResult::rejected, false);
  EXPECT_EQ(bench.sends.size(), 1u);
  bench.advance(bench.now + 3000);
  EXPECT_GE(bench.sends.size(), 2u);
}

TEST(Retry, GoesToAnEndpointThatHasNotHadTheRequestWhereOneHasCapacity) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Bench bench(basic_settings(), seed);
    bench.endpoints(3);
    bench.arrive(1, 100);
    bench.now += 1000;  // whoever was ejected is available again
    bench.outcome(1, 0, AttemptResult::cancelled, false);
    bench.outcome(1, 1, AttemptResult::cancelled, false);
    ASSERT_EQ(bench.sends.size(), 3u);
    std::set<EndpointId> met{bench.sends[0].endpoint, bench.sends[1].endpoint,
                             bench.sends[2].endpoint};
    EXPECT_EQ(met.size(), 3u);
  }
}

TEST(SilentAttempt, IsCancelledAlsoWhereOneAttemptAtATimeIsAllowed) {
  Settings settings = basic_settings();
  settings.concurrent_attempts = false;
  settings.tick_ms = 4;
  Bench bench(settings);
  bench.endpoints(2);
  serve(bench, 1, 100, 100);  // the mean run
  bench.sends.clear();
  bench.arrive(2, 100);
  bench.advance(bench.now + 300);
  EXPECT_TRUE(bench.cancels.empty());  // it may be queueing
  bench.advance(bench.now + 300);
  EXPECT_EQ(bench.cancels.size(), 1u);
  EXPECT_EQ(bench.sends.size(), 1u);  // not while the first is in flight
  bench.outcome(2, 0, AttemptResult::cancelled, false);
  ASSERT_EQ(bench.sends.size(), 2u);
  EXPECT_NE(bench.sends[1].endpoint, bench.sends[0].endpoint);
}

TEST(Ejection, AnEndpointThatFailsAtOnceIsTriedLessAndLessAndNotWithNonIdempotentRequests) {
  Settings settings = basic_settings();
  settings.classes.resize(2);
  settings.classes[1].idempotency = Idempotency::non_idempotent;
  Bench bench(settings);
  bench.endpoints(1);
  serve(bench, 1, 100, 100);  // the mean run
  std::vector<Time> tried;
  for (RequestId id = 2; bench.now < 20000; ++id) {
    std::size_t before = bench.sends.size();
    bench.arrive(id, 100);
    if (bench.sends.size() == before) {
      bench.play(ClientDisconnected{id});
      bench.advance(bench.now + 5);
      continue;
    }
    tried.push_back(bench.now);
    bench.play(AttemptStarted{id, 0});  // it starts what it is sent, and fails it at once
    bench.outcome(id, 0, AttemptResult::error, true);
  }
  ASSERT_GE(tried.size(), 8u);
  EXPECT_LT(tried.size(), 60u);
  EXPECT_GT(tried.back() - tried[tried.size() - 2], 400);
  bench.advance(bench.now + 2000);
  bench.sends.clear();
  bench.arrive(100001, 100, 1);
  EXPECT_TRUE(bench.sends.empty());
  bench.arrive(100002, 100, 0);
  ASSERT_EQ(bench.sends.size(), 1u);
  bench.outcome(100002, 0, AttemptResult::ok, true);  // served: it looks healthy again
  ASSERT_EQ(bench.sends.size(), 2u);
  EXPECT_EQ(bench.sends[1].request, 100001u);
}

TEST(Incarnation, ANewOneLosesWhatWasLearnedButNotItsEarlierAttempts) {
  Bench bench(basic_settings());
  bench.endpoints(1);
  bench.arrive(1, 100);
  ASSERT_EQ(bench.sends.size(), 1u);
  bench.advance(bench.now + 1000);  // a late start: the endpoint is ejected, its limit falls
  bench.play(
      EndpointList{ListScope::delta, {{100, 0, 0, 0, EndpointState::ready, 1, bench.now - 20000}}});
  bench.arrive(2, 100);
  ASSERT_EQ(bench.sends.size(),
            2u);  // the new one is used at once, beside the attempt at its former incarnation
  bench.arrive(3, 100);
  EXPECT_EQ(bench.sends.size(), 2u);  // but that one still counts
  bench.outcome(1, 0, AttemptResult::reset, false);
  EXPECT_GE(bench.sends.size(), 2u);
  EXPECT_TRUE(bench.answers.empty());
}

}  // namespace
}  // namespace keelflow::scheduler
