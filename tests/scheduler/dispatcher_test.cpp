#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "dispatcher_harness.h"
#include "scheduler/peer_load.h"

namespace keelflow::scheduler {
namespace {

// Runs one job to its end on whatever endpoint it is sent to.
void serve(Bench& b, RequestId id, double hint, double run, int class_index = 0) {
  b.arrive(id, hint, class_index);
  b.play(AttemptStarted{id, 0});
  b.advance(b.now + run);
  b.outcome(id, 0, AttemptResult::ok, true);
}

TEST(Calibration, StartsAtOneAndConvergesToTheMeasuredRatio) {
  Bench b(basic_settings());
  b.endpoints(4);
  EXPECT_DOUBLE_EQ(b.d.calibration(0), 1.0);
  serve(b, 1, 100, 300);
  double after_one = b.d.calibration(0);
  EXPECT_GT(after_one, 1.0);
  EXPECT_LT(after_one, 3.0);
  for (RequestId id = 2; id < 120; ++id)
    serve(b, id, 100, 300);
  EXPECT_NEAR(b.d.calibration(0), 3.0, 0.05);
}

TEST(Calibration, OnlyServedAttemptsTeach) {
  Bench b(basic_settings());
  b.endpoints(4);
  for (AttemptResult r : {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected}) {
    RequestId id = 10 + static_cast<RequestId>(r);
    b.arrive(id, 100);
    b.play(AttemptStarted{id, 0});
    b.advance(b.now + 900);
    b.outcome(id, 0, r, false);
    b.play(ClientDisconnected{id});
  }
  EXPECT_DOUBLE_EQ(b.d.calibration(0), 1.0);
}

TEST(HeldQueue, AJobBeyondItsTenantsShareCountsAsLargerByAsMuchAsItIsWorthLess) {
  for (double worth : {0.05, 1.0}) {
    Settings s = basic_settings();
    s.tenant_quota = {1, 1};  // a job a second each
    s.over_quota_weight = worth;
    Bench b(s);
    b.endpoints(1);
    auto arrive = [&](RequestId id, int tenant, double hint) {
      RequestArrived a;
      a.request = id;
      a.tenant = tenant;
      a.hint = hint;
      a.client_timeout_ms = 10000;
      b.play(a);
    };
    arrive(1, 0, 100);
    arrive(2, 0, 100);
    arrive(3, 0, 100);  // held, and beyond the share
    arrive(4, 1, 300);  // held, larger, and within
    ASSERT_EQ(b.sends.size(), 2u);
    b.play(AttemptStarted{1, 0});
    b.now += 5;  // before the other one counts as late to start
    b.outcome(1, 0, AttemptResult::ok, true);
    ASSERT_GE(b.sends.size(), 3u);
    EXPECT_EQ(b.sends[2].request, worth < 1 ? 4u : 3u);
  }
}

TEST(Fleet, TheLivingSplitATenantsShareAndTheDeadGetTheirPartBack) {
  Settings s = basic_settings();
  s.dispatchers = 4;
  s.tenant_quota = {8, 1};
  s.over_quota_weight = 0.05;
  for (int living : {4, 1}) {
    Bench b(s);
    b.endpoints(1);
    std::vector<bool> lives(4, false);
    for (int d = 0; d < living; ++d)
      lives[static_cast<std::size_t>(d)] = true;
    b.play(MembershipChanged{lives});
    b.arrive(100, 500);
    b.arrive(101, 500);  // they fill the one endpoint
    for (RequestId id : {100u, 101u})
      b.play(AttemptStarted{id, 0});
    b.now += 4000;  // as much as may be saved up
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
      b.play(a);
    }
    b.play(large);
    int before = 0;
    for (int turn = 0; turn < 40; ++turn) {
      if (static_cast<std::size_t>(turn) >= b.sends.size())
        break;
      RequestId id = b.sends[static_cast<std::size_t>(turn)].request;
      if (id == 50)
        break;
      before += id < 50;
      b.now += 1;
      b.outcome(id, 0, AttemptResult::ok, true);
    }
    if (living == 1)
      EXPECT_EQ(before, 10);
    else
      EXPECT_LT(before, 10);
  }
}

// Warm endpoints are preferred where the dispatcher is told that they are home to it; a cold one
// where it may send to it.
TEST(Fleet, HomesAreAsToldAndThoseOfAColdWorkerItsOwn) {
  Settings s = basic_settings();
  s.dispatchers = 100;
  s.rank = 3;
  Bench b(s);
  b.endpoints(20);
  SubsetChanged homes;
  for (EndpointId w = 100; w < 120; ++w)
    homes.endpoints.push_back({w, w == 107, {}});
  b.play(homes);
  b.arrive(1, 10);
  ASSERT_EQ(b.sends.size(), 1u);
  EXPECT_EQ(b.sends[0].endpoint, 107u);
  int cold_home = 0;
  for (int rank = 0; rank < 100;
       ++rank) {  // the first few of its own order alone, whatever they are told
    s.rank = rank;
    Bench one(s);
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
    cold_home += !one.sends.empty() && one.sends[0].endpoint == 7;
  }
  EXPECT_EQ(cold_home, 5);
}

TEST(HeldQueue, ReleasesTheSmallestBudgetFirst) {
  Bench b(basic_settings());
  for (auto [id, hint] : std::map<RequestId, double>{{1, 300}, {2, 100}, {3, 200}, {4, 100}})
    b.arrive(id, hint);
  EXPECT_EQ(b.d.queued_requests(), 4u);
  EXPECT_TRUE(b.sends.empty());
  b.endpoints(8);
  ASSERT_EQ(b.sends.size(), 4u);
  EXPECT_EQ(b.sends[0].request, 2u);
  EXPECT_EQ(b.sends[1].request, 4u);  // the same hint: the earlier arrival first
  EXPECT_EQ(b.sends[2].request, 3u);
  EXPECT_EQ(b.sends[3].request, 1u);
}

TEST(HeldQueue, CalibrationReordersClasses) {
  Settings s = basic_settings();
  s.classes.resize(2, s.classes[0]);
  Bench b(s);
  b.endpoints(2);
  for (RequestId id = 1; id < 60; ++id)
    serve(b, id, 100, 400, 1);  // class 1 runs four times its hint
  b.play(EndpointList{ListScope::full, {}});
  b.arrive(901, 100, 1);
  b.arrive(902, 200, 0);
  b.sends.clear();
  b.endpoints(8);
  ASSERT_EQ(b.sends.size(), 2u);
  EXPECT_EQ(b.sends[0].request, 902u);
}

TEST(HeldQueue, AJobThatCanNoLongerBeInTimeLeavesAfterThoseThatCan) {
  Bench b(basic_settings());  // in time within 500 ms
  b.arrive(1, 100);
  b.advance(b.now + 600);
  b.arrive(2, 300);
  b.endpoints(8);
  ASSERT_EQ(b.sends.size(), 2u);
  EXPECT_EQ(b.sends[0].request, 2u);
  EXPECT_EQ(b.sends[1].request, 1u);
}

TEST(HeldQueue, AnOverdueJobIsNotSentWhileSendsMeetCrowding) {
  Bench b(basic_settings());
  b.endpoints(40);
  for (RequestId id = 1; id <= 30; ++id) {  // one refusal after another
    b.arrive(id, 100);
    if (b.sends.back().request == id)
      b.outcome(id, 0, AttemptResult::rejected, false);
    b.play(ClientDisconnected{id});
  }
  b.play(EndpointList{ListScope::full, {}});
  b.arrive(100, 100);
  b.advance(b.now + 600);  // overdue now
  b.arrive(101, 300);
  b.sends.clear();
  b.endpoints(40);
  ASSERT_EQ(b.sends.size(), 1u);
  EXPECT_EQ(b.sends[0].request, 101u);
  b.advance(b.now + 8000);  // crowding fades with nothing more refused
  ASSERT_EQ(b.sends.size(), 2u);
  EXPECT_EQ(b.sends[1].request, 100u);
}

TEST(HeldQueue, AJobWithoutHintCountsAsItsClassMean) {
  Bench b(basic_settings());
  b.arrive(1, 100);
  b.arrive(2, 300);
  b.arrive(3, 0);
  b.endpoints(8);
  ASSERT_EQ(b.sends.size(), 3u);
  EXPECT_EQ(b.sends[1].request, 3u);
}

TEST(Cap, RefusalsLowerItAndTimelyServiceRaisesIt) {
  Bench b(basic_settings());
  b.endpoints(1);
  for (RequestId id = 1; id <= 6; ++id)
    b.arrive(id, 100);
  std::size_t at_first = b.sends.size();
  EXPECT_LT(at_first, 6u);  // the rest wait
  EXPECT_EQ(b.d.queued_requests(), 6 - at_first);
  // Timely service, again and again: more fit at once.
  RequestId next = 100;
  std::set<RequestId> started;
  std::size_t out = 0, most = 0;
  for (int round = 0; round < 400; ++round) {
    std::vector<SendAttempt> fresh(b.sends.begin(), b.sends.end());
    b.sends.clear();
    out += fresh.size();
    most = std::max(most, out);
    for (const SendAttempt& x : fresh) {
      b.now += 1;
      b.play(AttemptStarted{x.request, 0});
    }
    b.advance(b.now + 5);
    for (const SendAttempt& x : fresh)
      --out, b.outcome(x.request, 0, AttemptResult::ok, true);
    while (b.d.queued_requests() < 5)
      b.arrive(next++, 100);
  }
  EXPECT_GT(most, at_first);
}

TEST(Pick, FewestOwnSlotsAmongWorkersWithRoom) {
  Bench b(basic_settings());
  b.endpoints(4);
  for (RequestId id = 1; id <= 4; ++id)
    b.arrive(id, 100);
  std::set<EndpointId> used;
  for (const auto& x : b.sends)
    used.insert(x.endpoint);
  EXPECT_GE(used.size(), 3u);  // samples of four out of four, with repeats: nearly all are found
}

TEST(Full, RequeuesAndIsNoFailure) {
  Settings s = basic_settings();
  s.classes[0].idempotency = Idempotency::non_idempotent;
  Bench b(s);
  b.endpoints(4);
  b.arrive(1, 100);
  ASSERT_EQ(b.sends.size(), 1u);
  b.outcome(1, 0, AttemptResult::rejected, false);
  EXPECT_TRUE(b.answers.empty());
  ASSERT_EQ(b.sends.size(), 2u);
  EXPECT_NE(b.sends[1].endpoint, b.sends[0].endpoint);
}

TEST(Retry, GoesToAWorkerThatHasNotHadTheJobWhereOneHasRoom) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Bench b(basic_settings(), seed);
    b.endpoints(3);
    b.arrive(1, 100);
    b.now += 1000;  // whoever was left alone is open again
    b.outcome(1, 0, AttemptResult::cancelled, false);
    b.outcome(1, 1, AttemptResult::cancelled, false);
    ASSERT_EQ(b.sends.size(), 3u);
    std::set<EndpointId> met{b.sends[0].endpoint, b.sends[1].endpoint, b.sends[2].endpoint};
    EXPECT_EQ(met.size(), 3u);
  }
}

