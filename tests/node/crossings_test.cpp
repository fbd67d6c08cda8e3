// Moments in which two events cross, forced in either order. docs/design/crossings.md names each of
// them.
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <sstream>

#include "config/retune.h"
#include "inbound/platform_front.h"
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

Options with(const std::string& settings) {
  Options options;
  options.settings = settings;
  return options;
}

const std::string kHead = R"(HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n)";
const std::string kDraining =
    R"({"host":"box","dial":"127.0.0.1:9","site":"east","class":"fast","block":1,"health":"draining"})";
std::string chunk(const std::string& json) {
  return "send disco chunk " + json + "\n";
}
std::string delta(int version, const std::string& hosts) {
  return chunk("{\"seq\":" + std::to_string(version) + ",\"whole\":false,\"hosts\":[" + hosts +
               "]}\\n");
}

// Nothing is sent to a box that drains: the request waits in vain.
const std::string kNothingGoesToBox = R"(
    open c
    send c job A price 700
    expect c HTTP/1.1 503
    wait attempts_started 0
    nobody box
)";

// ---- lists and watches ----

class Crossings : public testing::TestWithParam<const char*> {};  // lists asked for, and pushed
INSTANTIATE_TEST_SUITE_P(Lists, Crossings, testing::Values("ask", "push"),
                         [](const auto& mode) { return std::string(mode.param); });
Options mode(const char* name) {
  return with(std::string(R"({"registry_mode":")") + name + "\"}");
}

TEST_P(Crossings, AnIndentedListIsTakenInPiecesOfOneByte) {
  std::string text;
  for (char c : std::string("{\n  \"seq\": 3,\n  \"note\": \"}{ \\\" ]\",\n  \"whole\": false,\n\n "
                            " \"hosts\": [\n    ") +
                    kDraining + "\n  ]\n}\n")
    text += chunk(c == '\n' ? "\\n" : c == ' ' ? "\\s" : c == '\\' ? "\\\\" : std::string(1, c));
  play(text + "wait lists_received 3\nwait watches_broken 0\n" + kNothingGoesToBox,
       mode(GetParam()));
}

TEST_P(Crossings, SeveralListsInOnePieceAreTakenWithWhatStandsBetweenThem) {
  play(
      chunk(
          R"({"seq":3,"whole":false,"hosts":[]}\n\n  {"seq":4,"whole":false,"hosts":[]}{"seq":5,"whole":false,\n"hosts":[)" +
          kDraining + R"(]}\n{"seq":6,)") +
          "wait lists_received 5\n" + chunk(R"("whole":false,"hosts":[]})") +
          "wait lists_received 6\nwait watches_broken 0\n" + kNothingGoesToBox,
      mode(GetParam()));
}

TEST_P(Crossings, AListThatDoesNotEndIsNoWatchThoughEmptyLinesFollow) {
  play("clock\n" + chunk(R"({"seq":3,"whole":false,)") + R"(
    alive disco
    under 3
    accept disco disco
    expect disco since=2 HTTP
  )",
       mode(GetParam()));
}

TEST_P(Crossings, WhatIsNoListEndsTheWatchAtOnce) {
  for (const char* bad : {"nonsense\\n", "[]\\n", "{}\\n",
                          R"({"seq":3,"whole":false,"hosts":[{"host":"box","health":"ready"}]}\n)"})
    play("clock\n" + chunk(bad) + R"(
      closed disco
      under 3
      accept disco disco
      expect disco since=2 HTTP
    )",
         mode(GetParam()));
}

// What the first watch misses counts as told 6 s after its last word.
TEST_P(Crossings, AWatchThatFallsSilentTwiceIsHeardAgainInTime) {
  for (const std::string& second : {std::string(), "send disco " + kHead + "\n"})
    play(R"(
      clock
      accept disco disco
      expect disco since=2 HTTP
    )" + second +
             R"(
      accept third disco
      expect third since=2 HTTP
      send third )" +
             kHead + "\n" + R"(
      send third chunk {"seq":3,"whole":false,"hosts":[)" +
             kDraining + R"(]}\n
      wait lists_received 5
      under 6
      closed disco
    )" + kNothingGoesToBox,
         mode(GetParam()));
}

TEST_P(Crossings, AWatchSilentFromItsStartAndOneThatIsResetAreOpenedAnew) {
  for (const char* how : {"reset", "close"})
    play(std::string(how) + R"( disco
      accept disco disco
      expect disco since=2 HTTP
      accept disco2nd disco
      expect disco2nd since=2 HTTP
      send disco2nd )" +
             kHead + "\n" + R"(
      send disco2nd chunk {"seq":3,"whole":false,"hosts":[)" +
             kDraining + R"(]}
      wait lists_received 5
    )" + kNothingGoesToBox,
         mode(GetParam()));
}

