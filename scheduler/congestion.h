/// How congested the fleet looks: an EMA of the latest signs, of which late starts and rejections
/// count 1 and starts in time 0.
#pragma once

#include "scheduler/cost_calibration.h"

namespace keelflow::scheduler {

/// Above this the overdue wait, and silent attempts are left where they are.
constexpr double kCongestionThreshold = 0.5;

/// A level between 0, no late start or rejection of late, and 1, nothing else.
class Congestion {
 public:
  double level() const { return level_; }
  bool is_high() const { return level_ > kCongestionThreshold; }
  void record_congested() { level_ += kEmaStep * (1 - level_); }
  void record_timely_start() { level_ -= kEmaStep * level_; }
  /// With nothing sent it fades.
  void fade() { level_ *= 1 - kEmaStep / 10; }
  void restore(double level) { level_ = level; }

 private:
  double level_ = 0;
};

}  // namespace keelflow::scheduler
