// Daily operation: the operators' address, the figures, endpoints out by hand, retuning.
#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

Options operated() {
  Options options;
  options.operators = true;
  return options;
}

void play(const std::string& text, Options options = operated()) {
  Scenario scenario(options);
  scenario.play(kStart);
  if (!testing::Test::HasFailure())
    scenario.play(text);
}

constexpr const char* kClasses =
    R"({"name": "price", "effect": "safe", "target_ms": 500.0, "value": 1.0},
  {"name": "hold", "effect": "keyed", "key_scope": "zone", "dedup_window_ms": 5000.0, "target_ms": 500.0})";

// One line of a scenario.
std::string classes(const std::string& rest) {
  std::string all = std::string(kClasses) + ", " + rest;
  for (char& c : all)
    c = c == '\n' ? ' ' : c;
  return "settings {\"classes\": [" + all + "]}\n";
}

TEST(Operation, AClassAppearsAndAnotherVanishesWhileJobsOfItAreHeldAndOut) {
  play(R"(
    open c
    send c job A sale 9000
    accept b box
    expect b body
    send b ok 202
    news A box started
    )" +
       classes(R"({"name": "refund", "effect": "unsafe", "target_ms": 500.0})") + R"(
    signal HUP
    figure config_reloads 1
    open d
    send d job B refund 9000
    accept b2 box
    expect b2 X-Trace-Id: B
    expect b2 body
    send b2 ok 202
    news B box done {"result":"new"}
    expect d \r\n\r\nnew
    send d job C sale 9000
    expect d HTTP/1.1 404
    news A box done {"result":"old"}
    expect c \r\n\r\nold
    figure completed.sale 1
    figure completed.refund 1
    figure pending 0
    )" +
       classes(R"({"name": "sale", "effect": "unsafe", "target_ms": 500.0})") + R"(
    signal HUP
    figure config_reloads 2
    send d job D sale 9000
    accept b3 box
    expect b3 body
    send b3 ok 202
    news D box done {"result":"back"}
    expect d \r\n\r\nback
    figure completed.sale 2
  )");
}

TEST(Operation, AClassThatComesBackAndNewOnesBeforeItHaveNumbersOfTheirOwn) {
  play(R"(
    settings {"classes": [{"name": "price", "effect": "safe", "target_ms": 500.0}]}
    signal HUP
    figure config_reloads 1
    settings {"classes": [{"name": "refund", "effect": "safe", "target_ms": 500.0}, {"name": "more", "effect": "safe", "target_ms": 500.0}, {"name": "sale", "effect": "unsafe", "target_ms": 500.0}]}
    signal HUP
    figure config_reloads 2
    stop box
    open c
    send c job A refund 9000
    expect c HTTP/1.1 503
    send c job B sale 9000
    expect c HTTP/1.1 503
    send c job C more 9000
    expect c HTTP/1.1 503
    figure rejected.sale 1
  )");
}

TEST(Operation, AJobKeepsTheEffectThatItCameWith) {
  play(R"(
    open c
    send c job A price 9000
    accept b box
    expect b body
    settings {"classes": [{"name": "price", "effect": "unsafe", "target_ms": 500.0, "value": 1.0}]}
    signal HUP
    figure config_reloads 1
    reset b
    accept b2 box
    expect b2 X-Trace-Id: A
    expect b2 body
    send b2 ok 202
    news A box done {"result":"again"}
    expect c again
    send c job B price 9000
    accept b3 box
    expect b3 X-Trace-Id: B
    expect b3 body
    reset b3
    expect c HTTP/1.1 502
    figure failed.price 1
  )");
}

TEST(Operation, FewerAttemptsThanAJobHasUsedEndIt) {
  play(R"(
    stop box
    settings {"limits": {"try_limit": 1}}
    signal HUP
    figure config_reloads 1
    open c
    send c job A price 9000
    expect c HTTP/1.1 503
    wait attempts_never_connected 1
    figure rejected.price 1
    figure upstream_requests 0
  )");
}