TEST_P(Crossings, AVersionThatGoesBackBringsNoExecutorBack) {
  const std::string ready =
      R"({"host":"box","dial":"127.0.0.1:9","site":"east","class":"fast","block":1,"health":"ready"})";
  // of changes what has been overtaken is passed over
  play(delta(5, kDraining) + delta(4, ready) + delta(6, "") +
           "wait lists_received 4\nwait watches_broken 0\n" + kNothingGoesToBox,
       mode(GetParam()));
  // a whole list may be that of a discovery that counts anew: it is asked for all it has, and then
  // believed
  play(delta(5, kDraining) + chunk(R"({"seq":1,"whole":true,"hosts":[)" + ready + "]}\\n") + R"(
      closed disco
      accept disco disco
      expect disco GET /discovery/hosts?follow=1 HTTP
  )" + kNothingGoesToBox +
           "send disco " + kHead + R"(
      list whole box:ready
      open d
      send d job B price 5000
      accept b box
      expect b X-Trace-Id: B
  )",
       mode(GetParam()));
}

// What the agent has counts as told from the moment of its return.
TEST(Crossing, AnAgentThatIsBackIsAskedAtOnceHoweverLongItWasAway) {
  play(R"(
    close disco
    stop disco
    wait watches_broken 9+
    listen disco
    clock
    accept disco disco
    under 0.6
  )",
       mode("push"));
}

TEST(Crossing, HalfAListIsNotContinuedByTheDiscoveryThatSighupNames) {
  for (const char* order : {"signal HUP\nwait reloads 1\n", ""})
    play(chunk(R"({"seq":3,"whole":false,"hosts":[)") + "config disco2\n" + order +
         (*order ? "" : "close disco\nsignal HUP\nwait reloads 1\n") + R"(
      accept disco disco2
      expect disco since=2 HTTP
      send disco )" +
         kHead + "\n" + delta(1, kDraining) + "wait lists_received 3+\n" + kNothingGoesToBox);
}

// ---- a drain, and an attempt whose connection comes up late ----

TEST(Crossing, NothingIsWrittenToAnExecutorThatBeganToDrainBeforeItsConnectionCameUp) {
  play(R"(
    full box
    open c
    send c job A price 15000
    wait attempts_started 1
    list box:draining
    wait lists_received 3
    free box
    accept late box
    closed late
    absent late POST
    list box2:ready
    accept b box2
    expect b X-Trace-Id: A
    expect b body
    wait attempts_never_connected 1
    wait attempts_reset 0
  )",
       with(R"({"limits":{"connect_timeout_ms":8000}})"));
}

TEST(Crossing, AConnectionThatComesUpBeforeTheDrainCarriesItsRequest) {
  play(R"(
    full box
    open c
    send c job A price 15000
    wait attempts_started 1
    free box
    accept b box
    expect b X-Trace-Id: A
    expect b body
    list box:draining
    send b ok 202
    news A box done {"result":"drained"}
    expect c drained
  )",
       with(R"({"limits":{"connect_timeout_ms":8000}})"));
}

// ---- keyed work, and a connection that comes up late ----

// With lists pushed the node asks its agent again every 100 ms: so many tries are over a second,
// and the window is past.
const std::string kOverASecond = "close disco\nstop disco\nwait watches_broken 16+\n";
Options window(const char* ms) {
  return with(
      std::string(R"({"registry_mode":"push","limits":{"connect_timeout_ms":15000},"classes":[
    {"name":"price","effect":"safe","target_ms":500.0},
    {"name":"hold","effect":"keyed","key_scope":"zone","target_ms":500.0,"dedup_window_ms":)") +
      ms + R"(},
    {"name":"sale","effect":"unsafe","target_ms":500.0}]})");
}
const std::string kSecondConnecting = R"(
    open c
    send c job A hold 15000
    accept b box
    expect b body
    full box
    reset b
    wait attempts_started 2
)";

TEST(Crossing, KeyedWorkWhoseConnectionComesUpAfterItsWindowIsNotWritten) {
  play(kSecondConnecting + kOverASecond + R"(
    free box
    accept late box
    closed late
    absent late POST
    expect c HTTP/1.1 502
    wait attempts_never_connected 1
    wait attempts_started 2
    nobody box
  )",
       window("1000.0"));
}

TEST(Crossing, KeyedWorkWhoseConnectionComesUpLateAndWithinItsWindowIsWritten) {
  play(kSecondConnecting + kOverASecond + R"(
    free box
    accept late box
    expect late X-Trace-Id: A
    expect late body
    send late ok 202
    news A box done {"result":"in time"}
    expect c in time
  )",
       window("15000.0"));
}

// ---- clients that leave ----

