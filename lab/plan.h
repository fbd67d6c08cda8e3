// An experiment, as a file of S-expressions says it. docs/operators/lab.md has the form.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/sexp.h"
#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow::lab {

struct ClassPlan {
  std::string name;
  scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
  Duration window{}, target = from_ms(300), patience = from_ms(2000);
  double objective_runtime_factor = 1.5, value = 1, share = 1;
  Duration run = from_ms(40);  // usual running time on a standard core
  double spread = 0.4;         // sigma of its logarithm
  Duration checkpoint{};       // safe classes: see Work
  double retries = 2;  // further tries after a refusal, or a failure where the class allows it
};

struct BoxPlan {  // some boxes that are alike; their hosts are NAME-1, NAME-2, ...
  std::string name, site = "east";
  double count = 4, cores = 4, speed = 1, queue = 16;
  bool cold = false;  // they start with the experiment
};

struct ZonePlan {
  std::string name, region = "home";
  double nodes = 1, load = 1;  // load: its part of the clients, beside the other zones'
};

struct Change {  // something that happens at a moment
  Duration at{};
  std::string verb;                 // plan.cpp has them all
  std::vector<config::Node> words;  // what follows the verb
};

struct Expectation {
  std::string metric, op;
  double value = 0;
};

struct Plan {
  std::string name;
  double configured = 0;  // processes that each node's settings name; 0: as many as there are
  double nodes = 2, load = 100, tenants = 4, objects = 5000,
         rude = 0;         // rude: share of clients that ignore Retry-After
  double quitters = 0;     // share of clients that leave before their time is over
  double cut_answers = 0;  // share of the boxes' 202s that lack the end of their body
  double failing_calls = 0,
         short_calls =
             0;  // share of the nodes' system calls that fail for a moment, or move one byte
  Duration lasts = std::chrono::seconds(15), progress = std::chrono::seconds(1);
  double slow_start_initial_fraction = 0.14;
  Duration cold = std::chrono::seconds(20);
  bool pushed = false;  // lists; else nodes ask for them
  Duration ask_within = std::chrono::seconds(10);
  bool peers = false;       // nodes may send one another datagrams
  bool needs_shim = false;  // system calls fail, or wall clocks are stepped
  bool relays = false;      // links go through the lab's network; always so with zones, peers, or a
                            // fault of links
  std::vector<ZonePlan> zones;  // in whose order the nodes are numbered; none: nodes know no zones
  std::vector<ClassPlan> classes;
  std::vector<BoxPlan> boxes;
  std::vector<Change> changes;
  std::vector<Expectation> expectations;
  std::string plugins;   // a folder of plug-ins, which the nodes have as "plugins"
  std::string settings;  // keelflow.sexp, but for the admin socket
};

struct Variant {
  std::string name;                           // "slow=2", empty for the only one
  std::map<std::string, std::string> values;  // what stands for $NAME
};

// All variants that the file's (vary NAME VALUE ...) lines make together. Throws ConfigError with
// all faults.
std::vector<Variant> variants(const std::string& text, const std::string& file);
Plan read_plan(const std::string& text, const std::string& file, const Variant& variant);

}  // namespace keelflow::lab
