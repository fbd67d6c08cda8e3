/// Tests of the order in which a Dispatcher sends queued requests: calibration, quotas, latency
/// objectives and congestion.
#include <map>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(Calibration, StartsAtOneAndConvergesToTheMeasuredRatio) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(4);
  EXPECT_DOUBLE_EQ(harness.dispatcher.calibration(0), 1.0);
  serve(harness, 1, 100, 300);
  double after_one = harness.dispatcher.calibration(0);
  EXPECT_GT(after_one, 1.0);
  EXPECT_LT(after_one, 3.0);
  for (RequestId id = 2; id < 120; ++id)
    serve(harness, id, 100, 300);
  EXPECT_NEAR(harness.dispatcher.calibration(0), 3.0, 0.05);
}

TEST(Calibration, UnsuccessfulAttemptsDoNotChangeTheFactor) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(4);
  for (AttemptResult result :
       {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected}) {
    RequestId id = 10 + static_cast<RequestId>(result);
    harness.arrive(id, 100);
    harness.handle(AttemptStarted{id, 0});
    harness.advance(harness.now + 900);
    harness.outcome(id, 0, result, false);
    harness.handle(ClientDisconnected{id});
  }
  EXPECT_DOUBLE_EQ(harness.dispatcher.calibration(0), 1.0);
}

TEST(RequestQueueing, AnOverQuotaRequestWithALowWeightIsSentAfterALargerRequest) {
  for (double over_quota_weight : {0.05, 1.0}) {
    Settings settings = basic_settings();
    settings.tenant_quota = {1, 1};  // one request per second for each tenant
    settings.over_quota_weight = over_quota_weight;
    DispatcherHarness harness(settings);
    harness.endpoints(1);
    auto arrive = [&](RequestId id, int tenant, double hint) {
      RequestArrived arrival;
      arrival.request = id;
      arrival.tenant = tenant;
      arrival.hint = hint;
      arrival.client_timeout_ms = 10000;
      harness.handle(arrival);
    };
    arrive(1, 0, 100);
    arrive(2, 0, 100);
    arrive(3, 0, 100);  // queued, over its quota
    arrive(4, 1, 300);  // queued, larger, within its quota
    ASSERT_EQ(harness.sends.size(), 2u);
    harness.handle(AttemptStarted{1, 0});
    harness.now += 5;  // before the other request counts as a late start
    harness.outcome(1, 0, AttemptResult::ok, true);
    ASSERT_GE(harness.sends.size(), 3u);
    EXPECT_EQ(harness.sends[2].request, over_quota_weight < 1 ? 4u : 3u);
  }
}

TEST(RequestQueueing, SendsTheSmallestCalibratedCostFirst) {
  DispatcherHarness harness(basic_settings());
  for (auto [id, hint] : std::map<RequestId, double>{{1, 300}, {2, 100}, {3, 200}, {4, 100}})
    harness.arrive(id, hint);
  EXPECT_EQ(harness.dispatcher.queued_requests(), 4u);
  EXPECT_TRUE(harness.sends.empty());
  harness.endpoints(8);
  ASSERT_EQ(harness.sends.size(), 4u);
  EXPECT_EQ(harness.sends[0].request, 2u);
  // Requests with equal hints are sent in order of arrival.
  EXPECT_EQ(harness.sends[1].request, 4u);
  EXPECT_EQ(harness.sends[2].request, 3u);
  EXPECT_EQ(harness.sends[3].request, 1u);
}

TEST(RequestQueueing, CalibrationReordersClasses) {
  Settings settings = basic_settings();
  settings.classes.resize(2, settings.classes[0]);
  DispatcherHarness harness(settings);
  harness.endpoints(2);
  for (RequestId id = 1; id < 60; ++id)
    serve(harness, id, 100, 400, 1);  // class 1 runs four times its hint
  harness.handle(EndpointList{ListScope::full, {}});
  harness.arrive(901, 100, 1);
  harness.arrive(902, 200, 0);
  harness.sends.clear();
  harness.endpoints(8);
  ASSERT_EQ(harness.sends.size(), 2u);
  EXPECT_EQ(harness.sends[0].request, 902u);
}