// Each with the line that tells an operator what is wrong; nothing of the file is taken, not the
// discovery either.
TEST(Operation, ABrokenFileChangesNothing) {
  Scenario scenario(operated());
  scenario.play(kStart);
  std::string elsewhere = "127.0.0.1:" + std::to_string(scenario.port("disco2"));
  int errors = 0;
  for (const char* text : {"", "-", "{", "{}", "[]"})
    if (!testing::Test::HasFailure())
      scenario.play("config " + std::string(text) + "\nsignal HUP\nfigure config_reload_errors " +
                    std::to_string(++errors) + "\n");
  auto changed = [&](const std::string& patch, const std::string& why) {
    if (testing::Test::HasFailure())
      return;
    scenario.play("changed " + patch + "\nsignal HUP\nfigure config_reload_errors " +
                  std::to_string(++errors) + "\nlog " + why + "\n");
  };
  const std::string moved = R"({"discovery": ")" + elsewhere + R"(", "settings": )";
  changed(R"({"settings": null})", "settings");
  changed(R"({"listen": null})", "listen");
  changed(moved + R"({"limits": {"try_limit": 0}}})", "try_limit");
  changed(moved + R"({"limits": {"try_limit": -1}}})", "try_limit");
  changed(moved + R"({"limits": {"try_limit": "three"}}})", "try_limit");
  changed(moved + R"({"limits": {"try_limit": null}}})", "try_limit");
  changed(moved + R"({"safety": {"fall_ms": null}}})", "fall_ms");
  changed(moved + R"({"safety": {"fall_ms": "two"}}})", "fall_ms");
  changed(
      moved +
          R"({"classes": [{"name": "price", "effect": "safe", "target_ms": 500.0, "give_up_ms": 0}]}})",
      "give_up_ms");
  changed(
      moved +
          R"({"classes": [{"name": "price", "effect": "safe", "target_ms": 500.0, "give_up_ms": -5}]}})",
      "give_up_ms");
  changed(
      moved +
          R"({"classes": [{"name": "price", "effect": "safe", "target_ms": 500.0, "give_up_ms": "5 s"}]}})",
      "give_up_ms");
  changed(moved + R"({"classes": [{"name": "price", "effect": "safe"}]}})", "target_ms");
  if (testing::Test::HasFailure())
    return;
  scenario.play(R"(
    figure config_reloads 0
    wait watches_opened 1
    open c
    send c job A sale 9000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"as before"}
    expect c as before
  )");
}

TEST(Operation, AnExecutorIsTakenOutTwiceAndCalledBackOnce) {
  play(R"(
    ask DISABLE nobody => error no executor 'nobody'
    list box2:ready
    figure members 2
    ask DISABLE box => done
    ask DISABLE box => done
    figure members_unavailable 1
    open c
    send c job A price 9000
    accept b2 box2
    expect b2 body
    send b2 ok 202
    # discovery drops it, lists it again, and has started it anew: it stays out
    list box:gone
    figure members 1
    list box:ready
    list whole box:ready:box:50 box2:draining
    figure members_unavailable 2
    open d
    send d job B price 1000
    expect d HTTP/1.1 503
    news A box2 done {"result":"finished"}
    expect c finished
    ask ENABLE box => done
    figure members_unavailable 1
    send d job C price 9000
    accept b box
    expect b X-Trace-Id: C
    expect b body
    send b ok 202
    news C box done {"result":"back"}
    expect d back
    ask ENABLE box => done
  )");
}

