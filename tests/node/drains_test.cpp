// Draining endpoints get no new requests, whatever the outcome of the calls that bring the list.
// Faults between one process and discovery; lab/experiments/ci-drains.sexp has those of several
// processes.
// See docs/design/drains.md.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/config.h"
#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

const std::string kHead = R"(HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n)";
const std::string kDraining =
    R"({"host":"box","dial":"127.0.0.1:9","site":"east","class":"fast","block":1,"health":"draining"})";

void play(const std::string& text, const Options& options) {
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

std::string delta(const std::string& name, int version, const std::string& hosts) {
  return "send " + name + " chunk {\"seq\":" + std::to_string(version) +
         ",\"whole\":false,\"hosts\":[" + hosts + "]}\\n\n";
}

// The request times out: nothing is sent to an endpoint that drains.
const std::string kNothingGoesToBox = R"(
    open c
    send c job A price 700
    expect c HTTP/1.1 503
    wait attempts_started 0
    nobody box
)";

class Drains : public testing::TestWithParam<const char*> {
 protected:
  static Options mode() { return with(std::string(R"({"registry_mode":")") + GetParam() + "\"}"); }
};
INSTANTIATE_TEST_SUITE_P(Lists, Drains, testing::Values("ask", "push"),
                         [](const auto& mode) { return std::string(mode.param); });

// Each of the calls fails in another way and does not end by itself; the fifth brings the drain.
TEST_P(Drains, FourCallsThatHangDoNotDelayADrainBeyondItsDeadline) {
  play(R"(
    close disco
    clock
    accept one disco
    send one HTTP/1.1 503 Down\r\nTransfer-Encoding: chunked\r\n\r\n
    accept two disco
    accept three disco
    send three )" +
           kHead + R"(
    accept four disco
    send four )" +
           kHead + R"(
    send four chunk {"seq":3,"whole":false,
    accept five disco
    expect five since=2 HTTP
    send five )" +
           kHead + "\n" + delta("five", 3, kDraining) + R"(
    wait lists_received 7+
    under 6
  )" + kNothingGoesToBox,
       mode());
}

TEST_P(Drains, ARejectionCountsBeforeItsBodyEnds) {
  play(R"(
    close disco
    accept one disco
    expect one since=2 HTTP
    clock
    send one HTTP/1.1 503 Down\r\nTransfer-Encoding: chunked\r\n\r\n
    closed one
    under 0.5
  )",
       mode());
}

// The well-formed entries are applied at once, whatever the others are; the watch is reopened for
// those that could not be decoded.
TEST_P(Drains, OneMalformedEntryDoesNotKeepTheOthersFromTakingEffect) {
  for (const char* bad :
       {R"({"host":"odd","dial":"nowhere","health":"ready"})", R"({"host":"odd","health":null})",
        R"({"health":"ready"})", "null", "7",
        R"({"host":"odd","dial":"127.0.0.1:9","site":5,"health":"ready"})",
        R"({"host":"odd","dial":"127.0.0.1:9","born_ms":"now","health":"ready"})"})
    for (bool first : {true, false})
      play("clock\n" + delta("disco", 3, first ? bad + ("," + kDraining) : kDraining + "," + bad) +
               R"(
        wait list_entries_malformed 1
        closed disco
        accept disco disco
        expect disco since=2 HTTP
        under 3
      )" + kNothingGoesToBox,
           mode());
}

TEST_P(Drains, ADrainingEntryNeedsNoAddress) {
  for (const char* dial : {"", R"("dial":null,)", R"("dial":"",)"})
    play(delta("disco", 3,
               std::string(R"({"host":"box",)") + dial +
                   R"("site":"east","class":"fast","block":1,"health":"draining"})") +
             "wait lists_received 3\nwait watches_broken 0\n" + kNothingGoesToBox,
         mode());
}

TEST_P(Drains, AnUnknownHealthIsNotReady) {
  play(
      delta(
          "disco", 3,
          R"({"host":"box","dial":"127.0.0.1:9","site":"east","class":"fast","block":1,"health":"resting"})") +
          "wait lists_received 3\n" + kNothingGoesToBox,
      mode());
}

