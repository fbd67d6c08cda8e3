// The platform's protocol, seen from outside: the real program, stand-in clients, endpoints and
// discovery.
#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

void play(const std::string& text, const Options& options = {}) {
  Scenario scenario(options);
  scenario.play(kStart);
  if (!testing::Test::HasFailure())
    scenario.play(text);
}

TEST(Platform, WhereListsArePushedTheWatchIsKeptOpenThoughTheModuleNeverAsks) {
  Options options;
  options.settings = R"({"registry_mode": "push"})";
  play(R"(
    close disco
    accept disco disco
    expect disco GET /discovery/hosts?follow=1&since=2 HTTP
    send disco HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
    list box:draining
    wait lists_received 4
    open c
    send c job A price 700
    expect c HTTP/1.1 503
    wait attempts_started 0
  )",
       options);
}

TEST(Platform, AJobIsSentOnUnchangedAndItsResultIsTheAnswer) {
  play(R"(
    open c
    send c GET /up HTTP/1.1\r\n\r\n
    expect c HTTP/1.1 200
    expect c up\n
    send c job A price 5000
    accept b box
    expect b POST /price/x?y=1 HTTP/1.1
    expect b X-Trace-Id: A\r\n
    expect b Idempotency-Key: k-A
    expect b X-Expires-In-Ms: 
    expect b \r\n\r\nbody
    send b ok 202
    news A box started
    news A box running {"share":0.5}
    news A box done {"result":"forty-two"}
    expect c HTTP/1.1 200
    expect c \r\n\r\nforty-two
    # the connection of the first job is used again, on both sides
    send c job B price 5000
    expect b X-Trace-Id: B
    send b ok 202
    news B box done {"result":"next"}
    expect c \r\n\r\nnext
    wait answers_served 2
    wait connections_opened 1
  )");
}

TEST(Platform, CallBacksThatAreEarlyStrangeStaleOrRepeatedChangeNothing) {
  play(R"(
    news nobody box done {"result":"x"}
    open c
    send c job A sale 5000
    accept b box
    expect b body
    news A other done {"result":"forged"}
    news A box started
    news A box started
    news A box done {"result":"early"}
    expect c \r\n\r\nearly
    news A box done {"result":"again"}
    news A box lost
    wait news_unmatched 4
    wait answers_served 1
    absent c HTTP/1.1
  )");
}

TEST(Platform, AMalformedCallBackIsAnsweredAndHarmless) {
  play(R"(
    open n
    send n POST /_jobs/news HTTP/1.1\r\nContent-Length: 5\r\n\r\n{"id"
    expect n HTTP/1.1 400
    send n POST /_jobs/news HTTP/1.1\r\nContent-Length: 29\r\n\r\n{"id":1,"from":2,"state":true}
    expect n HTTP/1.1 400
    wait requests_rejected 2
  )");
}

TEST(Platform, AResetAfterTheLastByteEndsAnUnsafeJobAndRepeatsASafeOne) {
  play(R"(
    open u
    send u job U sale 5000
    accept b box
    expect b body
    reset b
    expect u HTTP/1.1 502
    wait attempts_reset 1
    wait attempts_started 1
    open s
    send s job S price 5000
    accept b2 box
    expect b2 body
    reset b2
    accept b3 box
    expect b3 X-Trace-Id: S
    expect b3 body
    send b3 ok 202
    news S box done {"result":"second"}
    expect s second
    wait attempts_started 3
  )");
}

TEST(Platform, AnEndpointThatTurnsAwayOrHandsBackIsAskedAgainEvenForUnsafeWork) {
  play(R"(
    open c
    send c job A sale 8000
    accept b box
    expect b body
    send b ok 503 X-Never-Ran: 1\r\n
    accept b2 box
    expect b2 X-Trace-Id: A
    expect b2 body
    send b2 ok 202
    news A box returned
    accept b3 box
    expect b3 X-Trace-Id: A
    expect b3 body
    send b3 ok 202
    news A box done {"result":"third"}
    expect c third
    wait attempts_turned_away 2
  )");
}

TEST(Platform, AnErrorWithoutTheWordThatItNeverRanMayHaveRun) {
  play(R"(
    open c
    send c job A sale 5000
    accept b box
    expect b body
    send b ok 503
    expect c HTTP/1.1 502
    wait attempts_error 1
  )");
}

TEST(Platform, ARefusedConnectionNeverRanAndIsRefusedAtOnceWithAHint) {
  play(R"(
    stop box
    open c
    send c job A sale 10000
    expect c HTTP/1.1 503
    expect c Retry-After: 0.
    wait attempts_never_connected 3
    wait attempts_reset 0
  )");
}

TEST(Platform, AClientThatGoesStopsTheWork) {
  play(R"(
    open c
    send c job A price 5000
    accept b box
    expect b body
    send b ok 202
    news A box started
    close c
    expect b DELETE /jobs/A HTTP/1.1
    send b ok 200
    wait clients_gone 1
    wait attempts_cancelled 1
    # before the 202, the end of the connection is what tells the endpoint; the name is told as well
    open d
    send d job B price 5000
    expect b X-Trace-Id: B
    expect b body
    reset d
    closed b
    accept b2 box
    expect b2 DELETE /jobs/B
    send b2 ok 404
    wait attempts_cancelled 2
  )");
}

TEST(Platform, AClientThatSendsTooMuchAheadIsNotReadFurtherAndItsGoingIsStillNoticed) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b ok 202
    # answered after the 202 was read: only then does a DELETE come on the same connection
    news A box started
    fill c 4000 GET /up HTTP/1.1\r\n\r\n
    reset c
    expect b DELETE /jobs/A
    send b ok 200
    wait clients_gone 1
    wait attempts_cancelled 1
  )");
}

