// What a running node makes of a configuration that is read again: class, zone, kind and tenant
// numbers that are in use keep their meaning, and names that come get further ones.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/config.h"

namespace keelflow {

struct Retuned {
  Config
      config;  // with the address to listen on, limits of the process, seed and peers as they were
  std::vector<int> from;  // see scheduler::SettingsChanged
};

// A class that has changed gets a number of its own, as jobs under way keep the class that they
// came with; it starts with what was learned of it. Numbers of classes that are gone are given out
// again once no job has them: `in_use`. Throws ConfigError where the file lacks a key that the
// former one had, and on settings that cannot be.
Retuned retune(const Config& now, Config fresh, const std::function<bool(int)>& in_use);

}  // namespace keelflow
