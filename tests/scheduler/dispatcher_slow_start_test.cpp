/// Tests that all dispatchers and all processes of a node together stay within the slow start
/// budget of an endpoint.
#include <cstdint>
#include <utility>

#include "dispatcher_harness.h"
#include "sent_work.h"

namespace keelflow::scheduler {
namespace {

// An endpoint that restarts while an override drains it is warming up when it is ready again. The
// endpoint must be tried regardless of the service time ratio assumed for it. The next request is
// sent there whenever the endpoint is sampled, in two of three cases among four endpoints.
TEST(SlowStart, AnEndpointThatIsReadyAgainIsTriedDespiteItsAssumedServiceTimeRatio) {
  Settings settings = basic_settings();
  // High enough that the objective can be met despite the assumed service time ratio.
  settings.classes[0].objective_runtime_factor = 10;
  int tried = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    DispatcherHarness harness(settings, seed);
    harness.now = 5000;
    harness.endpoints(4);
    EndpointEntry back{103, 0, 0, 0, EndpointState::draining, 1, harness.now - 1000};
    harness.handle(EndpointList{ListScope::delta, {back}});
    back.state = EndpointState::ready;
    harness.handle(EndpointList{ListScope::delta, {back}});
    harness.arrive(1, 20);
    ASSERT_EQ(harness.sends.size(), 1u);
    tried += harness.sends[0].endpoint == 103;
  }
  EXPECT_GT(tried, 100);
}

// The largest fraction of an overload that all dispatchers together send to an endpoint that is
// warming up, each under a constant load of requests.
double max_fraction_of_warming_up_endpoints(int dispatchers, double hint,
                                            bool is_whole_fleet_warming_up) {
  Settings settings = basic_settings();
  settings.dispatchers = dispatchers;
  SentWorkByEndpoint sent;
  int endpoints_warming_up = is_whole_fleet_warming_up ? 8 : 1;
  const Time started_at = 5000;
  for (int rank = 0; rank < dispatchers; ++rank) {
    settings.rank = rank;
    DispatcherHarness harness(settings, static_cast<std::uint64_t>(rank) * 7 + 3);
    harness.now = started_at;
    EndpointList list;
    for (int i = 0; i < 8; ++i)
      list.entries.push_back({static_cast<EndpointId>(i), 0, 0, 0, EndpointState::ready, 1,
                              i < endpoints_warming_up ? started_at : 0});
    harness.handle(list);
    RequestId id = 0;
    for (Time now = started_at; now < started_at + settings.slow_start_ms; now += 50) {
      harness.advance(now);
      harness.sends.clear();
      harness.arrive(++id, hint);
      for (const auto& send : std::vector<SendAttempt>(harness.sends)) {
        if (send.endpoint < static_cast<EndpointId>(endpoints_warming_up))
          sent[send.endpoint].push_back({harness.now, hint});
        harness.handle(AttemptStarted{send.request, 0});
        harness.outcome(send.request, 0, AttemptResult::ok, true);
      }
    }
  }
  return max_window_fraction(settings, sent, [&](Time when) {
    return settings.slow_start_initial_fraction + (1 - settings.slow_start_initial_fraction) *
                                                      (when - started_at) / settings.slow_start_ms;
  });
}

TEST(SlowStartBudget, AllDispatchersTogetherStayWithinTheBudgetOfAOneCoreEndpoint) {
  for (int dispatchers : {1, 3, 20})
    for (double hint : {60.0, 400.0})
      for (bool are_all_warming_up : {false, true}) {
        double worst = max_fraction_of_warming_up_endpoints(dispatchers, hint, are_all_warming_up);
        EXPECT_LE(worst, 0.70) << dispatchers << " dispatchers, hint " << hint
                               << ", all warming up " << are_all_warming_up;
      }
  EXPECT_GT(max_fraction_of_warming_up_endpoints(3, 60, true),
            0.0);  // endpoints that are warming up are used
}

// The largest fraction of an overload that two processes of one node send, under constant load and
// with all endpoints warming up. The new process begins half a window later, with the learned state
// of the old one if `shares_state`. If not `are_both_sending`, only the old process sends in that
// period.
double max_fraction_of_siblings(bool are_both_sending, bool shares_state) {
  Settings settings = basic_settings();
  DispatcherHarness old_process(settings, 3);
  DispatcherHarness new_process(settings, 4);
  SentWorkByEndpoint sent;
  const Time started_at = 5000;
  EndpointList list;
  for (EndpointId i = 0; i < 4; ++i)
    list.entries.push_back({i, 0, 0, 0, EndpointState::ready, 1, started_at});
  old_process.now = started_at;
  new_process.now = started_at;
  old_process.handle(list);
  new_process.handle(list);
  RequestId id = 0;
  auto step = [&](DispatcherHarness& harness, DispatcherHarness& other, Time now) {
    harness.advance(now);
    harness.arrive(++id, 60);
    for (const SendAttempt& send : std::exchange(harness.sends, {})) {
      sent[send.endpoint].push_back({harness.now, 60});
      harness.handle(AttemptStarted{send.request, 0});
      harness.outcome(send.request, 0, AttemptResult::ok, true);
    }
    for (const SendPeerMessage& message : std::exchange(harness.peer_messages, {})) {
      other.now = harness.now;
      other.handle(PeerMessage{message.peer, message.bytes});
    }
  };
  const Time joined_at = started_at + settings.overload_window_ms / 2;
  for (Time now = started_at; now < joined_at; now += 10)
    step(old_process, new_process, now);
  new_process.advance(joined_at);
  if (shares_state) {
    new_process.handle(old_process.dispatcher.learned_state(joined_at));
    new_process.handle(SiblingProcess{true});
    old_process.handle(SiblingProcess{true});
  }
  for (Time now = joined_at; now < started_at + settings.slow_start_ms; now += 10) {
    step(old_process, new_process, now);
    step(are_both_sending ? new_process : old_process, old_process, now);
  }
  return max_window_fraction(settings, sent, [&](Time when) {
    return settings.slow_start_initial_fraction + (1 - settings.slow_start_initial_fraction) *
                                                      (when - started_at) / settings.slow_start_ms;
  });
}

TEST(SlowStartBudget, TwoProcessesOfANodeShareOneBudget) {
  double single_process = max_fraction_of_siblings(false, false);
  EXPECT_LE(single_process, 0.70);
  EXPECT_LT(max_fraction_of_siblings(true, true), 1.1 * single_process);
  // Without shared state, the two processes together exceed the budget of one.
  EXPECT_GT(max_fraction_of_siblings(true, false), 1.4 * single_process);
}

}  // namespace
}  // namespace keelflow::scheduler