TEST(Platform, AJobWithoutAnAnswerIsFailedByItsDeadlineAndCalledBack) {
  play(R"(
    open c
    send c job A sale 1000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect c HTTP/1.1 504
    expect b DELETE /jobs/A
    send b ok 200
    wait attempts_cancelled 1
  )");
}

TEST(Platform, AnIdTwiceAtOnceIsOneJob) {
  play(R"(
    open c
    send c job A price 5000
    accept b box
    expect b body
    open d
    send d job A price 5000
    expect d HTTP/1.1 400
    send b ok 202
    news A box done {"result":"one"}
    expect c one
    wait attempts_started 1
  )");
}

TEST(Platform, MalformedInputIsAnsweredForWhatItIs) {
  play(R"(
    open a
    send a GARBAGE\r\n\r\n
    expect a HTTP/1.1 400
    closed a
    open b
    send b job A nosuch 100
    expect b HTTP/1.1 404
    send b GET /price/x HTTP/1.1\r\n\r\n
    expect b HTTP/1.1 405
    send b POST /price/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n
    expect b HTTP/1.1 400
    send b job A price soon
    expect b HTTP/1.1 400
    send b job ../A price 100
    expect b HTTP/1.1 400
    open c
    send c POST /price/x HTTP/1.1\r\nContent-Length: 65537\r\n\r\n
    expect c HTTP/1.1 413
    closed c
    open d
    send d GET /up HTTP/1.1\r\nX: 
    fill d 20000 y
    expect d HTTP/1.1 431
    closed d
    open e
    send e POST /price/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n
    expect e HTTP/1.1 400
    open f
    send f POST /price/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n
    send f 10001\r\n
    expect f HTTP/1.1 413
    wait requests_rejected 10
    wait requests_taken 0
  )");
}

TEST(Platform, PipelinedAndPiecewiseRequestsAreAnsweredInOrder) {
  play(R"(
    open c
    send c GET /up HTT
    send c P/1.1\r\n\r\nGET /nosuch HTTP/1.1\r\n\r\nGET /up HTTP/1.1\r\n\r\n
    expect c HTTP/1.1 200
    expect c HTTP/1.1 404
    expect c HTTP/1.1 200
  )");
}

TEST(Platform, ATermSignalEndsTheProgramWhenAllIsAnswered) {
  play(R"(
    open idle
    send idle GET /up HTTP/1.1\r\n\r\n
    expect idle up\n
    open c
    send c job A price 5000
    accept b box
    expect b body
    send b ok 202
    news A box started
    signal TERM
    wait drain_stage 1
    # the front still sends for a while, and clients have nowhere else to go: what comes is served, on what is open
    open late
    send late job B price 5000
    expect b body
    send b ok 202
    news B box done {"result":"too"}
    expect late \r\n\r\ntoo
    wait drain_stage 2
    send late job C price 900000
    expect b X-Trace-Id: C
    expect b body
    send b ok 202
    closed idle
    news A box done {"result":"first"}
    expect c Connection: close
    expect c first
    closed c
    # nothing is left for the kill: the deadline of what came late was cut short
    expect late HTTP/1.1 503
    closed late
    expect b DELETE /jobs/C
    send b ok 200
    exit 0
  )");
}

TEST(Platform, OutOfDescriptorsItStillServesWhatItTook) {
  Options options;
  options.sockets = 64;
  std::string many;
  for (int i = 0; i < 80; ++i)
    many += "open idle" + std::to_string(i) + "\n";
  play(many + R"(
    open c
    send c job A price 8000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"served"}
    expect c served
  )",
       options);
}