// None of those that left goes to the box when it comes; the one that stayed does.
const std::string kOnlyB = R"(
    list box:ready
    open d
    send d job B price 5000
    accept b box
    expect b X-Trace-Id: B
    expect b body
    wait attempts_started 1
    nobody box
)";
const std::string kHeld =
    "list box:draining\nwait lists_received 3\nopen c\nsend c job A price 15000\nwait "
    "requests_taken 1\n";

TEST(Crossing, WhoLeavesWhileItsRequestIsHeldIsNotSentOn) {
  for (const char* how :
       {"close c\n", "reset c\n", "fill c 4000 GET /up HTTP/1.1\\r\\n\\r\\n\nclose c\n",
        "fill c 4000 GET /up HTTP/1.1\\r\\n\\r\\n\nreset c\n"})
    play(kHeld + how + "wait clients_gone 1\n" + kOnlyB);
}

TEST(Crossing, WhoLeavesAfterSighupOrSigtermIsNotSentOn) {
  play(kHeld + "signal HUP\nwait reloads 1\nclose c\nwait clients_gone 1\n" + kOnlyB);
  play(kHeld +
       "signal TERM\nwait drain_stage 1\nclose c\nwait clients_gone 1\nlist box:ready\nexit "
       "0\nnobody box\n");
}

TEST(Crossing, WhoLeavesBetweenTwoAttemptsIsNotSentOnAgain) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    list box:draining
    wait lists_received 3
    send b ok 503 X-Never-Ran: 1\r\nConnection: close\r\n
    wait attempts_turned_away 1
    close c
    wait clients_gone 1
    list box:ready
    open d
    send d job B price 5000
    accept b2 box
    expect b2 X-Trace-Id: B
    wait attempts_started 2
  )");
}

TEST(Crossing, WhoLeavesWhileAPlugInLooksAtItsRequestOrHoldsItIsNotSentOn) {
  // A plug-in that spins is cut off after its budget of processor time, and its request goes on:
  // the client leaves before.
  for (const char* source :
       {"-- (budget (time 100ms))\nfunction on_request(r) while r.id == 'A' do end end",
        "function on_request(r) if r.id == 'A' then return {hold = 1} end end"}) {
    Options options;
    options.plugins = {{"p", source}};
    options.progress = "(heartbeat 300ms)";
    bool holds = std::string(source).find("hold") != std::string::npos;
    play(std::string("until p ready true\nopen c\nsend c job A price 15000\n") +
             (holds ? "wait plugin_held 1\n" : "wait plugin_asked 1\n") + R"(
      close c
      wait clients_gone 1
      open d
      send d job B price 5000
      accept b box
      expect b X-Trace-Id: B
      # what it was asked about counts as not answered now
      host p KILL
      wait plugin_hosts_ended 1
      wait attempts_started 1
      nobody box
    )",
         options);
  }
}

TEST(Crossing, WhoLeavesWhileItsLastByteIsHeldBackIsNotSentOnOrCalledOff) {
  for (const char* how : {"close", "reset"})
    play(std::string("open c\nsend c job A sale 15000\naccept b box\nexpect b POST\n") + how + R"( c
      closed b
      wait clients_gone 1
      wait attempts_cancelled 1
      wait attempts_started 1
    )");
}

TEST(Crossing, WhoLeavesBeforeOrAfterItsRequestIsRoutedAgainIsNotSentOn) {
  const std::string routed =
      "own (admin (socket \"admin\")) (pool none (host \"box2\")) (pool old) (route all (to (old "
      "1)))\nsignal HUP\nwait reloads 1\n";
  const std::string gone = "close c\nwait clients_gone 1\n";
  Options options;
  options.own =
      R"((pool new (host "box2")) (pool old) (admin (socket "admin")) (route all (to (new 50) (old 50))))";
  for (bool before : {true, false})
    play(
        "list box:draining box2:draining\nopen c\nsend c job A price 15000\nwait requests_taken "
        "1\n" +
            (before ? gone + routed : routed + gone) + R"(
      list box:ready box2:ready
      open d
      send d job B price 5000
      accept b box
      expect b X-Trace-Id: B
      wait attempts_started 1
      nobody box
      nobody box2
    )",
        options);
}

// Also where the settings bar calling attempts off: nothing has been asked of the endpoint yet.
TEST(Crossing, WhoLeavesWhileAConnectionComesUpIsNotSentOn) {
  for (const char* cancel : {"true", "false"})
    play(R"(
      full box
      open c
      send c job A price 15000
      wait attempts_started 1
      close c
      wait clients_gone 1
      wait attempts_cancelled 1
      free box
      open d
      send d job B price 5000
      accept b box
      expect b X-Trace-Id: B
      nobody box
    )",
         with(std::string(R"({"limits":{"connect_timeout_ms":8000,"cancel":)") + cancel + "}}"));
}

