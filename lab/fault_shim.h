// What the lab and the shim that it loads into its nodes share: one small mapped file for each
// node.
#pragma once

#include <atomic>
#include <cstdint>

namespace keelflow::lab {

constexpr const char* kShimFile = "KEELFLOW_FAULT_FILE";  // environment variable: the file's path

struct ShimControl {
  std::atomic<std::int64_t> wall_clock_offset_ns;             // added to CLOCK_REALTIME
  std::atomic<std::uint32_t> failing_per_million;             // system calls that fail for a moment
  std::atomic<std::uint32_t> short_per_million;               // reads and writes that move one byte
  std::atomic<std::uint64_t> failed, shortened, clock_reads;  // how often that was done
};

}  // namespace keelflow::lab
