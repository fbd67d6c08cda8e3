/// The hash function common to all nodes.
#pragma once

#include <cstdint>

namespace keelflow::fleet {

/// splitmix64
inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

}  // namespace keelflow::fleet
