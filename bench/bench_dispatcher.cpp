// The time of one decision: a request arrives, its attempt starts and is served, over fleets of
// several sizes.
#include <benchmark/benchmark.h>

#include "scheduler/dispatcher.h"

namespace {

using namespace keelflow::scheduler;

constexpr int kOutstanding = 64;  // requests under way at any time

void decide(benchmark::State& state) {
  Settings settings;
  settings.dispatchers = 4;
  settings.classes.resize(3);
  for (ClassSettings& c : settings.classes)
    c.latency_objective_ms = 500;
  settings.classes[1].idempotency = Idempotency::idempotent_with_key;
  settings.classes[1].deduplication_window_ms = 3000;
  settings.classes[2].idempotency = Idempotency::non_idempotent;
  settings.max_attempts = 3;
  settings.reports_start = true;
  Dispatcher dispatcher(settings, 7);
  Actions actions;
  EndpointList list;
  for (int i = 0; i < static_cast<int>(state.range(0)); ++i)
    list.entries.push_back(
        {static_cast<EndpointId>(i + 1), 0, 0, i / 4, EndpointState::ready, 2, 0});
  Time now = 1000;
  dispatcher.handle(now, list, actions);
  RequestId last = 0;
  bool keyed = state.range(1) != 0;
  for (auto _ : state) {
    now += 0.5;
    actions.clear();
    RequestArrived arrival;
    arrival.request = ++last;
    arrival.class_index = static_cast<int>(last % 3);
    arrival.key = keyed ? 1 + last % 50 : 0;
    arrival.client_timeout_ms = 2000;
    arrival.hint = 20 + last % 30;
    dispatcher.handle(now, arrival, actions);
    dispatcher.handle(now, AttemptStarted{last, 0}, actions);
    if (last <= kOutstanding)
      continue;
    AttemptFinished outcome;
    outcome.request = last - kOutstanding;
    outcome.result = AttemptResult::ok;
    outcome.request_finished = true;
    dispatcher.handle(now, outcome, actions);
    benchmark::DoNotOptimize(actions.data());
  }
}
BENCHMARK(decide)->ArgNames({"endpoints", "keyed"})->ArgsProduct({{60, 300, 3200}, {0, 1}});

}  // namespace
