// Each rule of the monitor fires on a planted fault, and not without it.
#include <gtest/gtest.h>

#include <vector>

#include "invariants/monitor.h"

namespace keelflow::invariants {
namespace {

using namespace std::chrono_literals;
using scheduler::Idempotency;

const TimePoint kStart{1h};

class InvariantMonitor : public testing::Test {
 protected:
  InvariantMonitor()
      : monitor_({.drain_grace = 500ms, .parallel_attempts = false},
                 [this](Rule rule, const std::string&) { violations_.push_back(rule); }) {
    monitor_.list_received(
        R"({"seq":1,"whole":true,"hosts":[{"host":"box","health":"ready"},{"host":"box2","health":"ready"}]})",
        kStart);
    monitor_.request_read("A", 5s, kStart);
  }
  void write(const std::string& host, TimePoint now,
             Idempotency idempotency = Idempotency::idempotent, int expires_ms = 100,
             const std::string& id = "A") {
    std::string bytes = "POST /x HTTP/1.1\r\nHost: " + host + "\r\nX-Trace-Id: " + id +
                        "\r\nX-Expires-In-Ms: " + std::to_string(expires_ms) + "\r\n\r\n";
    monitor_.attempt_written(host, bytes, true, idempotency, now);
  }
  using Rules = std::vector<Rule>;
  Rules violations_;
  Monitor monitor_;
};

TEST_F(InvariantMonitor, AnOrdinaryAttemptViolatesNothing) {
  write("box", kStart + 1s);
  monitor_.attempt_ended("A", "box", false);
  monitor_.request_completed("A");
  EXPECT_EQ(violations_, Rules{});
  EXPECT_EQ(monitor_.records(), 0u);
}

TEST_F(InvariantMonitor, Drain) {
  monitor_.list_received(R"({"seq":2,"whole":false,"hosts":[{"host":"box","health":"draining"}]})",
                         kStart + 1s);
  write("box", kStart + 1300ms);
  EXPECT_EQ(violations_, Rules{}) << "within the grace";
  monitor_.attempt_ended("A", "box", true);
  write("box", kStart + 2s);
  EXPECT_EQ(violations_, Rules{Rule::drain});
}

TEST_F(InvariantMonitor, DrainOfAHostThatACompleteListOmits) {
  monitor_.list_received(R"({"seq":2,"whole":true,"hosts":[{"host":"box2","health":"ready"}]})",
                         kStart + 1s);
  write("box", kStart + 2s);
  EXPECT_EQ(violations_, Rules{Rule::drain});
}

TEST_F(InvariantMonitor, AnEndpointThatIsReadyAgainMayBeSentTo) {
  monitor_.list_received(R"({"seq":2,"whole":false,"hosts":[{"host":"box","health":"gone"}]})",
                         kStart + 1s);
  monitor_.list_received(R"({"seq":3,"whole":false,"hosts":[{"host":"box","health":"ready"}]})",
                         kStart + 2s);
  write("box", kStart + 3s);
  EXPECT_EQ(violations_, Rules{});
}

TEST_F(InvariantMonitor, StaleList) {
  monitor_.request_read("B", 60s, kStart);
  write("box", kStart + 7s, Idempotency::idempotent, 100, "B");
  EXPECT_EQ(violations_, Rules{Rule::stale_list});
}

TEST_F(InvariantMonitor, AListIsNotStaleWhileDiscoveryIsUnavailableOrSendsHeartbeats) {
  monitor_.request_read("B", 60s, kStart);
  monitor_.discovery_unavailable(kStart + 5s);
  write("box", kStart + 7s, Idempotency::idempotent, 100, "B");
  monitor_.attempt_ended("B", "box", true);
  monitor_.heartbeat_received(kStart + 10s);
  write("box", kStart + 12s, Idempotency::idempotent, 100, "B");
  EXPECT_EQ(violations_, Rules{});
}

TEST_F(InvariantMonitor, AListFromBeforeTheStartIsStale) {
  Rules violations;
  Monitor fresh({.drain_grace = 500ms},
                [&](Rule rule, const std::string&) { violations.push_back(rule); });
  fresh.attempt_written("box", "POST /x HTTP/1.1\r\nX-Trace-Id: A\r\n\r\n", true,
                        Idempotency::idempotent, kStart);
  EXPECT_EQ(violations, Rules{Rule::stale_list});
}

TEST_F(InvariantMonitor, OneAttempt) {
  write("box", kStart);
  write("box2", kStart);
  EXPECT_EQ(violations_, Rules{Rule::one_attempt});
}

TEST_F(InvariantMonitor, OneAttemptAtAnEndpointAlsoWhereHedgingIsPermitted) {
  monitor_.change({.drain_grace = 500ms, .parallel_attempts = true});
  write("box", kStart);
  write("box2", kStart);
  EXPECT_EQ(violations_, Rules{});
  write("box", kStart);
  EXPECT_EQ(violations_, Rules{Rule::one_attempt});
}

TEST_F(InvariantMonitor, OneAttemptWhileAnEndpointHasAJobThatTheProcessTakesAsEnded) {
  write("box", kStart);
  monitor_.attempt_accepted("A", "box");
  monitor_.attempt_ended("A", "box", false);
  write("box2", kStart);
  EXPECT_EQ(violations_, Rules{Rule::one_attempt});
  monitor_.attempt_ended("A", "box2", false);
  monitor_.request_completed("A");
  EXPECT_EQ(monitor_.records(), 0u);
}

TEST_F(InvariantMonitor, AnotherAttemptMayFollowOneThatItsEndpointHasReleased) {
  write("box", kStart);
  monitor_.attempt_accepted("A", "box");
  monitor_.attempt_released("A", "box");
  monitor_.attempt_ended("A", "box", false);
  write("box2", kStart);
  EXPECT_EQ(violations_, Rules{});
}

TEST_F(InvariantMonitor, Repeat) {
  write("box", kStart, Idempotency::non_idempotent);
  monitor_.attempt_ended("A", "box", true);
  write("box2", kStart, Idempotency::non_idempotent);
  EXPECT_EQ(violations_, Rules{}) << "the first never ran";
  monitor_.attempt_ended("A", "box2", false);
  write("box", kStart, Idempotency::non_idempotent);
  EXPECT_EQ(violations_, Rules{Rule::repeat});
}

TEST_F(InvariantMonitor, ClientGone) {
  monitor_.client_left("A", kStart);
  write("box", kStart + 50ms);
  EXPECT_EQ(violations_, Rules{});
  monitor_.attempt_ended("A", "box", true);
  write("box", kStart + 200ms);
  EXPECT_EQ(violations_, Rules{Rule::client_gone});
}

TEST_F(InvariantMonitor, Deadline) {
  write("box", kStart + 4s, Idempotency::idempotent, 1100);
  EXPECT_EQ(violations_, Rules{});
  monitor_.attempt_ended("A", "box", true);
  write("box", kStart + 4s, Idempotency::idempotent, 1200);
  EXPECT_EQ(violations_, Rules{Rule::deadline});
}

TEST_F(InvariantMonitor, Answer) {
  monitor_.connection_closed(true, true, kStart);
  monitor_.connection_closed(false, false, kStart);
  EXPECT_EQ(violations_, Rules{});
  monitor_.connection_closed(true, false, kStart);
  EXPECT_EQ(violations_, Rules{Rule::answer});
  EXPECT_EQ(monitor_.violations(Rule::answer), 1u);
  EXPECT_NE(monitor_.last_events().find("violation answer"), std::string::npos);
}

}  // namespace
}  // namespace keelflow::invariants