TEST(Silence, ALongOneIsEndedAlsoWhereOneAttemptAtATimeIsAllowed) {
  Settings s = basic_settings();
  s.concurrent_attempts = false;
  s.tick_ms = 4;
  Bench b(s);
  b.endpoints(2);
  serve(b, 1, 100, 100);  // the usual run
  b.sends.clear();
  b.arrive(2, 100);
  b.advance(b.now + 300);
  EXPECT_TRUE(b.recalls.empty());  // it may be queueing
  b.advance(b.now + 300);
  EXPECT_EQ(b.recalls.size(), 1u);
  EXPECT_EQ(b.sends.size(), 1u);  // not while the first is out
  b.outcome(2, 0, AttemptResult::cancelled, false);
  ASSERT_EQ(b.sends.size(), 2u);
  EXPECT_NE(b.sends[1].endpoint, b.sends[0].endpoint);
}

TEST(Faults, AWorkerThatFailsAtOnceIsTriedLessAndLessAndNotWithWorkThatMustNotRunTwice) {
  Settings s = basic_settings();
  s.classes.resize(2);
  s.classes[1].idempotency = Idempotency::non_idempotent;
  Bench b(s);
  b.endpoints(1);
  serve(b, 1, 100, 100);  // the usual run
  std::vector<Time> tried;
  for (RequestId id = 2; b.now < 20000; ++id) {
    std::size_t before = b.sends.size();
    b.arrive(id, 100);
    if (b.sends.size() == before) {
      b.play(ClientDisconnected{id});
      b.advance(b.now + 5);
      continue;
    }
    tried.push_back(b.now);
    b.play(AttemptStarted{id, 0});  // it starts what it is sent, and fails it at once
    b.outcome(id, 0, AttemptResult::error, true);
  }
  ASSERT_GE(tried.size(), 8u);
  EXPECT_LT(tried.size(), 60u);
  EXPECT_GT(tried.back() - tried[tried.size() - 2], 400);
  b.advance(b.now + 2000);
  b.sends.clear();
  b.arrive(100001, 100, 1);
  EXPECT_TRUE(b.sends.empty());
  b.arrive(100002, 100, 0);
  ASSERT_EQ(b.sends.size(), 1u);
  b.outcome(100002, 0, AttemptResult::ok, true);  // served: it is well again
  ASSERT_EQ(b.sends.size(), 2u);
  EXPECT_EQ(b.sends[1].request, 100001u);
}

