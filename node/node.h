/// The node: joins the parts, serves until SIGTERM and until what it had taken is done.
#pragma once

#include <memory>
#include <string>

#include "config/own_config.h"

namespace keelflow {

// The signals that the node reads from a descriptor. They are blocked before anything else is done,
// and before any thread is started: by default each of them ends the program, and one that comes
// early must not.
void block_signals();

/// The files that the node reads.
struct NodeFiles {
  std::string platform;                      // EDGE_CONFIG
  std::string own = "deploy/keelflow.sexp";  // keelflow's own settings
  bool own_given = false;                    // it was named, so that it must be there
};

/// Serves; returns the program's exit code. Throws ConfigError and std::system_error while it
/// starts.
int run_node(const NodeFiles& files);

}  // namespace keelflow
