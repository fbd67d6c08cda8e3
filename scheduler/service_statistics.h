/// Statistics of running times and start delays of attempts: by endpoint, kind, zone, and overall.
#pragma once

#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/learned_state.h"
#include "scheduler/settings.h"

namespace keelflow::scheduler {

/// Owns the averages.
class ServiceStatistics {
 public:
  explicit ServiceStatistics(const Settings& settings) { resize(settings); }

  /// Adapts to changed numbers of kinds and zones.
  void resize(const Settings& settings);
  /// Initializes the ratio of a new incarnation to that of its kind.
  void reset(EndpointSlot slot, int kind);

  /// EMA of running time over calibrated cost, corrected for slow start.
  double service_time_ratio(EndpointSlot slot) const { return ratios_[slot]; }
  double kind_service_time_ratio(int kind) const;
  /// Records a measured ratio. The average of the kind is not updated while the endpoint is warming
  /// up.
  void record_ratio(EndpointSlot slot, int kind, double ratio, bool is_warming_up);

  /// The most attempts of this dispatcher seen running at once on a warmed-up endpoint of this
  /// kind.
  double observed_cores(int kind) const;
  void record_concurrent_attempts(int kind, int attempts);

  /// EMA of the running times of this dispatcher's attempts, in ms.
  double mean_running_time_ms() const { return mean_running_time_ms_; }
  void record_run(double run_ms);

  /// The time after which an attempt that has not started is late, in ms.
  double start_timeout(int zone, double tick_ms) const;
  void record_start_delay(int zone, double delay_ms);

  const std::vector<LearnedState::KindSpeed>& kinds() const { return kinds_; }
  const std::vector<double>& mean_start_delays() const { return mean_start_delays_; }
  /// Throws std::out_of_range if `learned` has fewer kinds than the settings given to resize().
  void restore(const LearnedState& learned);
  void restore(EndpointSlot slot, double ratio) { ratios_[slot] = ratio; }

 private:
  std::vector<double> ratios_;  // service time ratios, by EndpointSlot
  std::vector<LearnedState::KindSpeed> kinds_;
  std::vector<double> mean_start_delays_;  // by zone
  double mean_running_time_ms_ = 0;
};

}  // namespace keelflow::scheduler
