/// Updates of the calibration factors.
#include "scheduler/cost_calibration.h"

#include <algorithm>

#include "scheduler/hashing.h"

namespace keelflow::scheduler {
namespace {

// Samples are clamped to this value and its inverse, because running times are heavy-tailed.
constexpr double kMaxSampleRatio = 8;

}  // namespace

void CostCalibration::renumber(const std::vector<int>& learned_from, std::size_t classes) {
  std::vector<LearnedState::Calibration> former = classes_;
  classes_.resize(classes);
  for (std::size_t i = 0; i < classes; ++i) {
    int from = learned_from[i];
    classes_[i] = from < 0 ? LearnedState::Calibration{} : former[to_index(from)];
  }
}

void CostCalibration::record_hint(int class_index, double hint) {
  LearnedState::Calibration& learned = classes_[to_index(class_index)];
  learned.hint_sum += hint;
  ++learned.hint_count;
}

double CostCalibration::mean_hint(int class_index, double fallback) const {
  const LearnedState::Calibration& learned = classes_[to_index(class_index)];
  return learned.hint_count > 0 ? learned.hint_sum / learned.hint_count : fallback;
}

void CostCalibration::record_run(const Request& request, double run_ms) {
  double& factor = classes_[to_index(request.arrival.class_index)].factor;
  double sample = std::clamp(run_ms / request.arrival.hint, 1 / kMaxSampleRatio, kMaxSampleRatio);
  factor += kEmaStep * (sample - factor);
}

void CostCalibration::restore(const std::vector<LearnedState::Calibration>& learned) {
  for (std::size_t i = 0; i < classes_.size(); ++i)
    classes_[i] = learned.at(i);
}

}  // namespace keelflow::scheduler
