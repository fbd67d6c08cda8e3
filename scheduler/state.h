// What the decisions keep of endpoints, requests, classes and kinds. Nothing here decides.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler/containers.h"
#include "scheduler/dispatcher.h"
#include "scheduler/peers.h"

namespace keelflow::scheduler {

enum PoolName { kOpen, kHome, kPools };  // endpoints with room, and those of them at home here

struct Endpoint : LearnedState::Health {
  EndpointEntry entry;
  double load = 0;                // own slots in flight
  int out = 0;                    // own attempts out
  int started = 0;                // of these, in work
  bool used = false;              // something was sent there in its present life
  SubsetEntry home{0, true, {}};  // at home here once it is warm; and who else is then, as was told
  SlowStartShare turn{
      {0, true, {}}, 0, 0};  // the same while it is cold, and the own part of its budget
  SlowStartGrant granted;    // of others' parts, for a while
  Told told;                 // slots of those among them that are at home there
  Window cold_sent;          // work sent while cold, or granted to others, until its end
};

enum class Fate : std::uint8_t { out, never_ran, may_have_run };
struct Attempt {
  EndpointId endpoint;
  int zone, cell;
  Time sent;
  Time started = -1;
  Fate fate = Fate::out;
  bool recalled = false;
};

struct Request {
  RequestArrived job;
  Time deadline = 0, held_since = 0;
  std::uint64_t seq = 0;
  double load = 1;  // slots or memory, whichever is more
  double size = 0;  // hint x S_tenant: what it is queued by, before B
  bool overdue = false, held = false, ended = false, streaming = false, within = false;
  std::vector<Attempt> attempts;
};

enum class Wake : std::uint8_t { deadline, overdue, late_start, reindex, dispatch, subscribe };
using Queue = std::set<std::tuple<double, std::uint64_t, RequestId>>;  // size, arrival, id

struct ClassState {
  Queue held[2];  // those that can still be in time, and the overdue
  LearnedState::Calibration learned;
};

struct KindState : LearnedState::KindSpeed {
  SampledSet pools[kPools];
  std::map<std::uint64_t, EndpointId> ring;  // ready endpoints by hash
  bool reserved = false;                     // some class cannot do without it
};

}  // namespace keelflow::scheduler
