// Plug-ins in the real program: what they say is done, and nothing that they do costs a request its
// one answer.
#include <functional>

#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

using Sources = std::map<std::string, std::string>;

Options with(Sources plugins, const std::string& settings = "") {
  Options options;
  options.plugins = std::move(plugins);
  options.plugin_settings = settings;
  options.progress = "(heartbeat 300ms)";
  return options;
}

void play(const std::string& text, const Options& options) {
  Scenario scenario(options);
  scenario.play(kStart);
  for (const auto& [name, source] : options.plugins)
    if (!testing::Test::HasFailure())
      scenario.play("until " + name + " ready true");
  if (!testing::Test::HasFailure())
    scenario.play(text);
}

// A job that goes through: its client c, its box b.
std::string served(const std::string& id, const std::string& class_index = "price") {
  return "send c job " + id + " " + class_index + " 5000\nexpect b X-Trace-Id: " + id +
         "\nexpect b body\nsend b ok 202\nnews " + id + " box done {\"result\":\"made " + id +
         "\"}\nexpect c made " + id + "\n";
}
const std::string kFirst =
    "open c\nsend c job first price 5000\naccept b box\nexpect b X-Trace-Id: first\nexpect b "
    "body\nsend b ok 202\n"
    "news first box done {\"result\":\"made first\"}\nexpect c made first\n";

TEST(Plugins, ARefusalIsAnsweredAtOnceWithItsTimeAndReachesNoBox) {
  play(R"(
    open c
    send c job A hold 5000
    expect c HTTP/1.1 503
    expect c Retry-After: 1.500
    send c job B price 5000
    accept b box
    expect b X-Trace-Id: B
    wait plugin_refused 1
    wait answers_refused 1
    wait attempts_started 1
  )",
       with({{"p",
              "-- (sees (class hold))\nfunction on_request(r) return {refuse = true, come_back = "
              "1.5} end"}}));
}

TEST(Plugins, TheAdviceKeepsToWhatThePlatformAllows) {
  Options options =
      with({{"p", "function on_request(r) return {refuse = true, come_back = 50} end"}});
  play("open c\nsend c job A hold 5000\nexpect c HTTP/1.1 503\nexpect c Retry-After: 2.000\n",
       options);
  options.settings = R"({"limits": {"retry_after": false}})";
  play("open c\nsend c job A hold 5000\nexpect c HTTP/1.1 503\nabsent c Retry-After\n", options);
}

TEST(Plugins, WhatIsHeldGoesOnByItselfAndALaterOneOvertakesIt) {
  play(R"(
    open c
    send c job A price 8000
    wait plugin_held 1
    open d
    send d job B sale 8000
    accept b box
    expect b X-Trace-Id: B
    expect b body
    send b ok 202
    news B box done {"result":"first"}
    expect d first
    expect b X-Trace-Id: A
    expect b body
    send b ok 202
    news A box done {"result":"late"}
    expect c late
  )",
       with({{"p", "-- (sees (class price))\nfunction on_request(r) return {hold = 1} end"}}));
}

TEST(Plugins, AClientThatGoesAwayWhileItIsHeldOrAskedAboutTakesItsRequestBack) {
  play(R"(
    open c
    send c job A price 8000
    wait plugin_held 1
    close c
    wait clients_gone 1
    host p STOP
    open c
    send c job B price 8000
    wait plugin_asked 2
    close c
    wait clients_gone 2
    # its host is stopped for good; the class that it does not see is served, and nothing of the others was sent
    open c
    send c job C sale 8000
    accept b box
    expect b X-Trace-Id: C
    wait attempts_started 1
  )",
       with({{"p", "-- (sees (class price))\nfunction on_request(r) return {hold = 2} end"}},
            "(silence 1m)"));
}

TEST(Plugins, TheOldestGoesOnWhereMoreIsHeldThanMayBe) {
  play(R"(
    open c
    open d
    open e
    send c job A price 60000
    wait plugin_held 1
    send d job B price 60000
    wait plugin_held 2
    send e job C price 60000
    accept b box
    expect b X-Trace-Id: A
    wait plugin_holds_cut 1
    wait attempts_started 1
  )",
       with({{"p", "function on_request(r) return {hold = 30} end"}},
            "(most-held 2) (most-hold 1m)"));
}

TEST(Plugins, ALoopFallsBackOpensTheBreakerAndIsTriedAgain) {
  play(kFirst + served("A") + served("B") + served("C") + served("D") + R"(
    wait plugin_faults 5
    until p state open
    log event=breaker plugin=p from=closed to=open
  )" + served("E") +
           R"(
    # the trial comes, and its first call loops again
    until p state trial
  )" + served("F") +
           R"(
    wait plugin_faults 6
    until p turns 2
    # another source takes over, and is not guilty of what the old one did
    plugin p function on_request(r) return {label = "x"} end
    cli 0 plugin reload p
    until p state closed
    until p ready true
  )" + served("G") +
           "until p answered 1\n",
       with({{"p", "function on_request(r) while true do end end"}}));
}