TEST(Operation, WhatIsUnderWayAtAnExecutorTakenOutFinishesThereAndItsRetryDoesNotGoBack) {
  play(R"(
    open c
    send c job A price 9000
    accept b box
    expect b body
    send b ok 202
    news A box started
    open d
    send d job B price 9000
    expect b X-Trace-Id: B
    expect b body
    ask DISABLE box => done
    reset b
    wait attempts_reset 1
    news A box done {"result":"finished"}
    expect c finished
    list box2:ready
    accept e box2
    expect e X-Trace-Id: B
    expect e body
    send e ok 202
    news B box2 done {"result":"elsewhere"}
    expect d elsewhere
    wait attempts_started 3
  )");
}

TEST(Operation, AllExecutorsOutEndRequestsAndHangNone) {
  play(R"(
    ask DISABLE box => done
    open c
    send c job A price 700
    expect c HTTP/1.1 503
    signal HUP
    figure config_reloads 1
    send c job B sale 700
    expect c HTTP/1.1 503
    figure pending 0
    figure rejected.price 1
    figure rejected.sale 1
  )");
}

TEST(Operation, FiguresAreWhatHappened) {
  play(R"(
    open c
    send c job A price 9000
    accept b box
    expect b body
    figure pending 1
    figure upstream_requests 1
    send b ok 202
    news A box done {"result":"one"}
    expect c one
    send c job B sale 9000
    accept b2 box
    expect b2 X-Trace-Id: B
    expect b2 body
    reset b2
    expect c HTTP/1.1 502
    stop box
    reset b
    send c job C hold 9000
    expect c HTTP/1.1 503
    figure completed.price 1
    figure failed.sale 1
    figure rejected.hold 1
    figure completed.hold 0
    figure pending 0
    # neither connection came up for the last one, and only what was written whole counts
    figure upstream_requests 2
    figure members 1
    # by the module's own choice: nothing has been served there since three attempts failed
    figure members_unavailable 1
    ask DISABLE box => done
    figure members_unavailable 1
    ask STATS => end
  )");
}

TEST(Operation, TheAddressAnswersWhateverIsAsked) {
  play(R"(
    ask READY => done
    ask HELP => error unknown call 'HELP': READY, STATS, DISABLE ID or ENABLE ID wanted
    ask DISABLE => error DISABLE wants the executor's ID
    ask READY now => error READY takes no 'now'
    ask ENABLE box box2 => error ENABLE takes no 'box2'
    open crlf operators
    send crlf READY\r\n
    expect crlf done\n
    closed crlf
    open bytes operators
    send bytes R
    send bytes E
    send bytes A
    send bytes D
    send bytes Y
    send bytes \n
    expect bytes done
    open empty operators
    send empty \n
    expect empty error empty call
    open endless operators
    fill endless 600 x
    expect endless error the line is too long
    closed endless
    wait operator_calls 9
  )");
}

TEST(Operation, CallersWhoHoldTheAddressAndClientsWhoCrowdTheOtherKeepNobodyOut) {
  Options options = operated();
  options.sockets = 128;
  std::string crowd;
  for (int i = 0; i < 80; ++i)
    crowd += "open idle" + std::to_string(i) + "\n";
  for (int i = 0; i < 100; ++i) {
    std::string name = "held" + std::to_string(i);
    crowd += "open " + name + " operators\n" + (i % 3 == 0 ? "" : "send " + name + " REA\n");
  }
  play(crowd + R"(
    ask READY => done
    ask STATS => node.pending:0|g
    wait operator_callers_ended 100
    closed held99
  )",
       options);
}

TEST(Operation, ATakenAddressIsNamed) {
  Options options = operated();
  Scenario first(options);
  std::string taken = "127.0.0.1:" + std::to_string(first.port("box"));
  Options second;
  second.settings = "{}";
  second.admin = taken;
  try {
    Scenario other(second);
    FAIL() << "it started";
  } catch (const std::exception& fault) {
    EXPECT_NE(std::string(fault.what()).find("'admin' " + taken + " cannot be listened on"),
              std::string::npos)
        << fault.what();
  }
}

}  // namespace
}  // namespace keelflow::test
