// Reads the start-up settings (path=value lines) into the library's Settings. Translation only.
#pragma once

#include <stdexcept>
#include <string_view>

#include "reedlb/dispatcher.h"

namespace reedlb::wire {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Settings read_settings(std::string_view profile);  // throws SettingsError naming the key

}  // namespace reedlb::wire
