/// What SIGHUP does: both configuration files are read again and taken over.
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

/// Of the platform's file the settings and the discovery are taken over; the addresses to listen
/// on, the limits of the process and the peers hold until a restart. Of our own file pools, routes,
/// moves, plug-ins and the log are taken over, and what listens holds until a restart. All is read
/// before anything changes: a bad file changes nothing, and is logged and counted.
class ConfigReload {
 public:
  /// All must outlive it.
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
  void read_and_apply();  // throws what the readers throw, before anything has changed
  void apply(Retuned next);

  Parts parts_;
};

}  // namespace keelflow
