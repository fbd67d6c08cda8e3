// A recording of one drawn day: a line of text for each input and each output, in a fixed form that
// does not depend on how the code names things. Two builds that decide alike write the same lines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::replay {

/// Collects lines and their hash (FNV-1a, 64 bits). The text itself is kept only where a trace was
/// asked for.
class Recording {
 public:
  explicit Recording(std::string name);
  /// Writes the text to the folder that REPLAY_TRACE names, if it names one.
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

/// A number in the shortest decimal form that gives back every bit of it.
std::string text_of(double value);
std::string hex_of(std::string_view bytes);
std::string text_of(const scheduler::Event& event);
std::string text_of(const scheduler::Action& action);
std::string text_of(const scheduler::EndpointList& list);

/// A generator of its own, so that the drawn days depend on no library and on no generator of the
/// code under test.
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

/// Compares with the line `NAME LINES HASH` of tests/replay/recordings/decisions.txt; a difference
/// fails the test.
void expect_recorded(const Recording& recording);

}  // namespace keelflow::replay
