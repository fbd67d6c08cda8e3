// The progress front, from request to answer: the real program, a client that reads events,
// stand-in boxes that report every second, and a stand-in store that speaks RESP.
#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

// A client's stream whose work a box has begun.
const std::string kBegun = R"(
    open c progress
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
)";

Options with(bool store = false) {
  Options options;
  options.progress = "(heartbeat 300ms)";
  options.store = store;
  return options;
}

void play(const std::string& text, const Options& options = with()) {
  Scenario scenario(options);
  scenario.play(kStart);
  if (!testing::Test::HasFailure())
    scenario.play(text);
}

TEST(Progress, ReportsComeAsEventsWithHeartbeatsBetweenAndOneFinalEvent) {
  play(R"(
    open c progress
    send c stream A sale 15000
    accept b box
    expect b Accept: text/event-stream
    expect b body
    send b ok 202
    news A box started
    expect c HTTP/1.1 200
    expect c Content-Type: text/event-stream
    expect c id: 1\nevent: started\ndata: {"attempt":1}\n\n
    report A box 0.25 0.5
    expect c id: 2\nevent: progress\ndata: {"attempt":1,"share":0.25}\n\n
    expect c : still here\n\n
    expect c id: 3\nevent: progress\ndata: {"attempt":1,"share":0.5}\n\n
    news A box done {"result":"two\nlines"}
    expect c id: 4\nevent: done\ndata: two\ndata: lines\n\n
    expect c 0\r\n\r\n
    news A box done {"result":"again"}
    absent c event:
    # the connection is kept, and a plain request on it is served as on the platform
    send c job B price 5000
    expect b X-Trace-Id: B
    absent b Accept
    send b ok 202
    news B box done {"result":"plain"}
    expect c Content-Length: 5
    expect c plain
    wait streams_opened 1
  )");
}

TEST(Progress, AnAnswerWithoutAnyReportIsAStreamOfOneEvent) {
  play(R"(
    open c progress
    send c stream A price 5000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"quick"}
    expect c text/event-stream
    expect c id: 1\nevent: done\ndata: quick\n\n
    expect c 0\r\n\r\n
  )");
}

TEST(Progress, UntilTheFirstEventRefusalsAndFailuresArePlainStatuses) {
  play(R"(
    open c progress
    send c stream L sale 1000
    accept b box
    expect b body
    send b ok 202
    expect c HTTP/1.1 504
    expect b DELETE /jobs/L
    send b ok 200
    wait attempts_cancelled 1
    send c stream E sale 5000
    accept e box
    expect e X-Trace-Id: E
    expect e body
    reset e
    expect c HTTP/1.1 502
    send c stream N nosuch 5000
    expect c HTTP/1.1 404
    stop box
    send c stream R sale 9000
    expect c HTTP/1.1 503
    expect c Retry-After: 
    absent c event-stream
    wait streams_opened 0
  )");
}

TEST(Progress, AfterTheFirstEventAFailureIsTheOneFinalEvent) {
  play(R"(
    open c progress
    send c stream A sale 5000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect c event: started
    news A box lost
    expect c event: failed\ndata: {"status":502}\n\n
    expect c 0\r\n\r\n
    absent c event:
    # and a deadline that passes
    send c stream B sale 700
    accept b2 box
    expect b2 X-Trace-Id: B
    expect b2 body
    send b2 ok 202
    news B box started
    expect c event: started
    expect c event: failed\ndata: {"status":504}\n\n
    expect c 0\r\n\r\n
    expect b2 DELETE /jobs/B
  )");
}

TEST(Progress, AClientThatDropsMidStreamStopsTheWorkAtTheBox) {
  play(kBegun + R"(
    report A box 0.1
    expect c "share":0.1
    reset c
    expect b DELETE /jobs/A
    send b ok 200
    news A box running {"share":0.2}
    wait clients_gone 1
    wait attempts_cancelled 1
    wait attempts_started 1
  )");
}

TEST(Progress, ABoxThatDrainsMidStreamFinishesAndThereIsOneFinalAnswer) {
  play(kBegun + R"(
    expect c event: started
    list box:draining box2:ready
    report A box 0.4
    expect c "share":0.4
    news A box done {"result":"finished"}
    expect c event: done\ndata: finished\n\n
    expect c 0\r\n\r\n
    wait attempts_started 1
  )");
}