TEST(Crossing, WhereAttemptsAreNotCalledOffOneThatIsOutIsLeftAlone) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    close c
    wait clients_gone 1
    news A box done {"result":"for nobody"}
    wait attempts_served 1
    absent b DELETE
  )",
       with(R"({"limits":{"cancel":false}})"));
}

// The loop is held up; then the endpoint's return and the clients' going are in one turn, whichever
// came first.
TEST(Crossing, AHundredWhoLeaveInOneTurnAreNotSentOn) {
  for (const char* how : {"close", "reset"})
    for (bool first : {true, false}) {
      std::string leave = std::string("leave x 100 ") + how + "\n", back = "list box:ready\n";
      play(
          "list box:draining\nwait lists_received 3\ncrowd x 100 price 15000\nwait requests_taken "
          "100\nsignal STOP\n" +
          (first ? leave + back : back + leave) + R"(
        signal CONT
        wait clients_gone 100
        wait lists_received 4
        open d
        send d job B price 5000
        accept b box
        expect b X-Trace-Id: B
        wait attempts_started 1
        nobody box
      )");
    }
}

TEST(Crossing, WhoHasLeftBeforeItsRequestIsReadIsNotSentOn) {
  for (const char* how : {"close", "reset"})
    play(std::string(R"(
      open c
      send c GET /up HTTP/1.1\r\n\r\n
      expect c up
      signal STOP
      send c job A price 15000
      )") +
         how + R"( c
      signal CONT
      open d
      send d job B price 5000
      accept b box
      expect b X-Trace-Id: B
      wait attempts_started 1
      nobody box
    )");
}

// ---- what endpoints answer ----

TEST(Crossing, AnAnswerThatDoesNotEndEndsItsAttempt) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b HTTP/1.1 500 no\r\nContent-Length: 9\r\n\r\nabc
    accept b2 box
    expect b2 X-Trace-Id: A
    expect b2 body
    send b2 HTTP/1.1 202 yes\r\nTransfer-Encoding: chunked\r\n\r\n
    closed b2
    news A box done {"result":"second"}
    expect c second
    wait attempts_reset 1
  )");
}

TEST(Crossing, HalfAnAnswerProvesNotThatWorkNeverRan) {
  for (const char* end : {"", "close b\n", "reset b\n"})
    play(std::string(R"(
      open c
      send c job A sale 15000
      accept b box
      expect b body
      send b HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 9\r\n\r\nabc
      )") +
         end + R"(
      expect c HTTP/1.1 502
      wait attempts_started 1
      wait attempts_turned_away 0
    )");
}

// Guards against a second attempt beside one that an endpoint has accepted: its 202 was cut short,
// which the node took for the end of the job.
TEST(Crossing, AJobWhose202IsCutShortIsWaitedFor) {
  for (const char* end : {"close b\n", "reset b\n"})
    for (const char* job : {"price", "sale"})
      play(std::string("open c\nsend c job A ") + job + R"( 15000
        accept b box
        expect b body
        send b HTTP/1.1 202 Accepted\r\nContent-Length: 6\r\n\r\ntake
        )" +
           end + R"(
        news A box started
        nobody box
        news A box done {"result":"first"}
        expect c first
        wait attempts_started 1
      )");
}

// Guards against a second attempt beside a job that may run: the node could not read the response,
// or a callback had reported the start before the connection broke. The job is cancelled by name
// first.
TEST(Crossing, AJobThatMayRunWhenItsConnectionBreaksIsCalledOffBeforeTheNextAttempt) {
  for (const char* seen :
       {"send b HTTP/1.1 2\nreset b\n", "send b HTTP/1.1 202 Accepted\\r\\nContent-Le\nclose b\n",
        "send b HTTP/1.1 202 Accepted\\r\\nno header\\r\\n\\r\\n\nclosed b\n",
        "send b HTTP/1.1 202 Accepted\\r\\nContent-Length: x\\r\\n\\r\\n\nclosed b\n",
        "news A box started\nclose b\n",
        "news A box running {\"share\":0.1}\nsend b HTTP/1.1 500 no\\r\\nContent-Length: "
        "9\\r\\n\\r\\na\nreset b\n"})
    play(std::string(R"(
      open c
      send c job A price 15000
      accept b box
      expect b body
      )") +
         seen + R"(
      accept d box
      expect d DELETE /jobs/A
      wait attempts_started 1
      send d ok 200
      expect d POST
      expect d X-Trace-Id: A
      wait attempts_started 2
    )");
}

// Guards against a further attempt where the cancellation of a job that may run does not arrive.
TEST(Crossing, AJobThatMayRunAndCannotBeCalledOffGoesNowhereElse) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    news A box started
    close b
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
    wait attempts_started 1
  )");
}

