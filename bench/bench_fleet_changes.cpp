// The time of a change of the endpoint list in fleets of several sizes: of one change with the
// slow-start leases, and of one update of the subsets, which joins many changes.
#include <benchmark/benchmark.h>

#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"

namespace {

using namespace keelflow;
using scheduler::EndpointEntry;
using scheduler::EndpointId;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::ListScope;

constexpr scheduler::Time kNow = 1e6;

scheduler::Settings settings_of(const benchmark::State& state) {
  scheduler::Settings settings;
  settings.dispatchers = static_cast<int>(state.range(1));
  settings.peers = true;
  settings.classes.resize(1);
  settings.slow_start_ms = 20000;
  return settings;
}

EndpointList complete_list(const benchmark::State& state) {
  EndpointList list;
  for (EndpointId id = 1; id <= static_cast<EndpointId>(state.range(0)); ++id)
    list.entries.push_back({id, 0, 0, 0, EndpointState::ready, 1, kNow});
  return list;
}

// One endpoint of all is replaced by a new one.
void one_change(benchmark::State& state) {
  scheduler::Settings settings = settings_of(state);
  scheduler::Dispatcher dispatcher(settings, 7);
  fleet::Subsets subsets(settings);
  fleet::SlowStartLeases leases(settings, 0);
  scheduler::Actions actions;
  std::vector<scheduler::Event> notifications;
  auto apply = [&](const EndpointList& list) {
    actions.clear();
    notifications.clear();
    dispatcher.handle(kNow, list, actions);
    subsets.apply(list);
    leases.after(kNow, list, dispatcher, notifications, actions);
    for (const scheduler::Event& notification : notifications)
      dispatcher.handle(kNow, notification, actions);
  };
  apply(complete_list(state));
  EndpointId oldest = 1, newest = static_cast<EndpointId>(state.range(0));
  for (auto _ : state)
    apply({.scope = ListScope::delta,
           .entries = {{++newest, 0, 0, 0, EndpointState::ready, 1, kNow},
                       {oldest++, 0, 0, 0, EndpointState::gone, 1, kNow}}});
}

void subset_update(benchmark::State& state) {
  scheduler::Settings settings = settings_of(state);
  scheduler::Dispatcher dispatcher(settings, 7);
  fleet::Subsets subsets(settings);
  scheduler::Actions actions;
  EndpointList list = complete_list(state);
  dispatcher.handle(kNow, list, actions);
  subsets.apply(list);
  for (auto _ : state)
    dispatcher.handle(kNow, subsets.update(), actions);
}

void sizes(benchmark::internal::Benchmark* benchmark) {
  for (int endpoints : {200, 800, 3200})
    for (int dispatchers : {4, 300, 900})
      benchmark->Args({endpoints, dispatchers});
}

BENCHMARK(one_change)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(subset_update)->Apply(sizes)->Unit(benchmark::kMicrosecond);

}  // namespace
