/// What dispatchers that share endpoints notify one another of, and what they make of it.
#include <string>

#include "dispatcher_harness.h"
#include "scheduler/peer_load.h"

namespace keelflow::scheduler {
namespace {

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
      for (const SendAttempt& send : std::vector<SendAttempt>(sends)) {
        count += send.endpoint == 100;
        outcome(send.request, 0, AttemptResult::ok, true);
      }
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

}  // namespace
}  // namespace keelflow::scheduler
