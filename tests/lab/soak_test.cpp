// What the soak draws: whole experiments, the same ones from the same seed, and in all of them
// together every fault.
#include "soak.h"

#include <gtest/gtest.h>

#include <set>

#include "plan.h"

namespace keelflow::lab {
namespace {

constexpr std::uint64_t kSeeds = 200;

TEST(Soak, EachDrawIsAnExperimentWithADrain) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SoakDraw drawn = draw_soak(seed, {});
    EXPECT_TRUE(drawn.drains) << seed;
    Plan plan = read_plan(drawn.text, "soak", {});
    EXPECT_EQ(plan.nodes, 30) << seed;
    EXPECT_GE(plan.configured, plan.nodes) << seed;
    EXPECT_GE(plan.expectations.size(), 3u) << seed;
  }
}

TEST(Soak, TheSameSeedDrawsTheSame) {
  EXPECT_EQ(draw_soak(7, {}).text, draw_soak(7, {}).text);
  EXPECT_NE(draw_soak(7, {}).text, draw_soak(8, {}).text);
}

TEST(Soak, AllFaultsAreDrawn) {
  std::set<std::string> kinds;
  double most_configured = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SoakDraw drawn = draw_soak(seed, {});
    kinds.merge(drawn.kinds);
    most_configured = std::max(most_configured, read_plan(drawn.text, "soak", {}).configured);
  }
  EXPECT_EQ(kinds, (std::set<std::string>{"calls", "clock", "crash", "cut-answers",
                                          "discovery-down", "drain", "kill", "reload", "remove",
                                          "silence", "stall", "syscalls", "unwatch"}));
  EXPECT_GT(most_configured, 800);
}

}  // namespace
}  // namespace keelflow::lab