// Changes that are older than the requested version come from a discovery that has restarted its
// count.
TEST_P(Drains, AFirstAnswerOlderThanTheRequestedVersionIsNotStale) {
  play(R"(
    close disco
    accept disco disco
    expect disco since=2 HTTP
    send disco )" +
           kHead + "\n" + delta("disco", 1, kDraining) + R"(
    closed disco
    accept disco disco
    expect disco GET /discovery/hosts?follow=1 HTTP
    send disco )" +
           kHead + R"(
    send disco chunk {"seq":1,"whole":true,"hosts":[)" +
           kDraining + R"(]}\n
    wait lists_received 5
  )" + kNothingGoesToBox,
       mode());
}

// All that was sent meanwhile can be read when the process continues, the list last.
TEST_P(Drains, AfterAPauseTheListIsReadBeforeAnythingIsSent) {
  constexpr int kClients = 600;  // more than one iteration of the event loop handles
  std::string open, ask;
  for (int i = 0; i < kClients; ++i) {
    open += "open c" + std::to_string(i) + "\n";
    ask += "send c" + std::to_string(i) + " job J" + std::to_string(i) + " price 900\n";
  }
  Options options = mode();
  options.sockets = 2048;
  play(open + "wait connections_accepted 600+\nsignal STOP\n" + ask + delta("disco", 3, kDraining) +
           R"(
    signal CONT
    wait requests_taken 600
    wait attempts_started 0
    nobody box
  )",
       options);
}

TEST_P(Drains, ADrainIsAppliedAfterAReloadThatMovesDiscovery) {
  for (const char* old_one : {"", "close disco\nstop disco\n"})
    play("config disco2\n" + std::string(old_one) + R"(
      clock
      signal HUP
      accept one disco2
      accept disco disco2
      expect disco since=2 HTTP
      send disco )" +
             kHead + "\n" + delta("disco", 3, kDraining) + R"(
      wait lists_received 3+
      wait reloads 1
      under 4
    )" + kNothingGoesToBox,
         mode());
}

TEST_P(Drains, AWatchGoesOnAfterSigterm) {
  play(R"(
    open c
    signal TERM
    wait drain_stage 1+
  )" + delta("disco", 3, kDraining) +
           R"(
    wait lists_received 3
    send c job A price 700
    expect c HTTP/1.1 503
    nobody box
  )",
       mode());
}

// Idle clients use up the descriptors while discovery is unavailable.
TEST_P(Drains, WithoutFreeDescriptorsTheNodeReceivesTheListAndServes) {
  std::string idle;
  for (int i = 0; i < 150; ++i)
    idle += "open idle" + std::to_string(i) + "\n";
  Options options = mode();
  options.sockets = 128;
  play(
      "close disco\nstop disco\n" + idle + R"(
    wait watches_broken 2+
    listen disco
    clock
    accept disco disco
    under 3
    expect disco since=2 HTTP
    send disco )" +
          kHead + "\n" +
          delta(
              "disco", 3,
              kDraining +
                  R"(,{"host":"box2","dial":"@box2","site":"east","class":"fast","block":1,"health":"ready"})") +
          R"(
    wait lists_received 5+
    open up
    send up GET /up HTTP/1.1\r\n\r\n
    expect up HTTP/1.1 200
    open c
    send c job A price 5000
    accept b box2
    expect b X-Trace-Id: A
    send b ok 202
    news A box2 done {"result":"served"}
    expect c served
    nobody box
  )",
      options);
}

// A restarted process has the list that the platform stored for it, of any age. It does not even
// connect to an endpoint before discovery has answered; it serves by that list where nobody listens
// at discovery's address.
TEST_P(Drains, ARestartedProcessPollsBeforeItSendsByACachedList) {
  Options options = mode();
  options.known =
      R"({"seq":2,"whole":true,"hosts":[{"host":"box","dial":"@box","site":"east","class":"fast","block":1,"health":"ready"}]})";
  Scenario with_discovery(options);
  with_discovery.play(R"(
    open c
    send c job A price 700
    accept disco disco
    expect disco since=2 HTTP
    send disco )" + kHead +
                      "\n" + delta("disco", 3, kDraining) + R"(
    expect c HTTP/1.1 503
    nobody box
  )");
  if (HasFailure())
    return;
  Scenario without_discovery(options);
  without_discovery.play(R"(
    open c
    clock
    stop disco
    send c job A price 9000
    accept b box
    expect b X-Trace-Id: A
    under 3
  )");
}