TEST(Platform, AboveItsShareOfConnectionsJobsAreRefusedAndCallBacksStillTaken) {
  Options options;
  options.sockets = 64;  // 20 connections from outside, and a reserve of 3
  std::string more;
  for (int i = 0; i < 19; ++i) {
    std::string name = std::to_string(i);
    more += "open c" + name + "\nsend c" + name + " GET /up HTTP/1.1\\r\\n\\r\\n\nexpect c" + name +
            " up\n";
  }
  for (int i = 0; i < 19; ++i) {
    std::string name = std::to_string(i);
    more += "send c" + name + " job C" + name + " price 15000\n";
  }
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b ok 202
  )" + more +
           R"(
    wait requests_taken 20
    open d
    send d job B price 15000
    expect d HTTP/1.1 503
    expect d Retry-After: 1
    closed d
    close d
    news A box done {"result":"served"}
    expect c served
  )",
       options);
}

TEST(Platform, WhenDescriptorsAreShortClientsThatDoNotGetOnMakeRoomForJobs) {
  Options options;
  options.sockets = 64;
  std::string slow;
  for (int i = 0; i < 20; ++i) {
    std::string name = "slow" + std::to_string(i);
    slow +=
        "open " + name + "\n" + (i % 2 ? "" : "send " + name + " POST /price/x HTTP/1.1\\r\\n\n");
  }
  play(slow + R"(
    wait connections_shed 1+
    open c
    send c job A price 5000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"served"}
    expect c served
  )",
       options);
}

TEST(Platform, SilentClientsAndHalfRequestsAreEndedWithinSeconds) {
  play(R"(
    open silent
    open half
    send half POST /price/x HTTP/1.1\r\nX-Tr
    open body
    send body POST /price/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nbod
    closed silent 6
    expect half HTTP/1.1 408
    closed half 6
    expect body HTTP/1.1 408
    closed body 6
    # a client that has been served may stay
    open c
    send c GET /up HTTP/1.1\r\n\r\n
    expect c up\n
    open later
    closed later
    send c GET /up HTTP/1.1\r\n\r\n
    expect c up\n
  )");
}

TEST(Platform, AClientThatGoesOnSendingAfterItsErrorIsCutOffSoon) {
  play(R"(
    open c
    send c POST /price/x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n
    expect c HTTP/1.1 413
    # what it sends is dropped, up to a point: it can not go on for as long as it likes
    fill c 8000000 0123456789
    closed c 6
    open d
    send d GET /up HTTP/1.1\r\n\r\n
    expect d up\n
  )");
}

TEST(Platform, AnIdIsNotTakenAgainWhileAnAttemptIsBeingCalledOff) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    close c
    expect b DELETE /jobs/A
    # the box has not answered: a second job of that name would be taken for the first
    open d
    send d job A price 5000
    expect d HTTP/1.1 400
    send b ok 200
    wait attempts_cancelled 1
    send d job A price 5000
    expect b X-Trace-Id: A
    expect b body
    send b ok 202
    news A box done {"result":"new"}
    expect d new
  )");
}

TEST(Platform, AConnectionThatTheEndpointClosedIsNotUsedAgain) {
  play(R"(
    open c
    send c job A price 5000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"a"}
    expect c \r\n\r\na
    close b
    send c job B price 5000
    accept b2 box
    expect b2 X-Trace-Id: B
    send b2 ok 202
    news B box done {"result":"b"}
    expect c \r\n\r\nb
    wait attempts_reset 0
  )");
}

TEST(Platform, WorkThatMustNotRunTwiceGoesOnNewConnectionsAndNeverRanWhereOneIsResetAtOnce) {
  play(R"(
    open c
    send c job A sale 8000
    accept b box
    expect b POST
    # the last byte is still to come
    reset b
    accept b2 box
    expect b2 body
    send b2 ok 202
    news A box done {"result":"a"}
    expect c \r\n\r\na
    wait attempts_never_connected 1
    wait attempts_reset 0
    # the connection is kept, for work that may be repeated
    send c job B sale 8000
    accept b3 box
    expect b3 body
    send b3 ok 202
    news B box done {"result":"b"}
    expect c \r\n\r\nb
    send c job C price 8000
    expect b3 X-Trace-Id: C
  )");
}

TEST(Platform, WhereKeptConnectionsBreakTheyAreKeptForLess) {
  play(R"(
    open c
    send c job A price 8000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"a"}
    expect c \r\n\r\na
    send c job B price 8000
    expect b X-Trace-Id: B
    reset b
    accept b2 box
    expect b2 body
    send b2 ok 202
    news B box done {"result":"b"}
    expect c \r\n\r\nb
    wait connections_worn 1
    # long before the 3 s that it would have been kept
    closed b2 2
  )");
}

