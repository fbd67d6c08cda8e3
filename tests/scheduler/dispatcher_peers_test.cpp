/// Tests of the load updates that dispatchers with shared endpoints send and receive.
#include <string>

#include "dispatcher_harness.h"
#include "scheduler/peer_load.h"

namespace keelflow::scheduler {
namespace {

/// One dispatcher that shares two endpoints with 19 peers, and load updates from those peers.
struct SharedEndpointsHarness : DispatcherHarness {
  static Settings shared_settings(Idempotency idempotency) {
    Settings settings = basic_settings();
    settings.dispatchers = 20;
    settings.peers = true;
    settings.classes[0].idempotency = idempotency;
    return settings;
  }
  explicit SharedEndpointsHarness(Idempotency idempotency = Idempotency::idempotent)
      : DispatcherHarness(shared_settings(idempotency)) {
    endpoints(2);
  }
  void receives(int peer, EndpointId endpoint, double load, LoadSignal signal = LoadSignal::none,
                Time started_at = 0) {
    handle(PeerMessage{
        peer, encode({endpoint, incarnation_tag({.endpoint = endpoint, .started_at = started_at}),
                      load, signal})});
  }
  /// Sends `requests` requests, each completed at once, and counts those sent to endpoint 100.
  int count_sent_to_first(int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      sends.clear();
      arrive(++last_request, 100);
      for (const SendAttempt& send : std::vector<SendAttempt>(sends)) {
        count += send.endpoint == 100;
        outcome(send.request, 0, AttemptResult::ok, true);
      }
    }
    return count;
  }
  RequestId last_request = 0;
};

TEST(PeerMessages, AnEndpointWithoutCapacityDueToPeersIsSkippedUntilTheyReportLessLoad) {
  SharedEndpointsHarness harness;
  EXPECT_GT(harness.count_sent_to_first(40), 0);
  harness.receives(3, 100, 2);
  harness.receives(4, 100, 200);
  EXPECT_EQ(harness.count_sent_to_first(40), 0);
  harness.receives(3, 100, 0);
  harness.receives(4, 100, 0);
  harness.advance(harness.now + 50);  // time in which peers may use the capacity again
  EXPECT_GT(harness.count_sent_to_first(40), 0);
}

TEST(PeerMessages, TheLastUpdateOfADeadPeerExpires) {
  SharedEndpointsHarness harness;
  harness.receives(3, 100, 200);
  EXPECT_EQ(harness.count_sent_to_first(40), 0);
  harness.advance(harness.now + 5100);
  EXPECT_GT(harness.count_sent_to_first(40), 0);
}

TEST(PeerMessages, AnEndpointThatFailsForPeersIsEjected) {
  SharedEndpointsHarness harness;
  harness.count_sent_to_first(4);
  for (int peer : {3, 4, 5})
    harness.receives(peer, 100, 0, LoadSignal::failed);
  EXPECT_EQ(harness.count_sent_to_first(40), 0);
}

TEST(PeerMessages, AnEndpointUnreachableForPeersIsEjectedButNotMarkedFaulty) {
  // Non-idempotent requests are not sent to an endpoint with faults, even after its ejection.
  SharedEndpointsHarness harness(Idempotency::non_idempotent);
  for (int peer : {3, 4, 5})
    harness.receives(peer, 100, 0, LoadSignal::unreachable);
  EXPECT_EQ(harness.count_sent_to_first(40), 0);
  harness.advance(harness.now + 10000);
  EXPECT_GT(harness.count_sent_to_first(40), 0);
}

TEST(PeerMessages, StaleMalformedAndUnlistedUpdatesAreIgnored) {
  SharedEndpointsHarness harness;
  for (int peer : {3, 4, 5})
    harness.receives(peer, 100, 200, LoadSignal::failed, 77);
  for (std::string bytes : {"", "1234567", "123456789"})
    harness.handle(PeerMessage{3, bytes});
  harness.handle(PeerMessage{3, std::string(8, '\xff')});
  harness.receives(3, 999, 200, LoadSignal::failed);  // unlisted endpoint
  EXPECT_GT(harness.count_sent_to_first(40), 0);
}

TEST(PeerMessages, PeersThatShareAnEndpointAreNotifiedOfEachSendAndEachEnd) {
  SharedEndpointsHarness harness;
  harness.arrive(1, 100);
  ASSERT_EQ(harness.sends.size(), 1u);
  ASSERT_EQ(harness.peer_messages.size(),
            19u);  // with two endpoints, each is in the subset of all twenty
  EXPECT_EQ(decode_load_update(harness.peer_messages[0].bytes)->endpoint,
            harness.sends[0].endpoint);
  EXPECT_EQ(decode_load_update(harness.peer_messages[0].bytes)->in_flight, 1);
  harness.now += 100;
  harness.outcome(1, 0, AttemptResult::ok, true);
  ASSERT_EQ(harness.peer_messages.size(), 38u);
  LoadUpdate last = decode_load_update(harness.peer_messages.back().bytes).value();
  EXPECT_EQ(last.in_flight, 0);
  EXPECT_EQ(last.signal, LoadSignal::served);
  EXPECT_NEAR(last.service_time_ratio, 1, 0.05);
}

}  // namespace
}  // namespace keelflow::scheduler
