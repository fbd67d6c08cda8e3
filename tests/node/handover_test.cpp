// Two real processes of one node on one listening socket.
#include <chrono>
#include <nlohmann/json.hpp>

#include "handover/learned_state_codec.h"
#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

Options inherited() {
  Options options;
  options.operators = options.inherit = true;
  return options;
}

// The new process has its own watch.
const std::string kUpgrade = R"(
    upgrade
    accept disco disco
    expect disco GET /discovery/hosts?follow=1 HTTP
    send disco HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
    list whole box:ready
    figure members 1
)";

void play(const std::string& text) {
  Scenario scenario(inherited());
  scenario.play(kStart);
  if (!testing::Test::HasFailure())
    scenario.play(text);
}

const std::string kJobAtTheOldProcess = R"(
    open c
    send c job A sale 15000
    accept b box
    expect b body
    send b ok 202
    news A box started
)";

TEST(Handover, AStatusCallbackThatReachesTheOtherProcessIsForwardedToItsOwner) {
  play(kJobAtTheOldProcess + kUpgrade + R"(
    elder STOP
    news A box done {"result":"passed on"}
    news nobody box done {"result":"x"}
    elder CONT
    expect c \r\n\r\npassed on
    elder-ask STATS => node.completed.sale:1|c
    ask STATS => node.completed.sale:0|c
  )");
}

TEST(Handover, AnOldProcessThatShutsDownLeavesClientsToTheNewOneAndFinishesWhatItHas) {
  play(kJobAtTheOldProcess + kUpgrade + R"(
    elder TERM
    open d
    send d job B price 9000
    accept b2 box
    expect b2 X-Trace-Id: B
    expect b2 body
    send b2 ok 202
    news B box done {"result":"younger"}
    expect d younger
    news A box done {"result":"elder"}
    expect c Connection: close
    expect c elder
    closed c
    elder exit
    ask READY => done
    figure completed.price 1
    figure pending 0
  )");
}

TEST(Handover, AdminOverridesStayOverAnUpgradeAndBothProcessesAreNotified) {
  play(R"(
    ask DISABLE box => done
  )" + kUpgrade +
       R"(
    figure members_unavailable 1
    ask ENABLE box => done
    elder-ask STATS => node.members_unavailable:0|g
    ask DISABLE box => done
    elder-ask STATS => node.members_unavailable:1|g
    elder-ask ENABLE box => done
    figure members_unavailable 0
  )");
}

TEST(Handover, TwoUpgradesInARowStillForwardStatusCallbacksToTheOldest) {
  play(kJobAtTheOldProcess + kUpgrade + R"(
    elder TERM
  )" + kUpgrade +
       R"(
    elder TERM
    news A box done {"result":"over two"}
    expect c over two
    elder exit
    ask READY => done
  )");
}

TEST(Handover, AnOldProcessThatIsStalledOrGoneDelaysReadinessByABoundAtMost) {
  for (const char* before : {"elder STOP\n", "elder KILL\n", "elder KILL\nstale\n"}) {
    Scenario scenario(inherited());
    scenario.play(kStart + std::string("upgrade\n") + before);
    auto began = std::chrono::steady_clock::now();
    scenario.play("upgrade\nask READY => done\n");
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(6)) << before;
  }
}

TEST(Handover, ANewProcessThatFailsToStartLeavesTheOldOneServing) {
  play(R"(
    failed-upgrade
    ask READY => done
    open c
    send c job A price 9000
    accept b box
    expect b body
    send b ok 202
    news A box done {"result":"served on"}
    expect c served on
  )");
}

TEST(Handover, TheAdminSocketIsTakenOverWhenTheOldProcessHasEnded) {
  Options options = inherited();
  options.own = R"((admin (socket "admin")))";
  Scenario scenario(options);
  scenario.play(kStart + kUpgrade + R"(
    elder TERM
    elder exit
    log subsystem=admin event=listens
    cli 0 status
    expect cli open
  )");
}

TEST(Handover, WhatIsNoListeningSocketIsNamed) {
  ASSERT_EQ(setenv("EDGE_LISTEN_FD", "77", 1), 0);
  try {
    Scenario scenario;
    ADD_FAILURE() << "it started";
  } catch (const std::exception& fault) {
    EXPECT_NE(std::string(fault.what()).find("EDGE_LISTEN_FD is no listening socket: '77'"),
              std::string::npos)
        << fault.what();
  }
  unsetenv("EDGE_LISTEN_FD");
}

TEST(Handover, LearnedStateIsSentByNameAndFitsOtherNumbers) {
  Names old_process{.classes = {"price", "hold", "price"},
                    .tenants = {},
                    .zones = {"east", "west"},
                    .kinds = {"fast", "slow"},
                    .former = {true, false, false}};
  Names new_process{.classes = {"hold", "price", "new"},
                    .tenants = {},
                    .zones = {"west"},
                    .kinds = {"slow", "fast"}};
  scheduler::LearnedState k;
  k.classes = {{9, 9, 9}, {2, 20, 10}, {3, 30, 10}};
  k.kinds = {{4, 0.5}, {2, 1.5}};
  k.fleet = {{11, 22}, 150, 0.25};
  k.endpoints = {{7, 1000, {1.25, 5, 1, 2, 2000}, 3, 400}};
  scheduler::LearnedState restored =
      from_json(nlohmann::json::parse(to_json(k, old_process).dump()), new_process);
  ASSERT_EQ(restored.classes.size(), 3u);
  EXPECT_EQ(restored.classes[0].factor, 2);
  EXPECT_EQ(restored.classes[1].factor, 3);
  EXPECT_EQ(restored.classes[1].hint_sum, 30);
  EXPECT_EQ(restored.classes[2].factor, 1);
  EXPECT_EQ(restored.kinds[0].service_time_ratio, 1.5);
  EXPECT_EQ(restored.kinds[1].observed_cores, 4);
  EXPECT_EQ(restored.fleet.start_delay_ms, std::vector<double>{22});
  EXPECT_EQ(restored.fleet.mean_run_ms, 150);
  ASSERT_EQ(restored.endpoints.size(), 1u);
  EXPECT_EQ(restored.endpoints[0].health.concurrency_limit, 5);
  EXPECT_EQ(restored.endpoints[0].health.consecutive_failures, 2);
  EXPECT_EQ(restored.endpoints[0].slow_start_work_ms, 400);
  EXPECT_THROW(from_json(nlohmann::json::parse(R"({"mean_run":1})"), new_process),
               nlohmann::json::exception);
}

}  // namespace
}  // namespace keelflow::test