TEST(Progress, ABoxThatDrainsAndHandsBackIsFollowedByAnotherAndOneFinalAnswer) {
  play(R"(
    open c progress
    send c stream A price 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    report A box 0.4
    expect c {"attempt":1,"share":0.4}
    list box:draining box2:ready
    wait lists_received 3
    news A box returned
    accept b2 box2
    expect b2 X-Trace-Id: A
    send b2 ok 202
    # what the first box still says is stale
    news A box running {"share":0.9}
    news A box done {"result":"stale"}
    news A box2 started
    expect c event: started\ndata: {"attempt":2}
    news A box2 done {"result":"second"}
    expect c event: done\ndata: second\n\n
    expect c 0\r\n\r\n
    absent c event:
    wait answers_served 1
  )");
}

TEST(Progress, AStreamFromABoxIsRelayedAndItsEndWithoutAFinalEventIsAReset) {
  play(R"(
    open c progress
    send c stream A price 15000
    accept b box
    expect b Accept: text/event-stream
    expect b body
    send b HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n
    send b chunk : hello\n\nevent: started\ndata: {}\n\neve
    send b chunk nt: progress\r\ndata: {"share":0.3}\r\n\r\n
    expect c event: started\ndata: {"attempt":1}
    expect c {"attempt":1,"share":0.3}
    send b 0\r\n\r\n
    accept b2 box
    expect b2 X-Trace-Id: A
    expect b2 body
    send b2 HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n
    send b2 event: started\ndata: {}\n\nevent: done\ndata: one\ndata: two\n\n
    expect c {"attempt":2}
    expect c event: done\ndata: one\ndata: two\n\n
    expect c 0\r\n\r\n
    wait attempts_reset 1
    # unsafe work whose stream breaks may have run: no second attempt, one final event
    send c stream B sale 15000
    accept b3 box
    expect b3 X-Trace-Id: B
    expect b3 body
    send b3 HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: started\ndata: {}\n\n
    expect c event: started
    reset b3
    expect c event: failed\ndata: {"status":502}
    wait attempts_started 3
  )");
}

TEST(Progress, AClientThatDropsEndsTheStreamFromTheBox) {
  play(R"(
    open c progress
    send c stream A sale 15000
    accept b box
    expect b body
    send b HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: started\ndata: {}\n\n
    expect c event: started
    close c
    closed b
    wait attempts_cancelled 1
  )");
}

TEST(Progress, ASlowReaderMissesProgressButNotTheEndAndCostsABoundedAmount) {
  play(R"(
    open c progress
    send c stream A sale 60000
    accept b box
    expect b body
    send b HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: started\ndata: {}\n\n
    expect c event: started
    fill b 200000 event: progress\ndata: {"share":0.5}\n\n
    wait events_dropped 1+
    send b event: done\ndata: end\n\n
    expect c event: done\ndata: end\n\n
    expect c 0\r\n\r\n
    wait answers_served 1
  )");
}

TEST(Progress, WithoutAnAddressTheFrontIsOff) {
  Options off;
  play(R"(
    open c
    send c stream A price 5000
    accept b box
    expect b X-Trace-Id: A
    expect b body
    absent b Accept
    send b ok 202
    news A box started
    news A box done {"result":"plain"}
    expect c Content-Length: 5
    expect c plain
  )",
       off);
}

TEST(Store, EventsGoToTheStreamOfTheirRequestWithExpiry) {
  play(R"(
    accept r redis
    open c progress
    wait store_writes 0
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect r XADD\r\n$19\r\nkeelflow:progress:A\r\n
    expect r \r\n1-0\r\n
    expect r started\r\n
    expect r PEXPIRE\r\n$19\r\nkeelflow:progress:A\r\n$6\r\n600000\r\n
    send r $3\r\n1-0\r\n:1\r\n
    wait store_writes 2
    news A box done {"result":"sold"}
    expect r \r\n2-0\r\n
    expect r done\r\n$4\r\ndata\r\n$4\r\nsold\r\n
    expect c event: done
  )",
       with(true));
}