// In a library's C code nothing in Lua can end it: its host is, and the request goes on meanwhile.
TEST(Plugins, ALoopInALibraryCostsItsHostAndItsCallItsPlugInsFallback) {
  play(kFirst + R"(
    wait plugin_hosts_ended 1
    until p state trial
  )" + served("A") +
           R"(
    wait plugin_hosts_ended 2
    until p turns 2
  )",
       with({{"p",
              "function on_request(r) return {label = string.find(('a'):rep(60), ('a*'):rep(20) .. "
              "'b')} end"}}));
}

TEST(Plugins, AHostThatCrashesOrIsSilentIsReplacedAndItsCallsFallBack) {
  play(kFirst + R"(
    host p ABRT
    wait plugin_hosts_ended 1
    log how="signal 6"
    until p state trial
  )" + served("A") +
           served("B") + served("C") + R"(
    until p state closed
    host p STOP
    send c job D price 5000
    expect b X-Trace-Id: D
    expect b body
    send b ok 202
    news D box done {"result":"in time"}
    expect c in time
    wait plugin_late 1
    wait plugin_hosts_ended 2
    log silent
  )",
       with({{"p", "function on_request(r) return {label = 'x'} end"}},
            "(plugin p (answer-within 300ms))"));
}

TEST(Plugins, WhereTheFallbackIsToRefuseItDoes) {
  play(R"(
    open c
    send c job A price 5000
    expect c HTTP/1.1 503
    expect c Retry-After: 1.000
    send c job B hold 5000
    accept b box
    expect b X-Trace-Id: B
  )",
       with({{"p",
              "-- (fallback refuse) (sees (class price))\nfunction on_request(r) error('broken') "
              "end"}}));
}

TEST(Plugins, OneThatNeverLoadsHasItsFallbackForWhatItSeesAndNothingElse) {
  Scenario scenario(
      with({{"p", "-- (fallback refuse) (sees (class price))\nfunction on_request("}}));
  scenario.play(kStart);
  scenario.play(R"(
    wait plugin_hosts_ended 1+
    open c
    send c job A price 5000
    expect c HTTP/1.1 503
    send c job B sale 5000
    accept b box
    expect b X-Trace-Id: B
  )");
}

TEST(Plugins, AReloadTakesOverAndABrokenOneLeavesTheOldInCharge) {
  play(R"(
    open c progress
    send c stream A price 9000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect c "label":"1"
    news A box done
    plugin p function on_request(r) return {label = "2"} end
    signal HUP
    until p generation 2
    wait plugin_reloads 1
    open d progress
    send d stream B price 9000
    expect b X-Trace-Id: B
    expect b body
    send b ok 202
    news B box started
    expect d "label":"2"
    news B box done
    # one that does not load, and one whose own test fails
    plugin p function on_request(
    cli 0 plugin reload
    wait plugin_reloads_failed 1
    plugin p function on_request(r) return {label = "4"} end function self_test() return false end
    signal HUP
    wait plugin_reloads_failed 2
    until p generation 2
    until p state closed
    # several in a row: the last one counts
    plugin p function on_request(r) return {label = "5"} end
    cli 0 plugin reload p
    plugin p function on_request(r) return {label = "6"} end
    cli 0 plugin reload p
    until p generation 6
    open e progress
    send e stream C price 9000
    expect b X-Trace-Id: C
    expect b body
    send b ok 202
    news C box started
    expect e "label":"6"
    cli 1 plugin reload nobody
    expect cli no plug-in
  )",
       with({{"p", "function on_request(r) return {label = '1'} end"}}));
}

TEST(Plugins, TheTableAndTheCountsOutlastAReloadAndACrash) {
  const std::string source =
      "function on_request(r) local n = tostring(tonumber(keep.get('n') or 0) + 1) keep.set('n', "
      "n) count('calls') return {label = n} end";
  play(kFirst + R"(
    until p kept 1
    cli 0 plugin reload p
    until p generation 2
  )" + served("A") +
           R"(
    until p counts {"calls":2.0}
    host p KILL
    wait plugin_hosts_ended 1
    until p state trial
    open d progress
    send d stream B price 9000
    expect b body
    send b ok 202
    news B box started
    expect d "label":"3"
    until p counts {"calls":3.0}
  )",
       with({{"p", source}}));
}

