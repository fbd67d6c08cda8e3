// What the decisions keep of workers, requests, classes and kinds. Nothing here decides.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "containers.h"
#include "peers.h"
#include "reedlb/dispatcher.h"

namespace reedlb {

constexpr double kFirstCap = 2;  // learned cap before anything is known

enum PoolName { kOpen, kHome, kPools };  // workers with room, and those of them at home here

struct Worker {
  WorkerEntry entry;
  double load = 0;         // own slots in flight
  double cap = kFirstCap;  // learned: own slots it may hold
  int out = 0;             // own attempts out
  int started = 0;         // of these, in work
  double slow = 1;         // run times here over corrected hints, as if it were warm
  int strikes = 0;         // signs of illness since the last good one
  int faults = 0;          // attempts that failed there since the last that was served
  Time shut_until = 0;     // left alone before this
  int rank = 0;            // this dispatcher's place in the worker's own order of dispatchers
  std::vector<int> order;  // the others, in that order
  Told told;               // slots of those among them that are at home there
  Window cold_sent, told_sent;  // work sent within the last window while cold, here and by others
};

enum class Fate : std::uint8_t { out, never_ran, may_have_run };
struct Attempt {
  WorkerId worker;
  int zone, cell;
  Time sent;
  Time started = -1;
  Fate fate = Fate::out;
  bool recalled = false;
};

struct Request {
  Arrival job;
  Time deadline = 0, held_since = 0;
  std::uint64_t seq = 0;
  double load = 1;  // slots or memory, whichever is more
  double size = 0;  // hint x S_tenant: what it is queued by, before B
  bool overdue = false, held = false, ended = false, streaming = false, within = false;
  std::vector<Attempt> attempts;
};

enum class Wake : std::uint8_t { deadline, overdue, late_start, reindex, dispatch, subscribe };
using Queue = std::set<std::tuple<double, std::uint64_t, RequestId>>;  // size, arrival, id

struct Learned {      // of a class, also under another number
  double factor = 1;  // B
  double hint_sum = 0, hint_count = 0;
  void add(double hint) { hint_sum += hint, ++hint_count; }
};
struct ClassState {
  Queue held[2];  // those that can still be in time, and the overdue
  Learned learned;
};

struct KindState {
  SampledSet pools[kPools];
  std::map<std::uint64_t, WorkerId> ring;  // ready workers by hash
  double cores = 1;                        // most own jobs in work at once on a warm worker
  double slow = 1;                         // run times on warm workers over corrected hints
  bool reserved = false;                   // some class cannot do without it
};

}  // namespace reedlb