// A larger configured fleet makes a process call later, and never makes it send earlier.
TEST_P(Drains, ARestartedProcessSendsNothingBeforeTheListAtAnyFleetSize) {
  for (const char* processes : {"5", "300", "900"}) {
    Options options = with(std::string(R"({"balancers":)") + processes + R"(,"registry_mode":")" +
                           GetParam() + "\"}");
    options.known =
        R"({"seq":2,"whole":true,"hosts":[{"host":"box","dial":"@box","site":"east","class":"fast","block":1,"health":"ready"}]})";
    SCOPED_TRACE(processes);
    Scenario scenario(options);
    scenario.play(R"(
      open c
      send c job A price 1900
      expect c HTTP/1.1 503
      nobody box
    )");
    if (HasFailure())
      return;
  }
}

// A heartbeat proves nothing about the list before its call has brought one.
TEST_P(Drains, AHeartbeatBeforeTheListProvesNothing) {
  Options options = mode();
  options.known =
      R"({"seq":2,"whole":true,"hosts":[{"host":"box","dial":"@box","site":"east","class":"fast","block":1,"health":"ready"}]})";
  Scenario scenario(options);
  scenario.play(R"(
    accept disco disco
    expect disco since=2 HTTP
    open c
    send c job A price 5000
    send disco )" +
                kHead + R"(
    send disco chunk \n
    log heartbeat-before-list
    wait attempts_started 0
    nobody box
    send disco chunk {"seq":2,"whole":false,"hosts":[]}\n
    accept b box
    expect b X-Trace-Id: A
  )");
}

// An agent that is slow can answer: a call is not replaced by later ones before that.
TEST(Drain, AnAnswerOfTheAgentThatTakesThreeSecondsIsApplied) {
  std::string others;
  for (int i = 2; i <= 12; ++i)
    others += "accept call" + std::to_string(i) + " disco\n";
  play("close disco\naccept one disco\n" + others + "send one " + kHead + "\n" +
           delta("one", 3, kDraining) + R"(
    wait lists_received 3+
    log watch-established
  )" + kNothingGoesToBox,
       with(R"({"registry_mode":"push"})"));
}

// A request that waits for a list also waits for that of the discovery that a reload names.
TEST_P(Drains, AWaitForTheListEndsWhenTheDiscoveryOfAReloadAnswers) {
  Options options = mode();
  options.known =
      R"({"seq":2,"whole":true,"hosts":[{"host":"box","dial":"@box","site":"east","class":"fast","block":1,"health":"ready"}]})";
  Scenario scenario(options);
  scenario.play(R"(
    accept disco disco
    open c
    send c job A price 9000
    wait requests_taken 1
    config disco2
    signal HUP
    accept disco disco2
    expect disco since=2 HTTP
    nobody box
    send disco )" +
                kHead + R"(
    send disco chunk {"seq":2,"whole":false,"hosts":[]}\n
    accept b box
    expect b X-Trace-Id: A
  )");
}

// A process that may not send yet reports itself as not ready.
TEST_P(Drains, AProcessIsNotUpBeforeItHasAList) {
  Scenario scenario(mode());
  scenario.play(R"(
    accept disco disco
    open up
    send up GET /up HTTP/1.1\r\n\r\n
    expect up HTTP/1.1 503
    send disco )" +
                kHead + R"(
    list whole box:ready
    wait lists_received 2
    send up GET /up HTTP/1.1\r\n\r\n
    expect up HTTP/1.1 200
  )");
}