// Guards against a repeat of unsafe work that an endpoint says never ran after it reported its
// start.
TEST(Crossing, WorkThatStartedIsNotRepeatedThoughItsAnswerSaysThatItNeverRan) {
  play(R"(
    open c
    send c job A sale 15000
    accept b box
    expect b body
    news A box started
    send b ok 503 X-Never-Ran: 1\r\n
    expect b DELETE /jobs/A
    send b ok 200
    expect c HTTP/1.1 502
    wait attempts_started 1
  )");
}

// A call-back names no attempt and comes again until it is answered.
TEST(Crossing, AnEndToldOfTheAttemptBeforeAtTheSameExecutorEndsOnlyWhatIsCalledOff) {
  for (const char* class_index : {"sale", "price"}) {
    bool unsafe = std::string(class_index) == "sale";
    play(std::string("open c\nsend c job A ") + class_index + R"( 15000
      accept b box
      expect b body
      send b ok 202
      news A box started
      news A box returned
      )" +
         (unsafe ? "accept b box\n" : "") + R"(
      expect b X-Trace-Id: A
      expect b body
      send b ok 202
      news A box started
      news A box returned
      expect b DELETE /jobs/A
      wait attempts_started 2
      send b ok 200
      )" +
         (unsafe ? "expect c HTTP/1.1 502\nwait attempts_started 2\n"
                 : "wait attempts_started 3\n"));
  }
}

TEST(Crossing, AnEndToldOfAnAttemptThatIsTheFirstThereIsBelievedAtOnce) {
  play(R"(
    open c
    send c job A sale 15000
    accept b box
    expect b body
    send b ok 503 X-Never-Ran: 1\r\n
    accept b2 box
    expect b2 body
    send b2 ok 202
    news A box returned
    accept b3 box
    expect b3 X-Trace-Id: A
    wait attempts_turned_away 2
  )");
}

// On a connection that was used just before, the answer may be the second one to that request.
TEST(Crossing, ASecondAnswerDoesNotEndTheNextRequestBeforeThatIsCalledOff) {
  for (const char* second : {"ok 503 X-Never-Ran: 1\\r\\n", "ok 500"})
    play(std::string(R"(
      open c
      send c job A price 15000
      accept b box
      expect b body
      send b ok 202
      news A box started
      news A box done {"result":"first"}
      expect c first
      send c job B price 15000
      expect b X-Trace-Id: B
      expect b body
      send b )") +
         second + R"(
      accept b2 box
      expect b2 DELETE /jobs/B
      wait attempts_started 2
      wait answers_doubted 1
      send b2 ok 200
      expect b2 POST
      expect b2 X-Trace-Id: B
      wait attempts_started 3
    )");
}

TEST(Crossing, ASecondAnswerThatComesBetweenTwoRequestsEndsItsConnection) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    send b ok 500
    closed b
    news A box done {"result":"first"}
    expect c first
    send c job B price 15000
    accept b2 box
    expect b2 X-Trace-Id: B
  )");
}

// ---- the end ----

// With deadlines under 3 s SIGKILL comes at the longest of them and 0.7 s.
TEST(Crossing, WhatComesLateIsAnsweredBeforeTheKillThatFollowsFromTheDeadlines) {
  const std::string classes = R"({"classes":[
    {"name":"price","effect":"safe","target_ms":500.0,"give_up_ms":900.0},
    {"name":"hold","effect":"keyed","key_scope":"zone","dedup_window_ms":5000.0,"target_ms":500.0,"give_up_ms":1500.0},
    {"name":"sale","effect":"unsafe","target_ms":500.0,"give_up_ms":1100.0}]})";
  play(R"(
    open late
    send late GET /up HTTP/1.1\r\n\r\n
    expect late up
    signal TERM
    clock
    wait drain_stage 2
    send late job C price 900000
    accept b box
    expect b body
    send b ok 202
    expect late HTTP/1.1 503
    under 2.2
  )",
       with(classes));
}

// Its end is told, and the connection for its DELETE comes up, in one turn of the loop.
TEST(Crossing, AnAttemptThatHasEndedWritesNothingOnAConnectionThatComesUpInThatTurn) {
  const std::string body = R"({"id":"A","from":"box","state":"failed"})";
  play(R"(
    open n
    open c
    send c job A price 1500
    accept b box
    expect b body
    send b ok 202 Connection: close\r\n
    close b
    full box
    expect c HTTP/1.1 5
    # answered in a later turn than the one that wrote the 504 and began the connection for the DELETE
    send c GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n
    expect c HTTP/1.1 200
    signal STOP
    send n POST /_jobs/news HTTP/1.1\r\nContent-Length: )" +
           std::to_string(body.size()) + "\\r\\n\\r\\n" + body + R"(
    free box
    accept late box
    signal CONT
    expect n HTTP/1.1 200
    closed late
    absent late POST
  )",
       with(R"({"limits":{"connect_timeout_ms":8000}})"));
}

