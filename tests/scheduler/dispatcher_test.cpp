#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "dispatcher_harness.h"
#include "scheduler/peer_load.h"

namespace keelflow::scheduler {
namespace {

// Runs one request to its end on whatever endpoint it is sent to.
void serve(Bench& bench, RequestId id, double hint, double run, int class_index = 0) {
  bench.arrive(id, hint, class_index);
  bench.play(AttemptStarted{id, 0});
  bench.advance(bench.now + run);
  bench.outcome(id, 0, AttemptResult::ok, true);
}

TEST(Calibration, StartsAtOneAndConvergesToTheMeasuredRatio) {
  Bench bench(basic_settings());
  bench.endpoints(4);
  EXPECT_DOUBLE_EQ(bench.d.calibration(0), 1.0);
  serve(bench, 1, 100, 300);
  double after_one = bench.d.calibration(0);
  EXPECT_GT(after_one, 1.0);
  EXPECT_LT(after_one, 3.0);
  for (RequestId id = 2; id < 120; ++id)
    serve(bench, id, 100, 300);
  EXPECT_NEAR(bench.d.calibration(0), 3.0, 0.05);
}

TEST(Calibration, OnlyServedAttemptsTeach) {
  Bench bench(basic_settings());
  bench.endpoints(4);
  for (AttemptResult r : {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected}) {
    RequestId id = 10 + static_cast<RequestId>(r);
    bench.arrive(id, 100);
    bench.play(AttemptStarted{id, 0});
    bench.advance(bench.now + 900);
    bench.outcome(id, 0, r, false);
    bench.play(ClientDisconnected{id});
  }
  EXPECT_DOUBLE_EQ(bench.d.calibration(0), 1.0);
}

TEST(RequestQueueing, ARequestBeyondItsTenantsQuotaCountsAsLargerTheLessItWeighs) {
  for (double over_quota_weight : {0.05, 1.0}) {
    Settings settings = basic_settings();
    settings.tenant_quota = {1, 1};  // a request a second each
    settings.over_quota_weight = over_quota_weight;
    Bench bench(settings);
    bench.endpoints(1);
    auto arrive = [&](RequestId id, int tenant, double hint) {
      RequestArrived a;
      a.request = id;
      a.tenant = tenant;
      a.hint = hint;
      a.client_timeout_ms = 10000;
      bench.play(a);
    };
    arrive(1, 0, 100);
    arrive(2, 0, 100);
    arrive(3, 0, 100);  // queued, and beyond the quota
    arrive(4, 1, 300);  // queued, larger, and within
    ASSERT_EQ(bench.sends.size(), 2u);
    bench.play(AttemptStarted{1, 0});
    bench.now += 5;  // before the other one counts as late to start
    bench.outcome(1, 0, AttemptResult::ok, true);
    ASSERT_GE(bench.sends.size(), 3u);
    EXPECT_EQ(bench.sends[2].request, over_quota_weight < 1 ? 4u : 3u);
  }
}

TEST(Fleet, DispatchersThatAreAliveSplitATenantsQuotaAndThoseOfTheDeadAreFreed) {
  Settings settings = basic_settings();
  settings.dispatchers = 4;
  settings.tenant_quota = {8, 1};
  settings.over_quota_weight = 0.05;
  for (int alive : {4, 1}) {
    Bench bench(settings);
    bench.endpoints(1);
    std::vector<bool> is_alive(4, false);
    for (int d = 0; d < alive; ++d)
      is_alive[static_cast<std::size_t>(d)] = true;
    bench.play(MembershipChanged{is_alive});
    bench.arrive(100, 500);
    bench.arrive(101, 500);  // they fill the one endpoint
    for (RequestId id : {100u, 101u})
      bench.play(AttemptStarted{id, 0});
    bench.now += 4000;  // as much as may be saved up
    RequestArrived large;
    large.request = 50;
    large.tenant = 1;
    large.hint = 300;
    large.client_timeout_ms = 10000;
    // Of eight a second a dispatcher alone may save up sixteen, one of four only four: the others
    // count as larger.
    for (RequestId id = 1; id <= 10; ++id) {
      RequestArrived a;
      a.request = id;
      a.hint = 100;
      a.client_timeout_ms = 10000;
      bench.play(a);
    }
    bench.play(large);
    int before = 0;
    for (int step = 0; step < 40; ++step) {
      if (static_cast<std::size_t>(step) >= bench.sends.size())
        break;
      RequestId id = bench.sends[static_cast<std::size_t>(step)].request;
      if (id == 50)
        break;
      before += id < 50;
      bench.now += 1;
      bench.outcome(id, 0, AttemptResult::ok, true);
    }
    if (alive == 1)
      EXPECT_EQ(before, 10);
    else
      EXPECT_LT(before, 10);
  }
}

// Endpoints are preferred where the dispatcher is notified that they are in its subset; one that is
// warming up where it has a part of the budget.
TEST(Fleet, TheSubsetIsAsNotifiedAndThatOfAnEndpointWarmingUpIsItsOwn) {
  Settings settings = basic_settings();
  settings.dispatchers = 100;
  settings.rank = 3;
  Bench bench(settings);
  bench.endpoints(20);
  SubsetChanged subsets;
  for (EndpointId w = 100; w < 120; ++w)
    subsets.endpoints.push_back({w, w == 107, {}});
  bench.play(subsets);
  bench.arrive(1, 10);
  ASSERT_EQ(bench.sends.size(), 1u);
  EXPECT_EQ(bench.sends[0].endpoint, 107u);
  int own_while_warming_up = 0;
  for (int rank = 0; rank < 100;
       ++rank) {  // the first few of its own order alone, whatever it is notified of
    settings.rank = rank;
    Bench one(settings);
    EndpointList list;
    list.entries.push_back({7, 0, 0, 0, EndpointState::ready, 1, one.now - 100});
    SubsetChanged none{{{7, true, {}}}};
    for (EndpointId w = 8; w < 107; ++w) {
      list.entries.push_back({w, 0, 0, 0, EndpointState::ready, 1, 0});
      none.endpoints.push_back({w, false, {}});
    }
    one.play(list);
    one.play(none);
    one.arrive(1, 4);
    own_while_warming_up += !one.sends.empty() && one.sends[0].endpoint == 7;
  }
  EXPECT_EQ(own_while_warming_up, 5);
}

TEST(RequestQueueing, ReleasesTheSmallestCalibratedCostFirst) {
  Bench bench(basic_settings());
  for (auto [id, hint] : std::map<RequestId, double>{{1, 300}, {2, 100}, {3, 200}, {4, 100}})
    bench.arrive(id, hint);
  EXPECT_EQ(bench.d.queued_requests(), 4u);
  EXPECT_TRUE(bench.sends.empty());
  bench.endpoints(8);
  ASSERT_EQ(bench.sends.size(), 4u);
  EXPECT_EQ(bench.sends[0].request, 2u);
  EXPECT_EQ(bench.sends[1].request, 4u);  // the same hint: the earlier arrival first
  EXPECT_EQ(bench.sends[2].request, 3u);
  EXPECT_EQ(bench.sends[3].request, 1u);
}

TEST(RequestQueueing, CalibrationReordersClasses) {
  Settings settings = basic_settings();
  settings.classes.resize(2, settings.classes[0]);
  Bench bench(settings);
  bench.endpoints(2);
  for (RequestId id = 1; id < 60; ++id)
    serve(bench, id, 100, 400, 1);  // class 1 runs four times its hint
  bench.play(EndpointList{ListScope::full, {}});
  bench.arrive(901, 100, 1);
  bench.arrive(902, 200, 0);
  bench.sends.clear();
  bench.endpoints(8);
  ASSERT_EQ(bench.sends.size(), 2u);
  EXPECT_EQ(bench.sends[0].request, 902u);
}

TEST(RequestQueueing, ARequestThatCanNoLongerBeInTimeLeavesAfterThoseThatCan) {
  Bench bench(basic_settings());  // in time within 500 ms
  bench.arrive(1, 100);
  bench.advance(bench.now + 600);
  bench.arrive(2, 300);
  bench.endpoints(8);
  ASSERT_EQ(bench.sends.size(), 2u);
  EXPECT_EQ(bench.sends[0].request, 2u);
  EXPECT_EQ(bench.sends[1].request, 1u);
}

TEST(RequestQueueing, AnOverdueRequestIsNotSentWhileCongestionIsHigh) {
  Bench bench(basic_settings());
  bench.endpoints(40);
  for (RequestId id = 1; id <= 30; ++id) {  // one rejection after another
    bench.arrive(id, 100);
    if (bench.sends.back().request == id)
      bench.outcome(id, 0, AttemptResult::rejected, false);
    bench.play(ClientDisconnected{id});
  }
  bench.play(EndpointList{ListScope::full, {}});
  bench.arrive(100, 100);
  bench.advance(bench.now + 600);  // overdue now
  bench.arrive(101, 300);
  bench.sends.clear();
  bench.endpoints(40);
  ASSERT_EQ(bench.sends.size(), 1u);
  EXPECT_EQ(bench.sends[0].request, 101u);
  bench.advance(bench.now + 8000);  // congestion fades with nothing more rejected
  ASSERT_EQ(bench.sends.size(), 2u);
  EXPECT_EQ(bench.sends[1].request, 100u);
}

TEST(RequestQueueing, ARequestWithoutHintCountsAsItsClassMean) {
  Bench bench(basic_settings());
  bench.arrive(1, 100);
  bench.arrive(2, 300);
  bench.arrive(3, 0);
  bench.endpoints(8);
  ASSERT_EQ(bench.sends.size(), 3u);
  EXPECT_EQ(bench.sends[1].request, 3u);
}

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
  std::size_t in_flight = 0, most = 0;
  for (int round = 0; round < 400; ++round) {
    std::vector<SendAttempt> sent(bench.sends.begin(), bench.sends.end());
    bench.sends.clear();
    in_flight += sent.size();
    most = std::max(most, in_flight);
    for (const SendAttempt& x : sent) {
      bench.now += 1;
      bench.play(AttemptStarted{x.request, 0});
    }
    bench.advance(bench.now + 5);
    for (const SendAttempt& x : sent)
      --in_flight, bench.outcome(x.request, 0, AttemptResult::ok, true);
    while (bench.d.queued_requests() < 5)
      bench.arrive(next++, 100);
  }
  EXPECT_GT(most, at_first);
}

TEST(EndpointSelection, FewestOwnSlotsAmongEndpointsWithCapacity) {
  Bench bench(basic_settings());
  bench.endpoints(4);
  for (RequestId id = 1; id <= 4; ++id)
    bench.arrive(id, 100);
  std::set<EndpointId> used;
  for (const auto& x : bench.sends)
    used.insert(x.endpoint);
  EXPECT_GE(used.size(), 3u);  // samples of four out of four, with repeats: nearly all are found
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

TEST(Rejection, AQueuedRequestIsSentAgainAfterTheEjection) {
  Bench bench(basic_settings());
  bench.endpoints(1);
  bench.arrive(1, 100);
  bench.outcome(1, 0, AttemptResult::rejected, false);
  EXPECT_EQ(bench.sends.size(), 1u);
  bench.advance(bench.now + 3000);
  EXPECT_GE(bench.sends.size(), 2u);
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

TEST(Kinds, ARequestGoesOnlyToItsOwnKind) {
  Settings settings = basic_settings();
  settings.kinds = 2;
  settings.classes.resize(2, settings.classes[0]);
  settings.classes[1].kind = 1;
  Bench bench(settings);
  bench.endpoints(2, 1, 2);
  bench.arrive(1, 100, 1);
  ASSERT_EQ(bench.sends.size(), 1u);
  EXPECT_EQ(bench.sends[0].endpoint, 101u);
  bench.play(EndpointList{
      ListScope::delta,
      {{100, 0, 0, 0, EndpointState::gone, 1, 0}, {101, 0, 1, 0, EndpointState::gone, 1, 0}}});
  bench.arrive(2, 100, 1);
  bench.play(EndpointList{ListScope::delta, {{100, 0, 0, 0, EndpointState::ready, 1, 0}}});
  EXPECT_EQ(bench.sends.size(), 1u);  // the wrong kind never gets it
}

TEST(Keys, ARequestThatStartsLateStaysUnlessItHasNoKey) {
  for (std::uint64_t key : {0, 7}) {
    Bench bench(basic_settings());
    bench.endpoints(8);
    bench.arrive(1, 100, 0, 10000, key);
    ASSERT_EQ(bench.sends.size(), 1u);
    bool cancelled = false;
    for (int i = 0; i < 300; ++i) {
      bench.advance(bench.now + 1);
      for (const auto& a : bench.last)
        cancelled = cancelled || std::holds_alternative<CancelAttempt>(a);
    }
    EXPECT_EQ(cancelled, key == 0);
  }
}

TEST(SubsetChanged, WithManyDispatchersEachSamplesItsOwnFewEndpointsFirst) {
  Settings settings = basic_settings();
  settings.dispatchers = 100;
  std::map<EndpointId, int> fleet;
  int at_large = 0;  // those to whom the hash gave no subset
  for (settings.rank = 0; settings.rank < 100; ++settings.rank) {
    Bench bench(settings, 11 + static_cast<std::uint64_t>(settings.rank));
    bench.endpoints(100);
    std::set<EndpointId> mine;
    for (RequestId id = 1; id <= 40; ++id) {
      bench.arrive(id, 100);
      bench.play(AttemptStarted{id, 0});
      bench.advance(bench.now + 20);
      bench.outcome(id, 0, AttemptResult::ok, true);
      mine.insert(bench.sends.back().endpoint);
    }
    at_large += mine.size() > 15;
    for (EndpointId w : mine)
      ++fleet[w];
  }
  EXPECT_LE(at_large, 3);
  EXPECT_GE(fleet.size(), 90u);  // and together they use the whole fleet
}

// Two endpoints that this dispatcher shares with 19 others, and what those report of the first.
struct SharedEndpoints : Bench {
  static Settings shared_settings(Idempotency idempotency) {
    Settings settings = basic_settings();
    settings.dispatchers = 20;
    settings.peers = true;
    settings.classes[0].idempotency = idempotency;
    return settings;
  }
  explicit SharedEndpoints(Idempotency idempotency = Idempotency::idempotent)
      : Bench(shared_settings(idempotency)) {
    endpoints(2);
  }
  void receives(int peer, EndpointId endpoint, double load, LoadSignal signal = LoadSignal::none,
                Time started_at = 0) {
    play(PeerMessage{
        peer, encode({endpoint, incarnation_tag({.endpoint = endpoint, .started_at = started_at}),
                      load, signal})});
  }
  int sent_to_first(int requests) {  // of so many requests that are served at once
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      sends.clear();
      arrive(++last_request, 100);
      for (const SendAttempt& x : std::vector<SendAttempt>(sends))
        count += x.endpoint == 100, outcome(x.request, 0, AttemptResult::ok, true);
    }
    return count;
  }
  RequestId last_request = 0;
};

TEST(PeerMessages, AnEndpointThatOthersHaveFilledIsPassedOverUntilTheyReportOtherwise) {
  SharedEndpoints bench;
  EXPECT_GT(bench.sent_to_first(40), 0);
  bench.receives(3, 100, 2);
  bench.receives(4, 100, 200);
  EXPECT_EQ(bench.sent_to_first(40), 0);
  bench.receives(3, 100, 0);
  bench.receives(4, 100, 0);
  bench.advance(bench.now + 50);  // the others had a moment to fill it again
  EXPECT_GT(bench.sent_to_first(40), 0);
}

TEST(PeerMessages, TheLastReportOfADeadPeerExpires) {
  SharedEndpoints bench;
  bench.receives(3, 100, 200);
  EXPECT_EQ(bench.sent_to_first(40), 0);
  bench.advance(bench.now + 5100);
  EXPECT_GT(bench.sent_to_first(40), 0);
}

TEST(PeerMessages, AnEndpointThatFailsOthersIsEjectedHere) {
  SharedEndpoints bench;
  bench.sent_to_first(4);
  for (int peer : {3, 4, 5})
    bench.receives(peer, 100, 0, LoadSignal::failed);
  EXPECT_EQ(bench.sent_to_first(40), 0);
}

TEST(PeerMessages, AnEndpointThatOthersCouldNotReachHasNoFaultsHere) {
  SharedEndpoints bench(Idempotency::non_idempotent);  // an endpoint with faults is not sent these,
                                                       // however long it was ejected
  for (int peer : {3, 4, 5})
    bench.receives(peer, 100, 0, LoadSignal::unreachable);
  EXPECT_EQ(bench.sent_to_first(40), 0);
  bench.advance(bench.now + 10000);
  EXPECT_GT(bench.sent_to_first(40), 0);
}

TEST(PeerMessages, UpdatesOnAFormerIncarnationAndMalformedOnesChangeNothing) {
  SharedEndpoints bench;
  for (int peer : {3, 4, 5})
    bench.receives(peer, 100, 200, LoadSignal::failed, 77);
  for (std::string bytes : {"", "1234567", "123456789"})
    bench.play(PeerMessage{3, bytes});
  bench.play(PeerMessage{3, std::string(8, '\xff')});
  bench.receives(3, 999, 200, LoadSignal::failed);  // an endpoint that is not listed
  EXPECT_GT(bench.sent_to_first(40), 0);
}

TEST(PeerMessages, ThoseWhoShareAnEndpointAreNotifiedOfEachSendAndEachEnd) {
  SharedEndpoints bench;
  bench.arrive(1, 100);
  ASSERT_EQ(bench.sends.size(), 1u);
  ASSERT_EQ(bench.tells.size(), 19u);  // with two endpoints it is in the subset of all twenty
  EXPECT_EQ(decode_load_update(bench.tells[0].bytes)->endpoint, bench.sends[0].endpoint);
  EXPECT_EQ(decode_load_update(bench.tells[0].bytes)->in_flight, 1);
  bench.now += 100;
  bench.outcome(1, 0, AttemptResult::ok, true);
  ASSERT_EQ(bench.tells.size(), 38u);
  LoadUpdate last = decode_load_update(bench.tells.back().bytes).value();
  EXPECT_EQ(last.in_flight, 0);
  EXPECT_EQ(last.signal, LoadSignal::served);
  EXPECT_NEAR(last.service_time_ratio, 1, 0.05);
}

TEST(EndpointSelection, AnEndpointThatRunsSlowlyIsPassedOverForAnEquallyEmptyOne) {
  Bench bench(basic_settings());
  bench.endpoints(2);
  int sent_to_slow = 0, all = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    bench.arrive(id, 100);
    EndpointId w = bench.sends.back().endpoint;
    bench.play(AttemptStarted{id, 0});
    bench.advance(bench.now + (w == 100 ? 600 : 100));
    bench.outcome(id, 0, AttemptResult::ok, true);
    if (id > 50)
      ++all, sent_to_slow += w == 100;
  }
  EXPECT_LT(sent_to_slow, all / 4);
}

TEST(Keys, EveryDispatcherFindsTheSameEndpointForAKey) {
  Settings settings = basic_settings();
  settings.dispatchers = 2;
  std::map<std::uint64_t, std::set<EndpointId>> used;
  for (int rank = 0; rank < 2; ++rank) {
    settings.rank = rank;
    Bench bench(settings, 77 + static_cast<std::uint64_t>(rank));
    bench.endpoints(20);
    RequestId id = 0;
    for (int round = 0; round < 3; ++round)
      for (std::uint64_t key = 1; key <= 60; ++key) {
        bench.arrive(++id, 100, 0, 10000, key);
        bench.play(AttemptStarted{id, 0});
        bench.advance(bench.now + 20);
        bench.outcome(id, 0, AttemptResult::ok, true);
        used[key].insert(bench.sends.back().endpoint);
      }
  }
  std::size_t pairs = 0;
  for (const auto& [key, endpoints] : used)
    pairs += endpoints.size();
  EXPECT_LE(pairs, 60u * 5 / 2);  // random placement would use about five endpoints a key
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  auto run = [](Bench& bench) {
    bench.endpoints(12, 3, 1);
    for (RequestId id = 1; id < 60; ++id)
      bench.arrive(id, 50 + id % 7);
    bench.advance(bench.now + 500);
    std::vector<std::pair<RequestId, EndpointId>> all;
    for (const auto& x : bench.sends)
      all.emplace_back(x.request, x.endpoint);
    return all;
  };
  Settings settings = basic_settings();
  settings.zones = 3;
  Bench alone(settings, 5), a(settings, 5), other(settings, 6);
  auto expected = run(alone);
  // Two instances in one process act as in two: interleaving them changes nothing.
  run(other);
  EXPECT_EQ(run(a), expected);
}

TEST(Settings, ImpossibleOnesThrow) {
  auto broken = [](auto change) {
    Settings settings = basic_settings();
    change(settings);
    return settings;
  };
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.dispatchers = 0; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.rank = 1; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.classes.clear(); }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.tick_ms = NAN; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.classes[0].kind = 9; }), 1),
               std::invalid_argument);
}

}  // namespace
}  // namespace keelflow::scheduler