TEST(Full, AHeldJobIsTriedAgainWhenTheWorkerRested) {
  Bench b(basic_settings());
  b.endpoints(1);
  b.arrive(1, 100);
  b.outcome(1, 0, AttemptResult::rejected, false);
  EXPECT_EQ(b.sends.size(), 1u);
  b.advance(b.now + 3000);
  EXPECT_GE(b.sends.size(), 2u);
}

TEST(Restart, AWorkerWithAFreshStartTimeLosesWhatWasLearnedButNotItsOldAttempts) {
  Bench b(basic_settings());
  b.endpoints(1);
  b.arrive(1, 100);
  ASSERT_EQ(b.sends.size(), 1u);
  b.advance(b.now + 1000);  // a late start: the endpoint rests, its cap falls
  b.play(EndpointList{ListScope::delta, {{100, 0, 0, 0, EndpointState::ready, 1, b.now - 20000}}});
  b.arrive(2, 100);
  ASSERT_EQ(b.sends.size(),
            2u);  // the fresh one is used at once, beside the attempt at its former life
  b.arrive(3, 100);
  EXPECT_EQ(b.sends.size(), 2u);  // but that one still counts
  b.outcome(1, 0, AttemptResult::reset, false);
  EXPECT_GE(b.sends.size(), 2u);
  EXPECT_TRUE(b.answers.empty());
}