TEST(Store, AnotherNodeReplaysAfterTheLastEventAndFollowsToTheEnd) {
  play(R"(
    accept r redis
    open c progress
    send c GET /progress/A HTTP/1.1\r\nAccept: text/event-stream\r\nLast-Event-ID: 1\r\n\r\n
    expect r XRANGE\r\n$19\r\nkeelflow:progress:A\r\n$3\r\n1-0\r\n
    send r *2\r\n*2\r\n$3\r\n1-0\r\n*4\r\n$4\r\ntype\r\n$7\r\nstarted\r\n$4\r\ndata\r\n$2\r\n{}\r\n
    send r *2\r\n$3\r\n2-0\r\n*4\r\n$4\r\ntype\r\n$8\r\nprogress\r\n$4\r\ndata\r\n$3\r\n{1}\r\n
    expect c id: 2\nevent: progress\ndata: {1}\n\n
    expect r XRANGE
    expect r 2-0
    send r *1\r\n*2\r\n$3\r\n3-0\r\n*4\r\n$4\r\ntype\r\n$4\r\ndone\r\n$4\r\ndata\r\n$4\r\nsold\r\n
    expect c id: 3\nevent: done\ndata: sold\n\n
    expect c 0\r\n\r\n
    # who has the final event already is told that there is no more, and who asks for what never was, so too
    send c GET /progress/A HTTP/1.1\r\nAccept: text/event-stream\r\nLast-Event-ID: 3\r\n\r\n
    expect r 3-0
    send r *1\r\n*2\r\n$3\r\n3-0\r\n*4\r\n$4\r\ntype\r\n$4\r\ndone\r\n$4\r\ndata\r\n$4\r\nsold\r\n
    expect c HTTP/1.1 204
    send c GET /progress/Z HTTP/1.1\r\nAccept: text/event-stream\r\n\r\n
    expect r XRANGE
    send r *0\r\n
    expect c HTTP/1.1 404
  )",
       with(true));
}

// Guards against foreign data: a request whose ID is open at another node wrote its events into
// that request's stream, and who followed the first got the second's result.
TEST(Store, ARunWhoseIdIsTakenWritesNothingIntoTheOtherRunsStream) {
  play(R"(
    accept r redis
    open c progress
    wait store_writes 0
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect r XADD\r\n$19\r\nkeelflow:progress:A\r\n
    expect r PEXPIRE\r\n$19\r\nkeelflow:progress:A\r\n$6\r\n600000\r\n
    news A box running {"share":0.5}
    news A box done {"result":"sold"}
    expect c event: done
    wait events_sent 3
    absent r XADD
    send r -ERR The ID specified in XADD is equal or smaller than the target stream top item\r\n:1\r\n
    expect r XRANGE\r\n$19\r\nkeelflow:progress:A\r\n$3\r\n1-0\r\n
    absent r XADD
    send r *1\r\n*2\r\n$3\r\n1-0\r\n*4\r\n$4\r\ntype\r\n$7\r\nstarted\r\n$3\r\nrun\r\n$5\r\nother\r\n
    expect r XADD\r\n$21\r\nkeelflow:progress:A:2\r\n
    expect r \r\n1-0\r\n
    expect r PEXPIRE
    send r $3\r\n1-0\r\n:1\r\n
    expect r XADD\r\n$21\r\nkeelflow:progress:A:2\r\n
    expect r \r\n2-0\r\n
    expect r progress\r\n
    expect r XADD\r\n$21\r\nkeelflow:progress:A:2\r\n
    expect r \r\n3-0\r\n
    expect r done\r\n$4\r\ndata\r\n$4\r\nsold\r\n
    wait store_ids_taken 1
  )",
       with(true));
}

// Guards against events without a stream: the store is lost before it has answered the first one.
TEST(Store, ARunWhoseFirstEventWasLostClaimsItsStreamWithTheNext) {
  play(R"(
    accept r redis
    open c progress
    wait store_writes 0
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect r \r\n1-0\r\n
    close r
    accept r redis
    news A box running {"share":0.5}
    expect r XADD\r\n$19\r\nkeelflow:progress:A\r\n
    expect r \r\n1-0\r\n
    expect r started\r\n
    expect r PEXPIRE
    absent r XADD
    send r $3\r\n1-0\r\n:1\r\n
    expect r XADD\r\n$19\r\nkeelflow:progress:A\r\n
    expect r \r\n2-0\r\n
    expect r progress\r\n
  )",
       with(true));
}

