// Reads the start-up settings (path=value lines) into the library's Settings. Translation only.
#pragma once

#include <stdexcept>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::simulator_adapter {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

scheduler::Settings read_settings(std::string_view profile);  // throws SettingsError naming the key

}  // namespace keelflow::simulator_adapter