TEST(Kinds, ASparedKindIsUsedOnlyWhenNoOtherHasRoom) {
  Settings s = basic_settings();
  s.kinds = 2;
  s.classes.resize(2, s.classes[0]);
  s.classes[1].kind = 1;
  Bench b(s);
  b.endpoints(2, 1, 2);
  b.arrive(1, 100, 1);
  ASSERT_EQ(b.sends.size(), 1u);
  EXPECT_EQ(b.sends[0].endpoint, 101u);
  b.play(EndpointList{
      ListScope::delta,
      {{100, 0, 0, 0, EndpointState::gone, 1, 0}, {101, 0, 1, 0, EndpointState::gone, 1, 0}}});
  b.arrive(2, 100, 1);
  b.play(EndpointList{ListScope::delta, {{100, 0, 0, 0, EndpointState::ready, 1, 0}}});
  EXPECT_EQ(b.sends.size(), 1u);  // the wrong kind never gets it
}

TEST(Keys, AJobThatStartsLateStaysUnlessItHasNoKey) {
  for (std::uint64_t key : {0, 7}) {
    Bench b(basic_settings());
    b.endpoints(8);
    b.arrive(1, 100, 0, 10000, key);
    ASSERT_EQ(b.sends.size(), 1u);
    bool recalled = false;
    for (int i = 0; i < 300; ++i) {
      b.advance(b.now + 1);
      for (const auto& a : b.last)
        recalled = recalled || std::holds_alternative<CancelAttempt>(a);
    }
    EXPECT_EQ(recalled, key == 0);
  }
}

