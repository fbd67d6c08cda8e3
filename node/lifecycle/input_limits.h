/// \file
/// Divides the memory of the process among the listeners' unfinished input.
#pragma once

#include <cstddef>

namespace keelflow {

/// Bytes that the unfinished input of all connections of a listener may hold.
struct InputLimits {
  std::size_t platform, progress;
};

/// `memory_mb`: what the platform lets the process use, in MiB. The rest is for complete requests,
/// whose number the descriptors limit, and for answers.
constexpr InputLimits divide_input_memory(std::size_t memory_mb) {
  std::size_t bytes = memory_mb << 20;
  return {.platform = bytes / 4, .progress = bytes / 12};
}

}  // namespace keelflow
