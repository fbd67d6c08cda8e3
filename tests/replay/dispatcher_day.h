// A drawn day of several Dispatchers that share endpoints: what happens is drawn from a seed, and
// what the Dispatchers do decides what happens next. The endpoints, the network between the
// Dispatchers and the clients are played here.
#pragma once

#include "recording.h"

namespace keelflow::replay {

/// What is unusual about a day; each switch brings in events that the plain day lacks.
struct ScenarioOptions {
  std::string name;
  std::uint64_t seed = 1;
  int dispatchers = 1;
  int endpoints = 12;
  double length_ms = 6000;
  double load = 0.7;  // offered work over what all endpoints can do
  bool parallel_attempts = false;
  bool polls_list = false;  // the list has to be asked for
  bool peers = false;
  bool retry_after = false;
  bool start_reports = true;
  bool keys = false;
  bool several_classes = true;
  bool tenants = false;
  bool endpoint_restarts = false;  // endpoints start again during the day
  bool faulty_endpoints = false;   // some fail, refuse or hang
  bool settings_change = false;
  bool dispatcher_restarts =
      false;             // a Dispatcher is replaced by one that is told what the former had learned
  bool sibling = false;  // a second process of the same node
  bool members_change = false;
  bool sends_forbidden = false;  // for a while now and then
  bool clients_disconnect = false;
  bool cancel = true;
  int attempts = 4;
};

/// Plays the day and returns what was recorded.
void run_scenario(const ScenarioOptions& options, Recording& recording);

}  // namespace keelflow::replay