TEST(SubsetChanged, WithManyDispatchersEachSamplesItsOwnFewWorkersFirst) {
  Settings s = basic_settings();
  s.dispatchers = 100;
  std::map<EndpointId, int> fleet;
  int at_large = 0;  // those whom the hash gave no home
  for (s.rank = 0; s.rank < 100; ++s.rank) {
    Bench b(s, 11 + static_cast<std::uint64_t>(s.rank));
    b.endpoints(100);
    std::set<EndpointId> mine;
    for (RequestId id = 1; id <= 40; ++id) {
      b.arrive(id, 100);
      b.play(AttemptStarted{id, 0});
      b.advance(b.now + 20);
      b.outcome(id, 0, AttemptResult::ok, true);
      mine.insert(b.sends.back().endpoint);
    }
    at_large += mine.size() > 15;
    for (EndpointId w : mine)
      ++fleet[w];
  }
  EXPECT_LE(at_large, 3);
  EXPECT_GE(fleet.size(), 90u);  // and together they use the whole fleet
}

// Two endpoints that this dispatcher shares with 19 others, and what those tell of the first.
struct Shared : Bench {
  static Settings settings(Idempotency idempotency) {
    Settings s = basic_settings();
    s.dispatchers = 20;
    s.peers = true;
    s.classes[0].idempotency = idempotency;
    return s;
  }
  explicit Shared(Idempotency idempotency = Idempotency::idempotent)
      : Bench(settings(idempotency)) {
    endpoints(2);
  }
  void hears(int peer, EndpointId endpoint, double load, LoadSignal sign = LoadSignal::none,
             Time started_at = 0) {
    play(PeerMessage{
        peer, encode({endpoint, incarnation_tag({.endpoint = endpoint, .started_at = started_at}),
                      load, sign})});
  }
  int sent_to_first(int jobs) {  // of so many jobs that are served at once
    int count = 0;
    for (int i = 0; i < jobs; ++i) {
      sends.clear();
      arrive(++last_job, 100);
      for (const SendAttempt& x : std::vector<SendAttempt>(sends))
        count += x.endpoint == 100, outcome(x.request, 0, AttemptResult::ok, true);
    }
    return count;
  }
  RequestId last_job = 0;
};

TEST(Peers, AWorkerThatOthersHaveFilledIsPassedOverUntilTheyTellOtherwise) {
  Shared b;
  EXPECT_GT(b.sent_to_first(40), 0);
  b.hears(3, 100, 2);
  b.hears(4, 100, 200);
  EXPECT_EQ(b.sent_to_first(40), 0);
  b.hears(3, 100, 0);
  b.hears(4, 100, 0);
  b.advance(b.now + 50);  // the others had a moment to fill it again
  EXPECT_GT(b.sent_to_first(40), 0);
}

TEST(Peers, WhatADeadPeerToldLastIsForgotten) {
  Shared b;
  b.hears(3, 100, 200);
  EXPECT_EQ(b.sent_to_first(40), 0);
  b.advance(b.now + 5100);
  EXPECT_GT(b.sent_to_first(40), 0);
}

TEST(Peers, AWorkerThatFailsOthersIsLeftAloneHere) {
  Shared b;
  b.sent_to_first(4);
  for (int peer : {3, 4, 5})
    b.hears(peer, 100, 0, LoadSignal::failed);
  EXPECT_EQ(b.sent_to_first(40), 0);
}

TEST(Peers, AWorkerThatOthersCouldNotReachHasNoFaultsHere) {
  Shared b(Idempotency::non_idempotent);  // which a endpoint with faults is not tried with, however
                                          // long it was left alone
  for (int peer : {3, 4, 5})
    b.hears(peer, 100, 0, LoadSignal::unreachable);
  EXPECT_EQ(b.sent_to_first(40), 0);
  b.advance(b.now + 10000);
  EXPECT_GT(b.sent_to_first(40), 0);
}

