/// A random scenario of several Dispatchers that share endpoints. Events are drawn from a seed and
/// depend on the actions of the Dispatchers. Endpoints, clients and the network between Dispatchers
/// are simulated.
#pragma once

#include "recording.h"

namespace keelflow::replay {

/// Parameters of a scenario. Each flag adds events that the default scenario does not have.
struct ScenarioOptions {
  std::string name;
  std::uint64_t seed = 1;
  int dispatchers = 1;
  int endpoints = 12;
  double length_ms = 6000;
  double load = 0.7;  // offered work as a fraction of the capacity of all endpoints
  bool parallel_attempts = false;
  bool polls_list = false;  // the endpoint list is polled, not pushed
  bool peers = false;
  bool retry_after = false;
  bool start_reports = true;
  bool keys = false;
  bool several_classes = true;
  bool tenants = false;
  bool endpoint_restarts = false;  // endpoints restart during the scenario
  bool faulty_endpoints = false;   // some endpoints fail, reject or do not respond
  bool settings_change = false;
  /// A Dispatcher is replaced by a new one that restores the learned state of the old one.
  bool dispatcher_restarts = false;
  bool sibling = false;  // runs a second process of the first node
  bool members_change = false;
  bool sends_forbidden = false;  // sending is forbidden for random periods
  bool clients_disconnect = false;
  bool cancel = true;
  int attempts = 4;
};

/// Runs the scenario and adds its inputs and outputs to the recording.
void run_scenario(const ScenarioOptions& options, Recording& recording);

}  // namespace keelflow::replay