TEST(Crossing, AnExecutorThatHangsUnderARequestHoldsItsClientNoLongerThanItsDeadline) {
  for (const char* half : {"", "send b HTTP/1.1 50\n"})
    play(std::string("open c\nsend c job A sale 700\nclock\naccept b box\nexpect b body\n") + half +
         R"(
      expect c HTTP/1.1 504
      under 1.2
      closed b
      wait attempts_cancelled 1
      wait attempts_started 1
    )");
}

TEST(Crossing, WhoLeavesWhileAnUpgradeIsUnderWayIsNotSentOnAndHoldsNobodyUp) {
  for (bool before : {true, false}) {
    Options options;
    options.operators = options.inherit = true;
    const std::string gone = "close c\nelder-ask STATS => node.pending:0|g\n", upgrade = R"(
      upgrade
      accept younger disco
      expect younger GET /discovery/hosts?follow=1 HTTP
      send younger HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
      send younger chunk {"seq":9,"whole":true,"hosts":[]}
      ask READY => done
    )";
    play(
        "list box:draining\nwait lists_received 3\nopen c\nsend c job A price 15000\nwait "
        "requests_taken 1\n" +
            (before ? "signal STOP\nclose c\nsignal CONT\n" + upgrade : upgrade + gone) + R"(
      list box:ready
      clock
      elder TERM
      elder exit
      under 3
      nobody box
    )",
        options);
  }
}

// Whether it had taken anything or not; its elder, not told to end, serves on.
TEST(Crossing, AYoungerThatIsToldToEndDoesNotWaitForItsElder) {
  Options options;
  options.operators = options.inherit = true;
  play(R"(
    upgrade
    signal TERM
    exit 0
    elder-ask READY => done
    open c
    send c job A price 5000
    accept b box
    expect b X-Trace-Id: A
    send b ok 202
    news A box done {"result":"by the elder"}
    expect c by the elder
  )",
       options);
}

TEST(Crossing, SigtermTwiceAndSighupAfterItChangeNothing) {
  play(R"(
    open c
    send c job A price 15000
    accept b box
    expect b body
    send b ok 202
    signal TERM
    wait drain_stage 1
    signal TERM
    config disco2
    signal HUP
    wait reloads 1
    accept disco disco2
    news A box done {"result":"still"}
    expect c still
    exit 0
  )");
}

// What is in the kernel when the node looks, and has not been read: the Server by itself, so that
// the moment is the test's.
class Echo final : public Front {
 public:
  std::unique_ptr<Exchange> on_request(InboundConnection& connection,
                                       HttpRequest request) override {
    connection.respond(200, "for " + request.head.target);
    ++served;
    return nullptr;
  }
  int served = 0;
};

struct End {
  net::EventLoop loop;
  Counters counters;
  Echo front;
  Server server{loop, front, 64, counters};
  net::Address to;
  End() {
    server.listen(*net::parse_address("127.0.0.1:0"));
    to = server.address();
  }