TEST(Peers, NotesOnAFormerLifeOrThatAreNoneChangeNothing) {
  Shared b;
  for (int peer : {3, 4, 5})
    b.hears(peer, 100, 200, LoadSignal::failed, 77);
  for (std::string bytes : {"", "1234567", "123456789"})
    b.play(PeerMessage{3, bytes});
  b.play(PeerMessage{3, std::string(8, '\xff')});
  b.hears(3, 999, 200, LoadSignal::failed);  // a endpoint that is not listed
  EXPECT_GT(b.sent_to_first(40), 0);
}

TEST(Peers, TheOthersAtHomeAtAWorkerHearOfEachSendAndEachEnd) {
  Shared b;
  b.arrive(1, 100);
  ASSERT_EQ(b.sends.size(), 1u);
  ASSERT_EQ(b.tells.size(), 19u);  // with two endpoints all twenty are at home
  EXPECT_EQ(decode_load_update(b.tells[0].bytes)->endpoint, b.sends[0].endpoint);
  EXPECT_EQ(decode_load_update(b.tells[0].bytes)->in_flight, 1);
  b.now += 100;
  b.outcome(1, 0, AttemptResult::ok, true);
  ASSERT_EQ(b.tells.size(), 38u);
  LoadUpdate last = decode_load_update(b.tells.back().bytes).value();
  EXPECT_EQ(last.in_flight, 0);
  EXPECT_EQ(last.signal, LoadSignal::served);
  EXPECT_NEAR(last.service_time_ratio, 1, 0.05);
}

TEST(Slow, AWorkerThatRunsSlowlyIsPassedOverForAnEquallyEmptyOne) {
  Bench b(basic_settings());
  b.endpoints(2);
  int slow = 0, all = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    b.arrive(id, 100);
    EndpointId w = b.sends.back().endpoint;
    b.play(AttemptStarted{id, 0});
    b.advance(b.now + (w == 100 ? 600 : 100));
    b.outcome(id, 0, AttemptResult::ok, true);
    if (id > 50)
      ++all, slow += w == 100;
  }
  EXPECT_LT(slow, all / 4);
}

TEST(Keys, EveryDispatcherFindsTheSameWorkerForAKey) {
  Settings s = basic_settings();
  s.dispatchers = 2;
  std::map<std::uint64_t, std::set<EndpointId>> used;
  for (int rank = 0; rank < 2; ++rank) {
    s.rank = rank;
    Bench b(s, 77 + static_cast<std::uint64_t>(rank));
    b.endpoints(20);
    RequestId id = 0;
    for (int round = 0; round < 3; ++round)
      for (std::uint64_t key = 1; key <= 60; ++key) {
        b.arrive(++id, 100, 0, 10000, key);
        b.play(AttemptStarted{id, 0});
        b.advance(b.now + 20);
        b.outcome(id, 0, AttemptResult::ok, true);
        used[key].insert(b.sends.back().endpoint);
      }
  }
  std::size_t pairs = 0;
  for (const auto& [key, endpoints] : used)
    pairs += endpoints.size();
  EXPECT_LE(pairs, 60u * 5 / 2);  // random placement would use about five endpoints a key
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  auto run = [](Bench& b) {
    b.endpoints(12, 3, 1);
    for (RequestId id = 1; id < 60; ++id)
      b.arrive(id, 50 + id % 7);
    b.advance(b.now + 500);
    std::vector<std::pair<RequestId, EndpointId>> all;
    for (const auto& x : b.sends)
      all.emplace_back(x.request, x.endpoint);
    return all;
  };
  Settings s = basic_settings();
  s.zones = 3;
  Bench alone(s, 5), a(s, 5), other(s, 6);
  auto expected = run(alone);
  // Two instances in one process act as in two: interleaving them changes nothing.
  run(other);
  EXPECT_EQ(run(a), expected);
}

TEST(Settings, ImpossibleOnesThrow) {
  auto broken = [](auto change) {
    Settings s = basic_settings();
    change(s);
    return s;
  };
  EXPECT_THROW(Dispatcher(broken([](Settings& s) { s.dispatchers = 0; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& s) { s.rank = 1; }), 1), std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& s) { s.classes.clear(); }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& s) { s.tick_ms = NAN; }), 1), std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& s) { s.classes[0].kind = 9; }), 1),
               std::invalid_argument);
}

}  // namespace
}  // namespace keelflow::scheduler