// A wait until the deadline ends with a rejection, for non-idempotent requests too: nothing of
// them was ever sent.
TEST_P(Drains, ARequestThatWaitedForAListUntilItsDeadlineIsRejected) {
  Options options = mode();
  options.known =
      R"({"seq":2,"whole":true,"hosts":[{"host":"box","dial":"@box","site":"east","class":"fast","block":1,"health":"ready"}]})";
  Scenario scenario(options);
  scenario.play(R"(
    open c
    send c job A sale 600
    expect c HTTP/1.1 503
    expect c Retry-After
    nobody box
  )");
}

// An override applies to attempts whose connection is not established yet, as a drain in the list
// does.
TEST(Drain, NothingIsWrittenToAnEndpointDisabledBeforeItsConnectionIsEstablished) {
  Options options = with(R"({"limits":{"connect_timeout_ms":8000}})");
  options.operators = true;
  play(R"(
    full box
    open c
    send c job A price 3000
    wait attempts_started 1
    ask DISABLE box => done
    free box
    accept late box
    closed late
    absent late POST
  )",
       options);
}

// A UDP socket on a free loopback port.
class Datagrams {
 public:
  Datagrams() : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size), 0);
    port_ = ntohs(address.sin_port);
  }
  ~Datagrams() { release(); }
  Datagrams(const Datagrams&) = delete;
  Datagrams& operator=(const Datagrams&) = delete;

  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Leaves the port to another process.
  void release() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }
  void send(int port, const std::string& bytes) const {
    sockaddr_in to = loopback(port);
    sendto(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&to), sizeof to);
  }

 private:
  static sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  int fd_;
  int port_ = 0;
};

// Guards against sends to draining endpoints after discovery's return: rejections of a discovery
// that has too many callers, and peers that have no watch either, prove no outage.
TEST(Drain, RejectedCallsAndPeersWithoutAWatchDoNotExtendTheLease) {
  const std::string kPeerHasNoWatch("\x57\x01\x03", 3);
  Datagrams node, peer;
  Options options =
      with(R"({"registry_mode":"ask","balancers":2,"limits":{"peer_messages":true}})");
  options.config = R"({"peer_listen":")" + node.address() + R"(","peers":[")" + node.address() +
                   "\",\"" + peer.address() + "\"]}";
  int node_port = node.port();
  node.release();
  Scenario scenario(options);
  scenario.play(kStart);
  scenario.play(R"(
    close disco
    clock
    accept call0 disco
  )");
  // Each call is rejected once the next has begun, so after a wait of over a second.
  for (int call = 0; call < 7 && !testing::Test::HasFailure(); ++call) {
    peer.send(node_port, kPeerHasNoWatch);
    std::string number = std::to_string(call), next = std::to_string(call + 1);
    scenario.play("accept call" + next + " disco\nsend call" + number +
                  " HTTP/1.1 503 Busy\\r\\nContent-Length: 0\\r\\n\\r\\n\nclosed call" + number);
    peer.send(node_port, kPeerHasNoWatch);
  }
  if (!testing::Test::HasFailure())
    scenario.play(kNothingGoesToBox + "wait list_leases_expired 1");
}

TEST(Drain, AKnownListWithAMalformedEntryIsABadFile) {
  auto config = [](const std::string& hosts) {
    return decode_config(
        R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"balancers":1,"rank":0,"locality":0,"dcs":["e"],"kinds":["k"],
      "classes":[{"name":"p","effect":"safe","target_ms":5.0}],"granularity_ms":4.0,"registry_mode":"ask","limits":{"try_limit":3},
      "safety":{"cold_from":0.14,"cold_ms":23000.0,"drain_grace_ms":500.0,"fall_ms":2000.0,"fall_multiple":4.0,"grace_to_answer_ms":16.0}},
      "known":{"seq":1,"whole":true,"hosts":)" +
        hosts + "}}");
  };
  EXPECT_EQ(config(R"([{"host":"a","dial":"127.0.0.1:9","health":"ready"}])").known.hosts.size(),
            1u);
  EXPECT_THROW(config(R"([{"host":"a","dial":"127.0.0.1:9","health":"ready"},null])"), ConfigError);
}

}  // namespace
}  // namespace keelflow::test