  int client() {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    return connect(fd, reinterpret_cast<const sockaddr*>(&to.in), sizeof to.in) == 0 ? fd : -1;
  }
  static void ask(int fd) {
    std::string text = "GET /x HTTP/1.1\r\n\r\n";
    ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  void run_until(const std::function<bool()>& done) {
    auto late = loop.now() + std::chrono::seconds(10);
    std::function<void()> look = [&] {
      done() || loop.now() > late ? loop.stop()
                                  : void(loop.at(loop.now() + std::chrono::milliseconds(1), look));
    };
    look();
    loop.run();
    ASSERT_TRUE(done());
  }
  static std::string answer(int fd) {
    std::string all;
    char piece[512];
    for (ssize_t got; (got = recv(fd, piece, sizeof piece, 0)) > 0;)
      all.append(piece, static_cast<std::size_t>(got));
    return all;
  }
};

TEST(Crossing, WhatTheKernelHasAcceptedIsServedBeforeTheEndAndWhoComesLaterIsToldSo) {
  End end;
  end.server.drain();
  int queued = end.client();
  ASSERT_GE(queued, 0);
  End::ask(queued);
  end.server.take_the_last();
  ASSERT_EQ(end.server.connections(), 1u);
  EXPECT_LT(end.client(), 0) << "nobody serves whoever comes now";
  end.run_until([&] { return end.front.served == 1; });
  EXPECT_NE(End::answer(queued).find("for /x"), std::string::npos);
  close(queued);
}

TEST(Crossing, AnIdleConnectionWithARequestThatIsNotReadYetIsNotClosed) {
  End end;
  int fd = end.client();
  End::ask(fd);
  end.run_until([&] { return end.front.served == 1; });
  end.server.drain();
  End::ask(fd);  // it is in the kernel; the loop has not seen it
  end.server.close_idle();
  ASSERT_EQ(end.server.connections(), 1u);
  end.run_until([&] { return end.front.served == 2; });
  end.server.close_idle();  // the other order: nothing is unread, and it is closed
  EXPECT_EQ(end.server.connections(), 0u);
  std::string all = End::answer(fd);
  EXPECT_NE(all.rfind("Connection: close"), std::string::npos);
  close(fd);
}

// Both come due while something else holds the loop: the request is sent, and then the connection
// has waited long enough.
TEST(Crossing, ARequestThatComesAsItsRestingConnectionRunsOutOfTimeIsServed) {
  End end;
  int fd = end.client();
  end.run_until([&] { return end.server.connections() == 1; });
  auto began = end.loop.now();
  end.loop.at(began + std::chrono::milliseconds(2400), [&] {
    while (end.loop.now() < began + std::chrono::milliseconds(2600))
      continue;
  });
  end.loop.at(began + std::chrono::milliseconds(2410), [&] { End::ask(fd); });
  end.run_until([&] { return end.front.served == 1 || end.server.connections() == 0; });
  EXPECT_EQ(end.front.served, 1);
  close(fd);
}

TEST(Crossing, ARestingConnectionThatNeverAsksIsEnded) {
  End end;
  int fd = end.client();
  end.run_until([&] { return end.server.connections() == 1; });
  end.run_until([&] { return end.server.connections() == 0; });
  EXPECT_EQ(End::answer(fd), "");
  close(fd);
}

// ---- customers and settings ----

// Its pools have come and gone too often, or its log cannot be opened: of the rest nothing is taken
// either.
TEST(Crossing, AFileWhoseLastPartIsRefusedChangesNothing) {
  std::string many, more;
  for (int i = 0; i < 15; ++i)
    many += " (pool p" + std::to_string(i) + " (host \"x\"))";
  for (int i = 0; i < 3; ++i)
    more += " (pool q" + std::to_string(i) + " (host \"x\"))";
  const std::string admin = "own (admin (socket \"admin\"))",
                    rest = " (pool rest) (route all (to (rest 1)))\n";
  Options options;
  options.own = R"((admin (socket "admin")) (pool rest) (route all (to (rest 1))))";
  for (const auto& [bad, why] :
       {std::pair(more + rest, "too often"),
        {" (log (file \"/nowhere/at/all\")) (pool p0 (host \"x\")) (route all (to (p0 1)))\n",
         "nowhere"}})
    play(admin + many + rest + "signal HUP\nwait reloads 1\n" + admin + bad + R"(
      settings {"classes": [{"name": "late", "effect": "safe", "target_ms": 500.0, "value": 1.0}]}
      signal HUP
      wait reloads_failed 1
      log )" +
             why + R"(
      open c
      send c job A late 500
      expect c HTTP/1.1 404
      send c job B price 5000
      accept b box
      expect b X-Trace-Id: B
    )",
         options);
}

// A customer's requests that are held and out when it goes, comes back or changes places end as
// they came.
TEST(Crossing, CustomersThatChangeAtSighupWithRequestsHeldAndOutAreServed) {
  play(R"(
    open c
    send c POST /price HTTP/1.1\r\nX-Trace-Id: A\r\nX-Customer: river street\r\nX-Expires-In-Ms: 15000\r\nContent-Length: 1\r\n\r\na
    accept b box
    expect b X-Trace-Id: A
    send b ok 202
    news A box started
    list box:draining
    wait lists_received 3
    open d
    send d POST /price HTTP/1.1\r\nX-Trace-Id: B\r\nX-Customer: river street\r\nX-Expires-In-Ms: 15000\r\nContent-Length: 1\r\n\r\nb
    wait requests_taken 2
    settings {"tenants": [{"name": "oak", "quota_per_s": 5.0}]}
    signal HUP
    wait reloads 1
    settings {"tenants": [{"name": "pine", "quota_per_s": 1.0}, {"name": "river street", "quota_per_s": 3.0}, {"name": "oak", "quota_per_s": 5.0}]}
    signal HUP
    wait reloads 2
    news A box done {"result":"was out"}
    expect c was out
    list box:ready
    expect b X-Trace-Id: B
    send b ok 202
    news B box done {"result":"was held"}
    expect d was held
    send c POST /price HTTP/1.1\r\nX-Trace-Id: C\r\nX-Customer: pine\r\nX-Expires-In-Ms: 15000\r\nContent-Length: 1\r\n\r\nc
    expect b X-Trace-Id: C
    send b ok 202
    news C box done {"result":"new one"}
    expect c new one
    wait answers_served 3
    wait answers_failed 0
  )");
}

