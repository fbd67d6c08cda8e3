/// Hash function and random number generator for scheduling decisions, with identical results on
/// every machine.
#pragma once

#include <cstddef>
#include <cstdint>

namespace keelflow::scheduler {

/// The splitmix64 hash function.
inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// A pseudorandom number generator whose output depends only on the seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(mix(seed)) {}

  /// The next number in [0, 1).
  double operator()() {
    state_ = mix(state_);
    return static_cast<double>(state_ >> 11) * 0x1p-53;
  }

 private:
  std::uint64_t state_;
};

/// Converts a position that is known to be non-negative to an index.
constexpr std::size_t to_index(int position) {
  return static_cast<std::size_t>(position);
}

}  // namespace keelflow::scheduler
