// The decisions of the Dispatcher and of the fleet's parts beside it: drawn days against what was
// recorded of them. A change that is meant to change no decision leaves every line of
// recordings/decisions.txt as it is.
#include <gtest/gtest.h>

#include <algorithm>

#include "dispatcher_day.h"

namespace keelflow::replay {
namespace {

std::vector<DayPlan> plans() {
  std::vector<DayPlan> all = {
      {.name = "plain", .seed = 1},
      {.name = "one-class-overloaded", .seed = 2, .load = 1.6, .several_classes = false},
      {.name = "three-dispatchers", .seed = 3, .dispatchers = 3},
      {.name = "parallel-attempts",
       .seed = 4,
       .dispatchers = 2,
       .parallel_attempts = true,
       .bad_endpoints = true,
       .attempts = 6},
      {.name = "bad-endpoints", .seed = 5, .dispatchers = 2, .bad_endpoints = true, .attempts = 6},
      {.name = "bad-endpoints-overloaded",
       .seed = 6,
       .load = 1.3,
       .retry_after = true,
       .bad_endpoints = true},
      {.name = "keys", .seed = 7, .dispatchers = 2, .endpoints = 24, .keys = true},
      {.name = "keys-with-faults",
       .seed = 8,
       .endpoints = 24,
       .load = 0.9,
       .keys = true,
       .bad_endpoints = true},
      {.name = "tenants-overloaded",
       .seed = 9,
       .dispatchers = 2,
       .load = 1.4,
       .retry_after = true,
       .tenants = true},
      {.name = "cold-starts", .seed = 10, .dispatchers = 2, .cold_starts = true},
      {.name = "cold-starts-with-peers",
       .seed = 11,
       .dispatchers = 6,
       .peers = true,
       .cold_starts = true},
      {.name = "large-fleet",
       .seed = 12,
       .dispatchers = 20,
       .endpoints = 60,
       .length_ms = 3000,
       .load = 0.9,
       .peers = true,
       .cold_starts = true,
       .members_change = true},
      {.name = "large-fleet-with-faults",
       .seed = 13,
       .dispatchers = 24,
       .endpoints = 40,
       .length_ms = 2500,
       .load = 1.1,
       .peers = true,
       .cold_starts = true,
       .bad_endpoints = true,
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
       .cold_starts = true,
       .restarts = true},
      {.name = "sibling-process",
       .seed = 16,
       .dispatchers = 2,
       .peers = true,
       .cold_starts = true,
       .bad_endpoints = true,
       .restarts = true,
       .sibling = true},
      {.name = "sends-forbidden",
       .seed = 17,
       .dispatchers = 2,
       .load = 0.9,
       .poll_list = true,
       .sends_forbidden = true},
      {.name = "clients-leave",
       .seed = 18,
       .load = 1.2,
       .tenants = true,
       .bad_endpoints = true,
       .clients_leave = true},
      {.name = "no-cancellation",
       .seed = 19,
       .dispatchers = 2,
       .load = 1.1,
       .bad_endpoints = true,
       .clients_leave = true,
       .cancel = false},
      {.name = "no-start-reports",
       .seed = 20,
       .dispatchers = 2,
       .poll_list = true,
       .start_reports = false,
       .bad_endpoints = true},
      {.name = "one-attempt", .seed = 21, .load = 0.9, .bad_endpoints = true, .attempts = 1},
      {.name = "everything",
       .seed = 22,
       .dispatchers = 4,
       .endpoints = 30,
       .length_ms = 5000,
       .load = 1.1,
       .parallel_attempts = true,
       .poll_list = true,
       .peers = true,
       .retry_after = true,
       .keys = true,
       .tenants = true,
       .cold_starts = true,
       .bad_endpoints = true,
       .settings_change = true,
       .restarts = true,
       .sibling = true,
       .members_change = true,
       .sends_forbidden = true,
       .clients_leave = true,
       .attempts = 5},
  };
  return all;
}

class RecordedDay : public testing::TestWithParam<DayPlan> {};

TEST_P(RecordedDay, IsDecidedAsBefore) {
  Recording recording(GetParam().name);
  play_day(GetParam(), recording);
  expect_recorded(recording);
}

INSTANTIATE_TEST_SUITE_P(Dispatcher, RecordedDay, testing::ValuesIn(plans()), [](const auto& day) {
  std::string name = day.param.name;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

}  // namespace
}  // namespace keelflow::replay
