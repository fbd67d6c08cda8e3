// Pools, routes and moves in the real program: two stand-in boxes, each a pool of its own, moved by
// the command line.
#include <functional>

#include "routes/router.h"
#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

constexpr const char* kTwoBoxes = R"(
  accept disco disco
  expect disco GET /discovery/hosts?follow=1 HTTP
  send disco HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
  list whole box:ready box2:ready
  wait lists_received 2
)";

// Long times: nothing but the commands of a test moves anything.
const std::string kPools = R"((pool new (host "box2")) (pool old) (admin (socket "admin")) )";
const std::string kMove =
    R"((move m (route all) (from old) (to new) (steps 50 100) (least-time 10m) (most-time 1h)) )";
std::string route(const std::string& weights, const std::string& more = "") {
  return "(route all (to " + weights + ") " + more + ") ";
}

// An object whose point on the only route lies in that range.
std::string object_in(double low, double high) {
  for (std::uint64_t object = 1;; ++object) {
    routes::Query query;
    query.object = object;
    double point = routes::point_of(query, 0);
    char text[32];
    std::snprintf(text, sizeof text, "X-Object: %llx\\r\\n",
                  static_cast<unsigned long long>(object));
    if (point >= low && point < high)
      return text;
  }
}
const std::string kMoved = object_in(0, 0.5), kStays = object_in(0.5, 1);

std::string fill_in(std::string text) {
  for (const auto& [word, with] :
       {std::pair<std::string, std::string>{"MOVED", kMoved}, {"STAYS", kStays}})
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at))
      text.replace(at, word.size(), with);
  return text;
}

void play(const std::string& text, const std::string& own,
          const std::function<void(Scenario&)>& more = {}) {
  Options options;
  options.own = own;
  Scenario scenario(options);
  scenario.play(kTwoBoxes);
  if (!testing::Test::HasFailure())
    scenario.play(fill_in(text));
  if (!testing::Test::HasFailure() && more)
    more(scenario);
}

TEST(Moves, RequestsGoToTheirPoolByWeightAndByStep) {
  play(R"(
    open c
    send c job A sale 5000 MOVED
    accept b box
    expect b X-Trace-Id: A
    expect b body
    send b ok 202
    news A box done {"result":"one"}
    expect c one
    cli 0 move start m
    expect cli m: start
    send c job B sale 5000 MOVED
    accept b2 box2
    expect b2 X-Trace-Id: B
    expect b2 body
    send b2 ok 202
    news B box2 done {"result":"two"}
    expect c two
    send c job C price 5000 STAYS
    expect b X-Trace-Id: C
    expect b body
    send b ok 202
    news C box done {"result":"three"}
    expect c three
    cli 0 move status m
    expect cli running
    expect cli 1/2
    cli 0 status --json
    expect cli "chosen": 1
  )",
       kPools + route("(old 100) (new 0)") + kMove);
}

TEST(Moves, ASaleInFlightDuringAnUndoIsAnsweredAndRunsOnce) {
  play(R"(
    cli 0 move start m
    open c
    send c job A sale 5000 MOVED
    accept b2 box2
    expect b2 body
    send b2 ok 202
    news A box2 started
    open d
    send d job B sale 5000 MOVED
    accept b3 box2
    expect b3 body
    cli 0 move undo m
    cli 1 move undo m
    expect cli undone already
    # its box answers after the undo; the other's connection breaks when it may have run: it is not sent elsewhere
    news A box2 done {"result":"sold"}
    expect c sold
    reset b3
    expect d HTTP/1.1 502
    wait attempts_started 2
    # and what comes now goes to the old pool
    send c job C sale 5000 MOVED
    accept b box
    expect b X-Trace-Id: C
    expect b body
    send b ok 202
    news C box done {"result":"old"}
    expect c old
    cli 1 move start m
    expect cli cools off
  )",
       kPools + route("(old 100) (new 0)") + kMove);
}

// Three requests for a pool that takes two: the third is held. On an undo it goes to the old pool
// only if the route says so, and those that a box has stay where they are.
std::string held_while(const std::string& what, const std::string& then) {
  return R"(
    open c
    send c job A price 15000 MOVED
    accept b2 box2
    expect b2 body
    send b2 ok 202
    open d
    send d job B sale 15000 MOVED
    accept b3 box2
    expect b3 body
    send b3 ok 202
    open e
    send e job C sale 15000 MOVED
    wait requests_taken 3
  )" + what +
         then + R"(
    news A box2 done {"result":"a"}
    news B box2 done {"result":"b"}
    expect c a
    expect d b
    wait answers_served 3
    wait attempts_started 3
  )";
}
const std::string kServedByOld = R"(
    accept b box
    expect b X-Trace-Id: C
    expect b body
    send b ok 202
    news C box done {"result":"c"}
    expect e c
    wait requests_rehomed 1
)";

