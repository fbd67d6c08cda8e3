#include "plan.h"

#include <gtest/gtest.h>

#include "config/config.h"

namespace keelflow::lab {
namespace {

const std::string kText = R"((experiment e (vary speed 1 0.5) (vary load 10 20) (load $load) (lasts 3s)
  (class a (effect keyed) (window 2s)) (boxes b (count 2) (speed $speed))
  (settings (pool p (host "x y")) (route r (to (p 1)))) (at 1s (load 2) (crash b 0.5)) (expect rules = 0)))";

TEST(Plan, VariantsMultiplyAndStandInForTheirNames) {
  auto all = variants(kText, "f");
  ASSERT_EQ(all.size(), 4u);
  EXPECT_EQ(all[3].name, "speed=0.5 load=20");
  Plan plan = read_plan(kText, "f", all[3]);
  EXPECT_EQ(plan.load, 20);
  EXPECT_EQ(plan.boxes[0].speed, 0.5);
  EXPECT_EQ(plan.classes[0].window, std::chrono::seconds(2));
  ASSERT_EQ(plan.changes.size(), 2u);
  EXPECT_EQ(plan.changes[1].verb, "crash");
  EXPECT_EQ(plan.settings, "(pool p (host \"x y\"))\n(route r (to (p 1)))\n");
}

TEST(Plan, FaultsAreToldWithTheirPlace) {
  for (const char* text : {"", "(experiment)", "(experiment e (clas a) (boxes b))", "(experiment e (class a) (boxes b) (at 1s (explode)))",
                           "(experiment e (class a) (boxes b) (expect x < 3))", "(experiment e (class a))"})
    EXPECT_THROW(read_plan(text, "f", {}), ConfigError) << text;
}

}  // namespace
}  // namespace keelflow::lab
