/// A recording of one random scenario: a line of text for each input and output, in a fixed format
/// that does not depend on identifiers in the code. Builds with equal decisions write equal lines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::replay {

/// Counts lines and computes their hash (FNV-1a, 64 bits). Keeps the text only if REPLAY_TRACE is
/// set.
class Recording {
 public:
  explicit Recording(std::string name);
  /// Writes the text to the folder in the environment variable REPLAY_TRACE, if set.
  ~Recording();
  Recording(const Recording&) = delete;
  Recording& operator=(const Recording&) = delete;

  void line(std::string_view text);
  std::uint64_t hash() const { return hash_; }
  std::uint64_t lines() const { return lines_; }
  const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::string text_;
  bool keep_text_;
  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
  std::uint64_t lines_ = 0;
};

/// The shortest decimal form that converts back to the same number.
std::string text_of(double value);
std::string hex_of(std::string_view bytes);
std::string text_of(const scheduler::Event& event);
std::string text_of(const scheduler::Action& action);
std::string text_of(const scheduler::EndpointList& list);

/// A random number generator (splitmix64) that is independent of the standard library and of the
/// generators of the code under test.
class Rng {
 public:
  explicit Rng(std::uint64_t seed) : state_(seed) {}
  std::uint64_t bits();
  double unit();                            // in [0, 1)
  double between(double low, double high);  // in [low, high)
  int below(int bound);                     // 0 to bound - 1
  bool chance(double probability) { return unit() < probability; }

 private:
  std::uint64_t state_;
};

/// Fails the test unless the recording matches the line `NAME LINES HASH` of
/// tests/replay/recordings/decisions.txt.
void expect_recorded(const Recording& recording);

}  // namespace keelflow::replay