TEST(Plugins, SigtermAnswersWhatIsHeldAndWhatIsBeingAskedAbout) {
  play(R"(
    open c
    open d
    send c job A price 8000
    wait plugin_held 1
    host q STOP
    send d job B sale 8000
    wait plugin_asked 2
    signal TERM
    accept b box
    expect b X-Trace-Id: A
    expect b body
    send b ok 202
    news A box done {"result":"held"}
    expect c held
    accept b2 box
    expect b2 X-Trace-Id: B
    expect b2 body
    send b2 ok 202
    news B box done {"result":"asked"}
    expect d asked
    exit 0
  )",
       with({{"p", "-- (sees (class price))\nfunction on_request(r) return {hold = 60} end"},
             {"q", "-- (sees (class sale))\nfunction on_request(r) end"}},
            "(most-hold 1m) (silence 1m)"));
}

TEST(Plugins, LabelsShapesAndDropsProgressAndLeavesTheEndAlone) {
  play(R"(
    open c progress
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect c {"attempt":1,"label":"sale for A"}
    news A box running {"share":0.123}
    news A box running {"share":0.987}
    expect c id: 2\nevent: progress\ndata: {"attempt":1,"label":"sale for A","share":0.9}
    news A box done {"result":"0.987"}
    expect c event: done\ndata: 0.987\n\n
    wait plugin_events_dropped 1
    wait plugin_faults 0
  )",
       with({{"p", R"(
    function on_request(r) return {label = r.class .. " for " .. r.id} end
    function on_progress(e)
      if e.type == "progress" and e.share < 0.2 then return false end
      return {share = math.floor(e.share * 10) / 10}
    end)"}}));
}

TEST(Plugins, TheEndOvertakesEventsThatAPlugInSitsOn) {
  play(R"(
    open c progress
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    host p STOP
    news A box started
    news A box running {"share":0.5}
    news A box done {"result":"sold"}
    expect c {"attempt":1}
    expect c {"attempt":1,"share":0.5}
    expect c event: done\ndata: sold
  )",
       with({{"p", "function on_progress(e) return false end"}},
            "(silence 1m) (plugin p (answer-within 1s))"));
}

TEST(Plugins, AFaultInAProgressCallLeavesTheEventAsItIs) {
  play(R"(
    open c progress
    send c stream A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
    expect c {"attempt":1}
    news A box running {"share":0.5}
    expect c {"attempt":1,"share":0.5}
    news A box done {"result":"fine"}
    expect c event: done\ndata: fine
    wait plugin_faults 2
  )",
       with({{"p", R"(
    function on_progress(e)
      if e.type == "started" then while true do end end
      local t = {}
      for i = 1, 1e9 do t[i] = e.request .. i end
    end)"}}));
}

TEST(Plugins, HearsOfAnswersAndOfTheTime) {
  play(kFirst + R"(
    until p counts {"served":1.0}
    log event=says plugin=p text=tick
  )",
       with({{"p",
              "-- (tick 200ms)\nfunction on_answer(a) count(a.how) end function on_tick(now) "
              "log('tick') end"}}));
}

TEST(Plugins, MayBeDisabledEnabledAndTakenOutOfTheFile) {
  play(R"(
    open c
    send c job A price 5000
    expect c HTTP/1.1 503
    cli 0 plugin disable p
    until p state disabled
    send c job B price 5000
    accept b box
    expect b X-Trace-Id: B
    expect b body
    send b ok 202
    news B box done {"result":"made B"}
    expect c made B
    cli 1 plugin reload p
    expect cli disabled
    cli 0 plugin enable p
    until p state trial
    send c job C price 5000
    expect c HTTP/1.1 503
    own (admin (socket "admin"))
    signal HUP
    wait reloads 1
  )" + served("D"),
       with({{"p", "function on_request(r) return {refuse = true} end"}}));
}

TEST(Plugins, ABadManifestIsRefusedAtTheStartAndChangesNothingLater) {
  Options options = with({{"p", "function on_request(r) return {label = 'old'} end"}});
  play(R"(
    plugin p -- (budget (time 1d)) (sees (class nothing))\nfunction on_request(r) end
    signal HUP
    wait reloads_failed 1
    log plugins/p/plugin.sexp:1:
    until p generation 1
  )" + kFirst,
       options);
}

TEST(Plugins, WorkUnderALimitOf256Descriptors) {
  Options options = with({{"p", "function on_request(r) end"},
                          {"q", "function on_request(r) end"},
                          {"r", "function on_request(r) return {weigh = 2} end"}});
  options.sockets = 256;
  play(kFirst + served("A") + "until p answered 2\nuntil q answered 2\nuntil r answered 2\n",
       options);
}

}  // namespace
}  // namespace keelflow::test
