// The (plugins ...) of the node's file. docs/operators/plugins.md lists every setting.
#pragma once

#include <string>
#include <vector>

#include "plugins/breaker.h"
#include "plugins/manifest.h"

namespace keelflow::plugins {

struct Settings {
  std::string folder = "plugins";
  double most_held = 1000, most_held_kb = 4096;  // that plug-ins hold back, all together
  Duration most_hold = std::chrono::seconds(2);
  double in_flight = 256;  // calls at one host
  Duration silence = std::chrono::milliseconds(500);
  double nice = 5;
  BreakerSettings breaker;
  std::vector<Wanted> plugins;  // in their order
};

}  // namespace keelflow::plugins
