#include "plan.h"

#include <gtest/gtest.h>

#include "config/config.h"

namespace keelflow::lab {
namespace {

const std::string kText =
    R"((experiment e (vary speed 1 0.5) (vary load 10 20) (load $load) (lasts 3s)
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
  for (const char* text :
       {"", "(experiment)", "(experiment e (clas a) (boxes b))",
        "(experiment e (class a) (boxes b) (at 1s (explode)))",
        "(experiment e (class a) (boxes b) (expect x < 3))", "(experiment e (class a))"})
    EXPECT_THROW(read_plan(text, "f", {}), ConfigError) << text;
}

const std::string kPlaces =
    R"((experiment e (class a) (zone east (region north) (nodes 2) (load 0.4)) (zone west (nodes 1))
  (boxes b (site east)) (boxes c (site west)) (at 1s CHANGE)))";

std::string with_change(const std::string& change) {
  std::string text = kPlaces;
  return text.replace(text.find("CHANGE"), 6, change);
}

TEST(Plan, ZonesHoldTheNodesAndFaultsNamePlaces) {
  Plan plan = read_plan(with_change("(split east all) (loss n0 n2 0.3) (delay north boxes:b 5ms "
                                    "2ms) (stall n1 3s) (heal all) (load 2 zone west)"),
                        "f", {});
  EXPECT_EQ(plan.nodes, 3);
  EXPECT_TRUE(plan.relays);
  EXPECT_EQ(plan.zones[0].region, "north");
  EXPECT_EQ(plan.changes.size(), 6u);
}

TEST(Plan, AnUnknownPlaceIsToldWithFileLineAndColumn) {
  for (const char* change : {"(cut n3 all)", "(cut south all)", "(cut n0)", "(split boxes:x all)",
                             "(loss n0 n1 1.5)", "(delay n0 n1 soon)", "(stall east 1s)", "(kill)",
                             "(vanish d)", "(heal east)", "(load 2 zone south)", "(load 2 a b)"})
    try {
      read_plan(with_change(change), "f", {});
      ADD_FAILURE() << change;
    } catch (const ConfigError& fault) {
      EXPECT_TRUE(std::string(fault.what()).starts_with("f:2:")) << fault.what();
    }
  EXPECT_THROW(
      read_plan("(experiment e (class a) (zone east (nodes 1)) (boxes b (site west)))", "f", {}),
      ConfigError);
}

}  // namespace
}  // namespace keelflow::lab
