/// The node process: connects its components and serves until SIGTERM. It exits after the requests
/// that it had accepted are finished.
#pragma once

#include <memory>
#include <string>

#include "config/own_config.h"

namespace keelflow {

/// Blocks the signals that the node reads from a descriptor. Must be called first, before any
/// thread is started: by default each of these signals ends the program, and a signal that arrives
/// early must not do so.
void block_signals();

/// The files that the node reads.
struct NodeFiles {
  std::string platform;                      ///< Value of EDGE_CONFIG.
  std::string own = "deploy/keelflow.sexp";  ///< keelflow's own settings.
  bool is_own_path_given = false;            ///< Named explicitly, so it must exist.
};

/// Runs the node and returns the program's exit code. Throws ConfigError and std::system_error
/// during startup.
int run_node(const NodeFiles& files);

}  // namespace keelflow
