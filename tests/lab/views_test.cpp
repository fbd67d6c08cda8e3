// The judge of who held whom for what: by hand, what it must count and what it must not.
#include "views.h"

#include <gtest/gtest.h>

namespace keelflow::lab {
namespace {

Views::Truth all_well(double at) {
  return {at, {true, true, true}, std::vector<std::vector<bool>>(3, std::vector<bool>(3, true))};
}

TEST(Views, ADeathCountsUntilTheLastKnows) {
  Views views;
  views.now(all_well(10'000));
  Views::Truth dead = all_well(20'000);
  dead.well[2] = false;
  views.now(dead);
  views.end(30'000);
  views.read(0,
             "time=1970-01-01T00:00:21.000Z level=warning subsystem=fleet event=member member=2 "
             "from=suspect to=dead incarnation=1 evidence=\"no answer to n0\"\n");
  views.read(1,
             "time=1970-01-01T00:00:22.500Z level=warning subsystem=fleet event=member member=2 "
             "from=suspect to=dead incarnation=1 evidence=\"no answer to n0\"\n");
  EXPECT_DOUBLE_EQ(views.agree_s(), 2.5);
  EXPECT_EQ(views.false_deaths(), 0);
}

TEST(Views, WhoNeverAgreesHasTakenAllTheTimeThereWas) {
  Views views;
  Views::Truth dead = all_well(20'000);
  dead.well[2] = false;
  views.now(dead);
  views.end(30'000);
  EXPECT_DOUBLE_EQ(views.agree_s(), 10);
}

TEST(Views, AVerdictOnOneThatWasWellAndHeardIsFalse) {
  Views views;
  views.now(all_well(10'000));
  views.end(30'000);
  views.read(0,
             "time=1970-01-01T00:00:21.000Z level=warning subsystem=fleet event=member member=2 "
             "from=suspect to=dead incarnation=1 evidence=\"no answer to n0\"\n"
             "time=1970-01-01T00:00:22.000Z level=warning subsystem=fleet event=member member=1 "
             "from=alive to=dead incarnation=1 evidence=\"it said that it ends\"\n");
  EXPECT_EQ(views.false_deaths(), 1);
  Views cut;
  cut.now(all_well(10'000));
  Views::Truth deaf = all_well(19'000);
  deaf.hears[0][2] = false;
  cut.now(deaf);
  cut.end(30'000);
  cut.read(0,
           "time=1970-01-01T00:00:21.000Z level=warning subsystem=fleet event=member member=2 "
           "from=suspect to=dead incarnation=1 evidence=x\n");
  EXPECT_EQ(cut.false_deaths(), 0);
}

}  // namespace
}  // namespace keelflow::lab
