/// Tests of the factor between cost hints and running times that is learned for each class.
#include "scheduler/cost_calibration.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace keelflow::scheduler {
namespace {

Request request_with_hint(double hint, int class_index = 0) {
  Request request;
  request.arrival.hint = hint;
  request.arrival.class_index = class_index;
  return request;
}

TEST(CostCalibration, TheCostIsTheHintBeforeTheFirstRun) {
  CostCalibration calibration(1);
  EXPECT_DOUBLE_EQ(calibration.factor(0), 1);
  EXPECT_DOUBLE_EQ(calibration.calibrated_cost(request_with_hint(120)), 120);
}

TEST(CostCalibration, ARunMovesOnlyTheFactorOfItsClassATenthOfTheWayToTheMeasuredRatio) {
  CostCalibration calibration(2);
  calibration.record_run(request_with_hint(100, 1), 300);
  EXPECT_DOUBLE_EQ(calibration.factor(1), 1.2);
  EXPECT_DOUBLE_EQ(calibration.calibrated_cost(request_with_hint(50, 1)), 60);
  EXPECT_DOUBLE_EQ(calibration.factor(0), 1);
}

TEST(CostCalibration, TheRatioOfARunIsClampedToBetweenAnEighthAndEight) {
  CostCalibration calibration(2);
  calibration.record_run(request_with_hint(100, 0), 1e6);
  EXPECT_DOUBLE_EQ(calibration.factor(0), 1 + 0.1 * (8 - 1));
  calibration.record_run(request_with_hint(100, 1), 0);
  EXPECT_DOUBLE_EQ(calibration.factor(1), 1 + 0.1 * (1.0 / 8 - 1));
}

TEST(CostCalibration, TheMeanHintOfAClassIsTheDefaultUntilAHintIsRecorded) {
  CostCalibration calibration(2);
  EXPECT_DOUBLE_EQ(calibration.mean_hint(0, 77), 77);
  calibration.record_hint(0, 100);
  calibration.record_hint(0, 300);
  EXPECT_DOUBLE_EQ(calibration.mean_hint(0, 77), 200);
  EXPECT_DOUBLE_EQ(calibration.mean_hint(1, 77), 77);
}

TEST(CostCalibration, RenumberedClassesKeepTheirFactors) {
  CostCalibration calibration(2);
  calibration.record_run(request_with_hint(100, 1), 300);
  calibration.renumber({1, -1, 0}, 3);
  EXPECT_DOUBLE_EQ(calibration.factor(0), 1.2);
  EXPECT_DOUBLE_EQ(calibration.factor(1), 1);
  EXPECT_DOUBLE_EQ(calibration.factor(2), 1);
}

TEST(CostCalibration, RestoresTheLearnedFactorAndMeanHint) {
  CostCalibration calibration(1);
  calibration.record_run(request_with_hint(100), 300);
  calibration.record_hint(0, 40);
  CostCalibration restored(1);
  restored.restore(calibration.learned());
  EXPECT_DOUBLE_EQ(restored.factor(0), 1.2);
  EXPECT_DOUBLE_EQ(restored.mean_hint(0, 77), 40);
  EXPECT_THROW(restored.restore({}), std::out_of_range);
}

}  // namespace
}  // namespace keelflow::scheduler
