/// The order in which a Dispatcher releases requests: calibration, quotas, objectives and
/// congestion.
#include <map>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

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
  for (AttemptResult result :
       {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected}) {
    RequestId id = 10 + static_cast<RequestId>(result);
    bench.arrive(id, 100);
    bench.play(AttemptStarted{id, 0});
    bench.advance(bench.now + 900);
    bench.outcome(id, 0, result, false);
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
      RequestArrived arrival;
      arrival.request = id;
      arrival.tenant = tenant;
      arrival.hint = hint;
      arrival.client_timeout_ms = 10000;
      bench.play(arrival);
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
      RequestArrived arrival;
      arrival.request = id;
      arrival.hint = 100;
      arrival.client_timeout_ms = 10000;
      bench.play(arrival);
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

}  // namespace
}  // namespace keelflow::scheduler