// A DELETE that nobody heard gives nothing up: the endpoint has the whole job and may run it yet.
TEST(Platform, AnAcceptedJobThatCannotBeCalledOffGoesNowhereElse) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b ok 202
    list box2:ready
    expect b DELETE /jobs/A
    closed b
    accept d1 box
    expect d1 DELETE /jobs/A
    closed d1
    accept d2 box
    expect d2 DELETE /jobs/A
    closed d2
    accept d3 box
    expect d3 DELETE /jobs/A
    expect c HTTP/1.1 503
    wait give_ups_unheard 1
    wait attempts_timed_out 1
    wait attempts_started 1
  )");
}

TEST(Platform, ASilentEndpointHoldsUpTheNextAttemptOnlyShortly) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    # nothing comes back. With another box there the job is called back: the connection ends, the name is told once,
    # and when that is not answered either, the other box has the job
    list box2:ready
    closed b
    accept del box
    expect del DELETE /jobs/A
    accept b2 box2
    expect b2 X-Trace-Id: A
    send b2 ok 202
    news A box2 done {"result":"a"}
    expect c \r\n\r\na
    wait attempts_cancelled 1
  )");
}

TEST(Discovery, PiecesOfLinesChangesAndANewAddressAreTaken) {
  play(R"(
    send disco 1\r\n\n\r\n
    send disco 8\r\n{ "seq":
    send disco \r\n
    send disco 19\r\n2,"whole":false,"hosts":[\r\n
    send disco 3\r\n]}\n\r\n
    wait lists_received 3
    # the same box at another address: work goes there, and no old connection is used for it
    open c
    send c job A price 5000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"a"}
    expect c \r\n\r\na
    list box:ready:box2
    wait lists_received 4
    send c job B price 5000
    accept b2 box2
    expect b2 X-Trace-Id: B
    send b2 ok 202
    news B box done {"result":"b"}
    expect c \r\n\r\nb
  )");
}

TEST(Discovery, NothingNewGoesToABoxThatDrainsOrIsOmittedFromAWholeList) {
  play(R"(
    list box:draining box2:ready
    wait lists_received 3
    open c
    send c job A price 5000
    accept b2 box2
    expect b2 X-Trace-Id: A
    send b2 ok 202
    news A box2 done {"result":"a"}
    expect c \r\n\r\na
    list whole box:ready
    wait lists_received 4
    send c job B price 5000
    accept b box
    expect b X-Trace-Id: B
    send b ok 202
    news B box done {"result":"b"}
    expect c \r\n\r\nb
  )");
}

TEST(Discovery, ABrokenOrGarbledWatchIsResumedFromTheLastVersion) {
  play(R"(
    close disco
    accept disco disco
    expect disco GET /discovery/hosts?follow=1&since=2 HTTP
    send disco HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n
    accept disco disco
    expect disco since=2 HTTP
    send disco HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
    list box2:ready
    send disco chunk {"seq":"no list"}\n
    accept disco disco
    expect disco since=3 HTTP
    wait watches_broken 3
  )");
}

TEST(Discovery, AWatchThatFallsSilentIsGivenUp) {
  play(R"(
    closed disco
    accept disco disco
    expect disco since=2 HTTP
    wait watches_broken 1
  )");
}

TEST(Reload, TheNodeMovesToTheNewDiscoveryAtOnceAndKeepsItsListUntilThatAnswers) {
  play(R"(
    config disco2
    signal HUP
    closed disco
    accept new disco2
    expect new GET /discovery/hosts?follow=1&since=2 HTTP
    # nothing has been told yet: what was known is served from
    open c
    send c job A price 5000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"a"}
    expect c \r\n\r\na
    wait lists_received 2
    # the new one has the say from its first line on, and a broken watch is resumed there
    send new HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
    send new chunk {"seq":9,"whole":false,"hosts":[]}\n
    wait lists_received 3
    close new
    accept new disco2
    expect new since=9 HTTP
    wait reloads 1
  )");
}

TEST(Reload, TwiceInARowTheLastDiscoveryCountsAndTermStillEndsInOrder) {
  play(R"(
    config disco2
    signal HUP
    accept second disco2
    expect second since=2 HTTP
    config disco3
    signal HUP
    closed second
    accept third disco3
    expect third since=2 HTTP
    open c
    send c job A price 5000
    accept b box
    expect b body
    send b ok 202
    signal TERM
    signal HUP
    news A box done {"result":"a"}
    expect c \r\n\r\na
    exit 0
  )");
}

TEST(Reload, ABadFileChangesNothing) {
  play(R"(
    config {"discovery":
    signal HUP
    wait reloads_failed 1
    list box2:ready
    wait lists_received 3
    # and neither does a file that names the same discovery
    config disco
    signal HUP
    wait reloads 1
    list box2:gone
    wait lists_received 4
    wait watches_opened 1
  )");
}

}  // namespace
}  // namespace keelflow::test
