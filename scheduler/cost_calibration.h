/// DriftSched: the calibrated cost of a request is its hint times a factor that each class learns,
/// the EMA of measured over hinted running times.
#pragma once

#include <vector>

#include "scheduler/hashing.h"
#include "scheduler/learned_state.h"
#include "scheduler/request.h"

namespace keelflow::scheduler {

/// EMA step of the calibration factors and of the other averages.
constexpr double kEmaStep = 0.1;

/// Owns what each class of requests has learned of its hints.
class CostCalibration {
 public:
  explicit CostCalibration(std::size_t classes) : classes_(classes) {}

  /// Classes are numbered anew: for each the number it had, or -1.
  void renumber(const std::vector<int>& learned_from, std::size_t classes);

  double factor(int class_index) const { return classes_[to_index(class_index)].factor; }
  /// The cost that is to be expected of the request on an endpoint of usual speed, in ms.
  double calibrated_cost(const Request& request) const {
    return request.arrival.hint * factor(request.arrival.class_index);
  }

  void record_hint(int class_index, double hint);
  /// What a request without a hint counts as; `otherwise` where there was no hint yet.
  double mean_hint(int class_index, double otherwise) const;
  /// An attempt was served in `run_ms`.
  void record_run(const Request& request, double run_ms);

  const std::vector<LearnedState::Calibration>& learned() const { return classes_; }
  /// Throws std::out_of_range where there are fewer classes in it.
  void restore(const std::vector<LearnedState::Calibration>& learned);

 private:
  std::vector<LearnedState::Calibration> classes_;
};

}  // namespace keelflow::scheduler
