/// \file
/// Reloads both configuration files on SIGHUP.
#pragma once

#include "config/config.h"
#include "config/own_config.h"
#include "config/retune.h"
#include "core/counters.h"
#include "core/engine.h"
#include "discovery/destination_set.h"
#include "invariants/monitor.h"
#include "node.h"
#include "outbound/outbound.h"
#include "plugins/plugins.h"
#include "routes/traffic.h"

namespace keelflow {

/// Applies changed configuration files to the running node. From the platform's file a reload
/// applies the settings and the address of discovery; the listen addresses, the limits of the
/// process and the peers change only at a restart. From the node's own file a reload applies pools,
/// routes, moves, plug-ins and the log; the listeners change only at a restart. Both files are read
/// before anything changes: an invalid file changes nothing, and is logged and counted.
class ConfigReload {
 public:
  /// The parts that a reload changes. All must outlive the ConfigReload.
  struct Parts {
    const NodeFiles& files;
    Config& config;    ///< Replaced by a reload.
    config::Own& own;  ///< Replaced by a reload.
    Engine& engine;
    Traffic& traffic;
    DestinationSet& destinations;
    Pool& connections;
    Outbound& outbound;
    Plugins& plugins;
    invariants::Monitor& monitor;
    Counters& counters;
  };
  explicit ConfigReload(const Parts& parts) : parts_(parts) {}

  void run();

 private:
  // Passes on the exceptions of the file readers; nothing has changed when it throws.
  void read_and_apply();
  void apply(Retuned next);

  Parts parts_;
};

}  // namespace keelflow