TEST(Crossing, ACustomerThatTheSettingsDoNotNameUsesUpNobodysShare) {
  Names names{.classes = {"price"}, .tenants = {"river street", "oak"}, .zones = {}, .kinds = {}};
  auto tenant = [&](const char* customer) {
    HttpRequest request;
    request.head.method = "POST";
    request.head.target = "/price";
    request.head.add("X-Trace-Id", "A");
    request.head.add("X-Expires-In-Ms", "500");
    if (*customer)
      request.head.add("X-Customer", customer);
    return std::get<Job>(decode_job(std::move(request), names)).tenant;
  };
  EXPECT_EQ(tenant("river street"), 0);
  EXPECT_EQ(tenant("oak"), 1);
  EXPECT_EQ(tenant("stranger"), -1);
  EXPECT_EQ(tenant("River Street"), -1);
  EXPECT_EQ(tenant(""), -1);
}

// Where customers change places at SIGHUP, each keeps its number, and its own share comes with it.
TEST(Crossing, CustomersThatComeGoAndChangePlacesKeepTheirOwnShares) {
  auto config = [](const std::string& tenants) {
    return decode_config(
        R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"balancers":1,"rank":0,"locality":0,"dcs":["e"],"kinds":["k"],
      "classes":[{"name":"p","effect":"safe","target_ms":5.0}],"granularity_ms":4.0,"registry_mode":"ask","limits":{"try_limit":3},
      "safety":{"cold_from":0.14,"cold_ms":23000.0,"drain_grace_ms":500.0,"fall_ms":2000.0,"fall_multiple":4.0,"grace_to_answer_ms":16.0},
      "tenants":)" +
        tenants + "}}");
  };
  auto none = [](int) {
    return false;
  };
  Config now = config(
      R"([{"name":"a","quota_per_s":1.0},{"name":"b","quota_per_s":2.0},{"name":"c","quota_per_s":3.0}])");
  Config next =
      retune(
          now,
          config(
              R"([{"name":"d","quota_per_s":40.0},{"name":"c","quota_per_s":30.0},{"name":"a","quota_per_s":10.0}])"),
          none)
          .config;
  EXPECT_EQ(next.names.tenants, (std::vector<std::string>{"a", "b", "c", "d"}));
  EXPECT_EQ(next.settings.tenant_quota, (std::vector<double>{10, 0, 30, 40}));
  Config back =
      retune(next, config(R"([{"name":"b","quota_per_s":7.0},{"name":"a","quota_per_s":1.0}])"),
             none)
          .config;
  EXPECT_EQ(back.names.tenants, (std::vector<std::string>{"a", "b", "c", "d"}));
  EXPECT_EQ(back.settings.tenant_quota, (std::vector<double>{1, 7, 0, 0}));
}

TEST(Crossing, NamesAndKeysDoNotBecomeOtherSettings) {
  std::string lines = flatten_settings(
      R"({"balancers":2,"x\nbalancers":9,"y=1\nbalancers":9,"a.b":1,"tenants":[{"name":"t=1\nbalancers=9\r","quota_per_s":1.0}]})");
  std::size_t at = 0, count = 0;
  for (std::istringstream in(lines); std::getline(in, lines); ++at)
    count += lines.starts_with("balancers=");
  EXPECT_EQ(count, 1u);
}

TEST(Crossing, TheLongestDeadlineIsThatOfAllClassesOrUnknown) {
  auto longest = [](const std::string& classes) {
    return decode_config(
               R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"balancers":1,"rank":0,"locality":0,"dcs":["e"],"kinds":["k"],
      "granularity_ms":4.0,"registry_mode":"ask","limits":{"try_limit":3},
      "safety":{"cold_from":0.14,"cold_ms":23000.0,"drain_grace_ms":500.0,"fall_ms":2000.0,"fall_multiple":4.0,"grace_to_answer_ms":16.0},
      "classes":)" +
               classes + "}}")
        .longest_deadline;
  };
  EXPECT_EQ(
      longest(
          R"([{"name":"p","effect":"safe","target_ms":5.0,"give_up_ms":900.0},{"name":"q","effect":"safe","target_ms":5.0,"give_up_ms":2800.0}])"),
      std::chrono::milliseconds(2800));
  EXPECT_EQ(
      longest(
          R"([{"name":"p","effect":"safe","target_ms":5.0,"give_up_ms":900.0},{"name":"q","effect":"safe","target_ms":5.0}])"),
      Duration::max());
}

}  // namespace
}  // namespace keelflow::test
