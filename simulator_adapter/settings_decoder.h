/// Converts settings in text form, one PATH=VALUE per line, to the scheduler's settings.
#pragma once

#include <stdexcept>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::simulator_adapter {

/// Thrown for settings that cannot be parsed; the message names the key and the error.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws SettingsError on malformed settings.
scheduler::Settings read_settings(std::string_view text);

}  // namespace keelflow::simulator_adapter
