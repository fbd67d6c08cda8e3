/// Test nodes that share an endpoint that is warming up. Each consists of a Dispatcher and its
/// SlowStartLeases; the tests play only the requests to that endpoint.
#pragma once

#include "fleet/slow_start_leases.h"
#include "scheduler/dispatcher_harness.h"

namespace keelflow::fleet {

constexpr scheduler::EndpointId kWarmingEndpoint = 7;
constexpr scheduler::EndpointId kWarm = 8;
constexpr scheduler::Time kStartedAt = 10000;
constexpr scheduler::Time kJobMs = 100;

/// Settings for a fleet of `nodes` dispatchers. The budget stays constant during a test: the
/// endpoint counts as warming up for the whole test and starts at its full capacity.
inline scheduler::Settings fleet_settings(int nodes) {
  scheduler::Settings settings = scheduler::basic_settings();
  settings.concurrent_attempts = false;
  settings.peers = true;
  settings.dispatchers = nodes;
  settings.slow_start_initial_fraction = 1;
  settings.slow_start_ms = 1e6;
  settings.overload_multiple = 4;
  return settings;
}

/// One dispatcher that knows the work of a typical job and the endpoint that is warming up.
struct Node {
  Node(const scheduler::Settings& fleet_wide, int rank, scheduler::Time now,
       const std::vector<bool>& is_alive = {})
      : settings(with_rank(fleet_wide, rank)),
        harness(settings, static_cast<std::uint64_t>(rank) + 1) {
    harness.slow_start_leases = SlowStartLeases(settings, now);
    harness.now = now - kJobMs;
    scheduler::EndpointList list;
    list.entries = {{kWarm, 0, 0, 0, scheduler::EndpointState::ready, 1, 0}};
    harness.handle(list);
    if (!is_alive.empty())
      harness.handle(scheduler::MembershipChanged{is_alive});
    harness.arrive(1, kJobMs);  // teaches the dispatcher the work of a typical job
    harness.handle(scheduler::AttemptStarted{1, 0});
    harness.now = now;
    harness.outcome(1, 0, scheduler::AttemptResult::ok, true);
    harness.sends.clear();
    list.entries[0] = {kWarmingEndpoint, 0, 0, 0, scheduler::EndpointState::ready, 1, kStartedAt};
    harness.handle(list);
  }

  // Plays a job that ends immediately. Returns whether it was sent to the endpoint.
  bool play_job() {
    scheduler::RequestId id = ++last;
    harness.arrive(id, kJobMs);
    bool was_sent = !harness.sends.empty();
    harness.sends.clear();
    if (was_sent)
      harness.outcome(id, 0, scheduler::AttemptResult::cancelled, true);
    else
      harness.handle(scheduler::ClientDisconnected{id});
    return was_sent;
  }
  // Returns the lease messages that the node sent since the last call.
  std::vector<scheduler::SendPeerMessage> messages() {
    std::vector<scheduler::SendPeerMessage> out;
    for (scheduler::SendPeerMessage& message : std::exchange(harness.peer_messages, {}))
      if (decode_slow_start_message(message.bytes))
        out.push_back(std::move(message));
    return out;
  }
  scheduler::SlowStartBudget budget() const {
    return harness.dispatcher.slow_start_budget(kWarmingEndpoint, harness.now);
  }

  static scheduler::Settings with_rank(scheduler::Settings settings, int rank) {
    settings.rank = rank;
    return settings;
  }

  scheduler::Settings settings;
  scheduler::DispatcherHarness harness;
  scheduler::RequestId last = 1;
};

}  // namespace keelflow::fleet