// Guards against a replay that changes over to another request under the same ID.
TEST(Store, AReplayStaysWithTheFirstRunUnlessThatHasReleasedTheId) {
  play(R"(
    accept r redis
    open c progress
    send c GET /progress/A HTTP/1.1\r\nAccept: text/event-stream\r\n\r\n
    expect r XRANGE\r\n$19\r\nkeelflow:progress:A\r\n
    send r *1\r\n*2\r\n$3\r\n1-0\r\n*4\r\n$4\r\ntype\r\n$7\r\nstarted\r\n$4\r\ndata\r\n$2\r\n{}\r\n
    expect c id: 1\nevent: started
    expect r XRANGE\r\n$19\r\nkeelflow:progress:A\r\n
    send r *1\r\n*2\r\n$3\r\n2-0\r\n*4\r\n$4\r\ntype\r\n$4\r\ndone\r\n$4\r\ndata\r\n$4\r\nsold\r\n
    expect c event: done\ndata: sold\n\n
    expect c 0\r\n\r\n
    # the client of the first run had left; a second one has begun under its ID
    send c GET /progress/B HTTP/1.1\r\nAccept: text/event-stream\r\n\r\n
    expect r XRANGE\r\n$19\r\nkeelflow:progress:B\r\n
    send r *1\r\n*2\r\n$3\r\n1-0\r\n*4\r\n$4\r\ntype\r\n$9\r\ncancelled\r\n$4\r\ndata\r\n$2\r\n{}\r\n
    expect r XRANGE\r\n$21\r\nkeelflow:progress:B:2\r\n
    send r *1\r\n*2\r\n$3\r\n1-0\r\n*4\r\n$4\r\ntype\r\n$7\r\nstarted\r\n$4\r\ndata\r\n$2\r\n{}\r\n
    expect r XRANGE\r\n$21\r\nkeelflow:progress:B:2\r\n
    send r *1\r\n*2\r\n$3\r\n1-0\r\n*4\r\n$4\r\ntype\r\n$4\r\ndone\r\n$4\r\ndata\r\n$4\r\nkept\r\n
    expect c event: done\ndata: kept\n\n
    expect c 0\r\n\r\n
    # a stream cannot be named directly
    send c GET /progress/B:2 HTTP/1.1\r\nAccept: text/event-stream\r\n\r\n
    expect c HTTP/1.1 404
  )",
       with(true));
}

// Guards against a follower that waits without end: the store has forgotten the stream.
TEST(Store, AReplayEndsWhenTheStoreHasForgottenItsStream) {
  std::string nothing_is_found;
  for (int look = 0; look < 6; ++look)
    nothing_is_found += "expect r XRANGE\nsend r *0\\r\\n\n";
  play(R"(
    accept r redis
    open c progress
    send c GET /progress/A HTTP/1.1\r\nAccept: text/event-stream\r\n\r\n
    expect r XRANGE
    send r *1\r\n*2\r\n$3\r\n1-0\r\n*4\r\n$4\r\ntype\r\n$7\r\nstarted\r\n$4\r\ndata\r\n$2\r\n{}\r\n
    expect c event: started
  )" + nothing_is_found +
           "closed c\nwait replays 1\nabsent r XRANGE",
       with(true));
}

TEST(Store, AStoreThatIsSilentOrDownDoesNotStallServingAndIsCounted) {
  play(R"(
    accept r redis
    open c progress
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect c event: started
    expect r XADD
    # it says nothing: after a second it counts as down
    closed r
    wait store_faults 1+
    stop redis
    news A box done {"result":"sold"}
    expect c event: done\ndata: sold\n\n
    send c GET /progress/A HTTP/1.1\r\nAccept: text/event-stream\r\n\r\n
    expect c HTTP/1.1 503
    expect c Retry-After: 1
    wait answers_served 1
  )",
       with(true));
}

}  // namespace
}  // namespace keelflow::test