TEST(Moves, AHeldSaleGoesBackWithAnUndoWhereTheRouteSaysSo) {
  play("cli 0 move start m\n" + held_while("cli 0 move undo m\n", kServedByOld),
       kPools + route("(old 100) (new 0)", "(rehome yes)") + kMove);
}

TEST(Moves, AHeldSaleStaysWithItsPoolOtherwise) {
  play("cli 0 move start m\n" + held_while("cli 0 move undo m\n", R"(
    wait requests_rehomed 0
    news A box2 done {"result":"a"}
    accept b4 box2
    expect b4 X-Trace-Id: C
    expect b4 body
    send b4 ok 202
    news C box2 done {"result":"c"}
    expect e c
  )"),
       kPools + route("(old 100) (new 0)") + kMove);
}

TEST(Moves, WhatIsHeldByAPoolThatTheFileDropsIsRoutedAgain) {
  play(held_while("own (admin (socket \"admin\")) (pool none (host \"box2\")) (pool old) (route "
                  "all (to (old 1)))\nsignal HUP\nwait reloads 1\n",
                  kServedByOld),
       kPools + route("(new 50) (old 50)"));
}

TEST(Moves, AnEndpointChangesPoolsBySighupAndPoolsMayBeTurnedOnAndOff) {
  play(R"(
    own (pool first (host "box2")) (pool rest) (route all (to (first 1) (rest 0)))
    signal HUP
    wait reloads 1
    open c
    send c job A price 5000 STAYS
    accept b2 box2
    expect b2 X-Trace-Id: A
    expect b2 body
    send b2 ok 202
    news A box2 done {"result":"a"}
    expect c a
    own (pool first (host "nothing")) (pool rest) (route all (to (first 1) (rest 0)))
    signal HUP
    wait reloads 2
    log pool-empty
    send c job B price 5000 STAYS
    wait requests_spilled 1
    wait attempts_started 2
    own ; nothing
    signal HUP
    wait reloads 3
    # the pool of a node without pools has the boxes of all former ones, and serves
    send c job C price 5000 STAYS
    wait attempts_started 3
  )",
       "");
}

// Each pool has its own list. One that loses an endpoint to another pool must hear of it, or it
// would not hear of its drain.
TEST(Moves, AnEndpointThatLeftAPoolBySighupIsNotSentToByThatPoolOnceItDrains) {
  play(R"(
    own (pool first (host "box2")) (pool rest) (route all (to (first 1) (rest 0)))
    signal HUP
    wait reloads 1
    own (pool first (host "box")) (pool rest) (route all (to (first 1) (rest 0)))
    signal HUP
    wait reloads 2
    list box2:draining
    wait lists_received 3
    open c
    send c job A price 5000 STAYS
    accept b box
    expect b X-Trace-Id: A
    nobody box2
  )",
       "");
}

TEST(Moves, ABadFileChangesNothingAndSaysWhere) {
  play(R"(
    cli 0 move start m
    own (pool new (host "box2"))\n(rout all)
    signal HUP
    wait reloads_failed 1
    log keelflow.sexp:1:
    own (pool new (site "north")) (route all (to (new 1)))
    signal HUP
    wait reloads_failed 2
    log the platform has no site
    cli 0 move status m --json --socket admin
    expect cli "running"
  )",
       kPools + route("(old 100) (new 0)") + kMove);
}

TEST(Moves, SighupChangesTheStepsOfAMoveUnderWayOrDropsIt) {
  play(
      "cli 0 move start m\nown " + kPools + route("(old 100) (new 0)") +
          R"((move m (route all) (from old) (to new) (steps 20 40 100) (least-time 10m) (most-time 1h))
    signal HUP
    wait reloads 1
    cli 0 move status m --json
    expect cli "share": 0.4
    expect cli "running"
    own (pool old) (route all (to (old 1)))
    signal HUP
    wait reloads 2
    wait moves_undone 1
    cli 0 move status m --json --socket admin
    expect cli []
  )",
      kPools + route("(old 100) (new 0)") + kMove);
}

