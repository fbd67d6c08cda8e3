// Nodes that share an endpoint that is warming up: each a Dispatcher with its SlowStartLeases;
// nothing but what they send there is played.
#pragma once

#include "fleet/slow_start_leases.h"
#include "scheduler/dispatcher_harness.h"

namespace keelflow::fleet {

constexpr scheduler::EndpointId kWarmingUp = 7, kWarm = 8;
constexpr scheduler::Time kStartedAt = 10000, kJob = 100;

// The budget does not change beneath the sums: the endpoint counts as warming up and is as
// fast as if it had.
inline scheduler::Settings many(int nodes) {
  scheduler::Settings s = scheduler::basic_settings();
  s.concurrent_attempts = false;
  s.peers = true;
  s.dispatchers = nodes;
  s.slow_start_initial_fraction = 1;
  s.slow_start_ms = 1e6;
  s.overload_multiple = 4;
  return s;
}

struct Node {
  Node(scheduler::Settings s, int rank, scheduler::Time now, const std::vector<bool>& is_alive = {})
      : bench((s.rank = rank, s), static_cast<std::uint64_t>(rank) + 1) {
    bench.turns = SlowStartLeases(s, now);
    bench.now = now - kJob;
    scheduler::EndpointList list;
    list.entries = {{kWarm, 0, 0, 0, scheduler::EndpointState::ready, 1, 0}};
    bench.play(list);
    if (!is_alive.empty())
      bench.play(scheduler::MembershipChanged{is_alive});
    bench.arrive(1, kJob);  // from then on it knows what a typical job takes
    bench.play(scheduler::AttemptStarted{1, 0});
    bench.now = now;
    bench.outcome(1, 0, scheduler::AttemptResult::ok, true);
    bench.sends.clear();
    list.entries[0] = {kWarmingUp, 0, 0, 0, scheduler::EndpointState::ready, 1, kStartedAt};
    bench.play(list);
  }

  // A job comes, and ends as if it took no time. True: the endpoint was sent it.
  bool job() {
    scheduler::RequestId id = ++last;
    bench.arrive(id, kJob);
    bool went = !bench.sends.empty();
    bench.sends.clear();
    if (went)
      bench.outcome(id, 0, scheduler::AttemptResult::cancelled, true);
    else
      bench.play(scheduler::ClientDisconnected{id});
    return went;
  }
  // The lease messages that it sent since the last call.
  std::vector<scheduler::SendPeerMessage> messages() {
    std::vector<scheduler::SendPeerMessage> out;
    for (scheduler::SendPeerMessage& t : std::exchange(bench.tells, {}))
      if (decode_slow_start_message(t.bytes))
        out.push_back(std::move(t));
    return out;
  }
  scheduler::SlowStartBudget room() const {
    return bench.d.slow_start_budget(kWarmingUp, bench.now);
  }

  scheduler::Bench bench;
  scheduler::RequestId last = 1;
};

}  // namespace keelflow::fleet
