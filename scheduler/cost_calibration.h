/// Cost calibration (DriftSched): the calibrated cost of a request is its hint times a factor of
/// its class, which is the EMA of measured over hinted running times.
#pragma once

#include <vector>

#include "scheduler/hashing.h"
#include "scheduler/learned_state.h"
#include "scheduler/request.h"

namespace keelflow::scheduler {

/// EMA step of the calibration factors and of the other averages.
constexpr double kEmaStep = 0.1;

/// Owns the calibration factor and the mean hint of each request class.
class CostCalibration {
 public:
  explicit CostCalibration(std::size_t classes) : classes_(classes) {}

  /// Renumbers the classes: `learned_from` holds the previous number of each class, or -1 for a new
  /// one.
  void renumber(const std::vector<int>& learned_from, std::size_t classes);

  double factor(int class_index) const { return classes_[to_index(class_index)].factor; }
  /// The expected running time of the request on an endpoint of average speed, in ms.
  double calibrated_cost(const Request& request) const {
    return request.arrival.hint * factor(request.arrival.class_index);
  }

  void record_hint(int class_index, double hint);
  /// The mean hint of the class, used for requests without a hint; `fallback` before the first
  /// hint.
  double mean_hint(int class_index, double fallback) const;
  /// Updates the factor with the running time of a successful attempt.
  void record_run(const Request& request, double run_ms);

  const std::vector<LearnedState::Calibration>& learned() const { return classes_; }
  /// Throws std::out_of_range if `learned` has fewer classes than this object.
  void restore(const std::vector<LearnedState::Calibration>& learned);

 private:
  std::vector<LearnedState::Calibration> classes_;
};

}  // namespace keelflow::scheduler