TEST(Moves, ANewPoolThatLosesItsLastBoxIsUndoneAtOnce) {
  play(R"(
    cli 0 move start m
    list box2:draining
    wait moves_undone 1
    cli 0 move status m
    expect cli draining
  )",
       kPools + route("(old 100) (new 0)") + kMove);
}

TEST(Moves, SigtermDuringAnUndoEndsWithAllAnswered) {
  play(R"(
    cli 0 move start m
    open c
    send c job A sale 5000 MOVED
    accept b2 box2
    expect b2 body
    send b2 ok 202
    signal TERM
    cli 0 move undo m
    news A box2 done {"result":"sold"}
    expect c sold
    exit 0
  )",
       kPools + route("(old 100) (new 0)") + kMove);
}

TEST(Moves, TheMeasureUndoesAMoveToABoxThatIsSilent) {
  std::string own =
      kPools + route("(old 100) (new 0)") +
      R"((move m (route all) (from old) (to new) (steps 50 100) (least-time 10m) (most-time 1h) (block 100ms) (spread 0.5)))";
  play("cli 0 move start m\n", own, [](Scenario& scenario) {
    // The new pool's box says nothing to what it is sent, the old one's serves, side by side.
    scenario.play(fill_in("open c\n"));
    for (int i = 0; i < 8 && !testing::Test::HasFailure();
         ++i) {  // the least on which it is judged
      std::string n = std::to_string(i);
      scenario.play(fill_in("send c job N" + n +
                            " price 250 MOVED\nexpect c HTTP/1.1 50\nsend c job O" + n +
                            " sale 5000 STAYS\naccept o box\nexpect o body\nsend o ok 202\nnews O" +
                            n + " box done {\"result\":\"x\"}\nexpect c HTTP/1.1 200\nclose o\n"));
    }
    scenario.play(
        "wait moves_undone 1\ncli 0 move status m\nexpect cli undone\nexpect cli in-time worth\n");
  });
}

TEST(Admin, TheSocketIsForTheOwnerAloneAndStandsWhatComes) {
  play(R"(
    cli 1 move start other
    expect cli no move
    cli 2 move start
    cli 2 move status --every x
    open a admin
    send a GET /nothing HTTP/1.1\r\n\r\n
    expect a HTTP/1.1 404
    send a GET /moves/m/undo HTTP/1.1\r\n\r\n
    expect a HTTP/1.1 405
    send a POST /moves/m/undo HTTP/1.1\r\n\r\n
    expect a HTTP/1.1 409
    expect a has not started
    send a nonsense\r\n\r\n
    expect a HTTP/1.1 400
    closed a
    open half admin
    send half POST /moves/m/sta
    open never admin
    closed half 3.5
    closed never 3.5
    open deaf admin
    fill deaf 200 GET /status HTTP/1.1\r\n\r\n
    cli 0 status
    expect cli pool
    open c
    send c job A price 5000 STAYS
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"served"}
    expect c served
  )",
       kPools + route("(old 100) (new 0)") + kMove);
}

TEST(Admin, WhoHammersTheSocketDoesNotStallServing) {
  play("", kPools + route("(old 100) (new 0)"), [](Scenario& scenario) {
    for (int i = 0; i < 200; ++i)
      scenario.play("open a" + std::to_string(i) + " admin");
    scenario.play(fill_in(R"(
      open c
      send c job A price 5000 STAYS
      accept b box
      expect b body
      send b ok 202
      news A box done {"result":"served"}
      expect c served
    )"));
  });
}

TEST(Log, AReaderThatStallsCostsRecordsAndNothingElse) {
  // A caller that does not read its answers gets no further ones, so that this one reads them all
  // after each part of its 4,000 calls.
  std::string calls = "open a admin\n";
  for (int part = 0; part < 20; ++part)
    calls += R"(
      fill a 200 POST /moves/m/pause HTTP/1.1\r\n\r\n
      send a GET /none HTTP/1.1\r\n\r\n
      expect a HTTP/1.1 404
    )";
  play(calls + R"(
    wait admin_calls 4020
    wait log_dropped 1+
    open c
    send c job A price 5000 STAYS
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"served"}
    expect c served
    # another log, while the old one's reader stalls: serving goes on at once
    own (log (level error)) (pool old) (route all (to (old 1)))
    signal HUP
    wait reloads 1
    signal TERM
    exit 0
  )",
       kPools + route("(old 100) (new 0)") + kMove);
}

}  // namespace
}  // namespace keelflow::test
