/// Estimates the congestion of the fleet: an EMA over attempt outcomes, in which a late start or a
/// failed attempt counts as 1 and a timely start as 0.
#pragma once

#include "scheduler/cost_calibration.h"

namespace keelflow::scheduler {

/// Above this level overdue requests stay queued, and attempts that have not started are not
/// cancelled where a request may have only one attempt at a time.
constexpr double kCongestionThreshold = 0.5;

/// The congestion level: 0 if recent attempts all started in time, 1 if they all started late or
/// failed.
class Congestion {
 public:
  double level() const { return level_; }
  bool is_high() const { return level_ > kCongestionThreshold; }
  void record_congested() { level_ += kEmaStep * (1 - level_); }
  void record_timely_start() { level_ -= kEmaStep * level_; }
  /// Decays the level while nothing can be sent and no new outcomes arrive.
  void fade() { level_ *= 1 - kEmaStep / 10; }
  void restore(double level) { level_ = level; }

 private:
  double level_ = 0;
};

}  // namespace keelflow::scheduler