TEST(RequestQueueing, AnOverdueRequestIsSentAfterThoseThatCanMeetTheirObjective) {
  DispatcherHarness harness(basic_settings());  // latency objective: 500 ms
  harness.arrive(1, 100);
  harness.advance(harness.now + 600);
  harness.arrive(2, 300);
  harness.endpoints(8);
  ASSERT_EQ(harness.sends.size(), 2u);
  EXPECT_EQ(harness.sends[0].request, 2u);
  EXPECT_EQ(harness.sends[1].request, 1u);
}

TEST(RequestQueueing, AnOverdueRequestIsNotSentWhileCongestionIsHigh) {
  DispatcherHarness harness(basic_settings());
  harness.endpoints(40);
  for (RequestId id = 1; id <= 30; ++id) {  // consecutive rejections raise congestion
    harness.arrive(id, 100);
    if (harness.sends.back().request == id)
      harness.outcome(id, 0, AttemptResult::rejected, false);
    harness.handle(ClientDisconnected{id});
  }
  harness.handle(EndpointList{ListScope::full, {}});
  harness.arrive(100, 100);
  harness.advance(harness.now + 600);  // overdue now
  harness.arrive(101, 300);
  harness.sends.clear();
  harness.endpoints(40);
  ASSERT_EQ(harness.sends.size(), 1u);
  EXPECT_EQ(harness.sends[0].request, 101u);
  harness.advance(harness.now + 8000);  // congestion fades while nothing is rejected
  ASSERT_EQ(harness.sends.size(), 2u);
  EXPECT_EQ(harness.sends[1].request, 100u);
}

TEST(RequestQueueing, ARequestWithoutAHintHasTheMeanHintOfItsClass) {
  DispatcherHarness harness(basic_settings());
  harness.arrive(1, 100);
  harness.arrive(2, 300);
  harness.arrive(3, 0);
  harness.endpoints(8);
  ASSERT_EQ(harness.sends.size(), 3u);
  EXPECT_EQ(harness.sends[1].request, 3u);
}

TEST(Fleet, LiveDispatchersSplitTheTenantQuotaIncludingTheSharesOfDeadOnes) {
  Settings settings = basic_settings();
  settings.dispatchers = 4;
  settings.tenant_quota = {8, 1};
  settings.over_quota_weight = 0.05;
  for (int alive : {4, 1}) {
    DispatcherHarness harness(settings);
    harness.endpoints(1);
    std::vector<bool> is_alive(4, false);
    for (int d = 0; d < alive; ++d)
      is_alive[static_cast<std::size_t>(d)] = true;
    harness.handle(MembershipChanged{is_alive});
    harness.arrive(100, 500);
    harness.arrive(101, 500);  // these two requests use all capacity of the only endpoint
    for (RequestId id : {100u, 101u})
      harness.handle(AttemptStarted{id, 0});
    harness.now += 4000;  // longer than a bucket takes to fill
    RequestArrived large;
    large.request = 50;
    large.tenant = 1;
    large.hint = 300;
    large.client_timeout_ms = 10000;
    // The quota is eight requests per second. A dispatcher that is the only live one can accumulate
    // sixteen tokens, and one of four live dispatchers only four. Requests beyond that count as
    // larger.
    for (RequestId id = 1; id <= 10; ++id) {
      RequestArrived arrival;
      arrival.request = id;
      arrival.hint = 100;
      arrival.client_timeout_ms = 10000;
      harness.handle(arrival);
    }
    harness.handle(large);
    int before = 0;
    for (int step = 0; step < 40; ++step) {
      if (static_cast<std::size_t>(step) >= harness.sends.size())
        break;
      RequestId id = harness.sends[static_cast<std::size_t>(step)].request;
      if (id == 50)
        break;
      before += id < 50;
      harness.now += 1;
      harness.outcome(id, 0, AttemptResult::ok, true);
    }
    if (alive == 1)
      EXPECT_EQ(before, 10);
    else
      EXPECT_LT(before, 10);
  }
}

}  // namespace
}  // namespace keelflow::scheduler
