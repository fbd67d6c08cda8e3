// Nodes that share a cold endpoint: each a Dispatcher with its Turns; nothing but what they send
// there is played.
#pragma once

#include "fleet/turns.h"
#include "harness.h"

namespace keelflow::fleet {

constexpr reedlb::EndpointId kCold = 7, kWarm = 8;
constexpr reedlb::Time kBorn = 10000, kJob = 100;

// The budget does not change beneath the sums: the endpoint counts as cold and is as fast as if it
// were warm.
inline reedlb::Settings many(int nodes) {
  reedlb::Settings s = reedlb::basic_settings();
  s.parallel_tries = false;
  s.peers = true;
  s.dispatchers = nodes;
  s.cold_from = 1;
  s.cold_ms = 1e6;
  s.fall_multiple = 4;
  return s;
}

struct Node {
  Node(reedlb::Settings s, int rank, reedlb::Time now, const std::vector<bool>& lives = {})
      : bench((s.rank = rank, s), static_cast<std::uint64_t>(rank) + 1) {
    bench.turns = Turns(s, now);
    bench.now = now - kJob;
    reedlb::EndpointList list;
    list.entries = {{kWarm, 0, 0, 0, reedlb::EndpointState::ready, 1, 0}};
    bench.play(list);
    if (!lives.empty())
      bench.play(reedlb::Members{lives});
    bench.arrive(1, kJob);  // from then on it knows what a usual job takes
    bench.play(reedlb::Started{1, 0});
    bench.now = now;
    bench.outcome(1, 0, reedlb::Result::ok, true);
    bench.sends.clear();
    list.entries[0] = {kCold, 0, 0, 0, reedlb::EndpointState::ready, 1, kBorn};
    bench.play(list);
  }

  // A job comes, and ends as if it took no time. True: the cold endpoint was sent it.
  bool job() {
    reedlb::RequestId id = ++last;
    bench.arrive(id, kJob);
    bool went = !bench.sends.empty();
    bench.sends.clear();
    if (went)
      bench.outcome(id, 0, reedlb::Result::cancelled, true);
    else
      bench.play(reedlb::ClientGone{id});
    return went;
  }
  // The words of turns that it has to tell.
  std::vector<reedlb::Tell> words() {
    std::vector<reedlb::Tell> out;
    for (reedlb::Tell& t : std::exchange(bench.tells, {}))
      if (read_turn(t.bytes))
        out.push_back(std::move(t));
    return out;
  }
  reedlb::ColdRoom room() const { return bench.d.cold_room(kCold, bench.now); }

  reedlb::Bench bench;
  reedlb::RequestId last = 1;
};

}  // namespace keelflow::fleet
