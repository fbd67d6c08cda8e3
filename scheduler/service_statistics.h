/// How fast attempts start and run: by endpoint, kind, zone, and over all.
#pragma once

#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/learned_state.h"
#include "scheduler/settings.h"

namespace keelflow::scheduler {

/// Owns the averages; ratios of endpoints by slot.
class ServiceStatistics {
 public:
  explicit ServiceStatistics(const Settings& settings) { resize(settings); }

  /// The numbers of kinds and zones have changed.
  void resize(const Settings& settings);
  /// A new incarnation: until it has shown its own ratio it has that of its kind.
  void reset(EndpointSlot slot, int kind);

  /// Running times over calibrated costs, as if the endpoint had warmed up.
  double service_time_ratio(EndpointSlot slot) const { return ratios_[slot]; }
  double kind_service_time_ratio(int kind) const;
  /// `ratio` was measured. While the endpoint warms up its kind learns nothing from it.
  void record_ratio(EndpointSlot slot, int kind, double ratio, bool is_warming_up);

  /// The most own attempts that were seen to run at once at an endpoint of that kind that has
  /// warmed up.
  double observed_cores(int kind) const;
  void record_running(int kind, int attempts);

  /// EMA of the running times of own attempts, in ms.
  double mean_run() const { return mean_run_; }
  void record_run(double run_ms);

  /// How long an attempt may take to start before it is late.
  double start_timeout(int zone, double tick_ms) const;
  void record_start_delay(int zone, double delay_ms);

  const std::vector<LearnedState::KindSpeed>& kinds() const { return kinds_; }
  const std::vector<double>& start_delays() const { return start_delays_; }
  /// Throws std::out_of_range where there are fewer kinds in it.
  void restore(const LearnedState& learned);
  void restore(EndpointSlot slot, double ratio) { ratios_[slot] = ratio; }

 private:
  std::vector<double> ratios_;  // by endpoint slot
  std::vector<LearnedState::KindSpeed> kinds_;
  std::vector<double> start_delays_;  // by zone
  double mean_run_ = 0;
};

}  // namespace keelflow::scheduler
