// The soak: experiments drawn from a seed, with random faults that overlap, round real processes,
// judged from outside by the rules. The same seed draws the same experiment.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace keelflow::lab {

struct SoakOptions {
  int processes = 30, seconds = 40;
};

struct SoakDraw {
  std::string text;             // the experiment
  std::set<std::string> kinds;  // of faults that were drawn
  bool drains = false;          // some endpoints drain or leave the list
};

SoakDraw draw_soak(std::uint64_t seed, const SoakOptions& options);

}  // namespace keelflow::lab
