/// Reads settings in text form, a line PATH=VALUE each, into those of the scheduler. Translation
/// only.
#pragma once

#include <stdexcept>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::simulator_adapter {

/// Settings that cannot be read; the text names the key and the fault.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws SettingsError.
scheduler::Settings read_settings(std::string_view text);

}  // namespace keelflow::simulator_adapter
