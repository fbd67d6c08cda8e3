/// Compares the decisions of the Dispatcher and of its fleet components in random scenarios with
/// recordings. A change that is not meant to change decisions must leave every line of
/// recordings/decisions.txt unchanged.
#include <gtest/gtest.h>

#include <algorithm>

#include "dispatcher_day.h"

namespace keelflow::replay {
namespace {

std::vector<ScenarioOptions> scenarios() {
  std::vector<ScenarioOptions> all = {
      {.name = "plain", .seed = 1},
      {.name = "one-class-overloaded", .seed = 2, .load = 1.6, .several_classes = false},
      {.name = "three-dispatchers", .seed = 3, .dispatchers = 3},
      {.name = "parallel-attempts",
       .seed = 4,
       .dispatchers = 2,
       .parallel_attempts = true,
       .faulty_endpoints = true,
       .attempts = 6},
      {.name = "bad-endpoints",
       .seed = 5,
       .dispatchers = 2,
       .faulty_endpoints = true,
       .attempts = 6},
      {.name = "bad-endpoints-overloaded",
       .seed = 6,
       .load = 1.3,
       .retry_after = true,
       .faulty_endpoints = true},
      {.name = "keys", .seed = 7, .dispatchers = 2, .endpoints = 24, .keys = true},
      {.name = "keys-with-faults",
       .seed = 8,
       .endpoints = 24,
       .load = 0.9,
       .keys = true,
       .faulty_endpoints = true},
      {.name = "tenants-overloaded",
       .seed = 9,
       .dispatchers = 2,
       .load = 1.4,
       .retry_after = true,
       .tenants = true},
      {.name = "cold-starts", .seed = 10, .dispatchers = 2, .endpoint_restarts = true},
      {.name = "cold-starts-with-peers",
       .seed = 11,
       .dispatchers = 6,
       .peers = true,
       .endpoint_restarts = true},
      {.name = "large-fleet",
       .seed = 12,
       .dispatchers = 20,
       .endpoints = 60,
       .length_ms = 3000,
       .load = 0.9,
       .peers = true,
       .endpoint_restarts = true,
       .members_change = true},
      {.name = "large-fleet-with-faults",
       .seed = 13,
       .dispatchers = 24,
       .endpoints = 40,
       .length_ms = 2500,
       .load = 1.1,
       .peers = true,
       .endpoint_restarts = true,
       .faulty_endpoints = true,
       .attempts = 3},
      {.name = "settings-change",
       .seed = 14,
       .dispatchers = 2,
       .load = 1.1,
       .keys = true,
       .settings_change = true},
      {.name = "restarts",
       .seed = 15,
       .dispatchers = 3,
       .peers = true,
       .endpoint_restarts = true,
       .dispatcher_restarts = true},
      {.name = "sibling-process",
       .seed = 16,
       .dispatchers = 2,
       .peers = true,
       .endpoint_restarts = true,
       .faulty_endpoints = true,
       .dispatcher_restarts = true,
       .sibling = true},
      {.name = "sends-forbidden",
       .seed = 17,
       .dispatchers = 2,
       .load = 0.9,
       .polls_list = true,
       .sends_forbidden = true},
      {.name = "clients-leave",
       .seed = 18,
       .load = 1.2,
       .tenants = true,
       .faulty_endpoints = true,
       .clients_disconnect = true},
      {.name = "no-cancellation",
       .seed = 19,
       .dispatchers = 2,
       .load = 1.1,
       .faulty_endpoints = true,
       .clients_disconnect = true,
       .cancel = false},
      {.name = "no-start-reports",
       .seed = 20,
       .dispatchers = 2,
       .polls_list = true,
       .start_reports = false,
       .faulty_endpoints = true},
      {.name = "one-attempt", .seed = 21, .load = 0.9, .faulty_endpoints = true, .attempts = 1},
      {.name = "everything",
       .seed = 22,
       .dispatchers = 4,
       .endpoints = 30,
       .length_ms = 5000,
       .load = 1.1,
       .parallel_attempts = true,
       .polls_list = true,
       .peers = true,
       .retry_after = true,
       .keys = true,
       .tenants = true,
       .endpoint_restarts = true,
       .faulty_endpoints = true,
       .settings_change = true,
       .dispatcher_restarts = true,
       .sibling = true,
       .members_change = true,
       .sends_forbidden = true,
       .clients_disconnect = true,
       .attempts = 5},
  };
  return all;
}

/// Runs one scenario and compares its recording.
class RecordedScenario : public testing::TestWithParam<ScenarioOptions> {};

TEST_P(RecordedScenario, MatchesTheRecordedDecisions) {
  Recording recording(GetParam().name);
  run_scenario(GetParam(), recording);
  expect_recorded(recording);
}

INSTANTIATE_TEST_SUITE_P(Dispatcher, RecordedScenario, testing::ValuesIn(scenarios()),
                         [](const auto& scenario) {
                           std::string name = scenario.param.name;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace keelflow::replay
