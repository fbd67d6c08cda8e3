/// What a Dispatcher has learned, for one that takes over from it: given to the new one after its
/// endpoint list.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduler/settings.h"

namespace keelflow::scheduler {

using EndpointId = std::uint32_t;

/// A snapshot by value; it refers to endpoints, classes and kinds by their numbers.
struct LearnedState {
  /// Of one endpoint.
  struct Health {
    double service_time_ratio = 1;  ///< running times over calibrated costs, as if it had warmed up
    double concurrency_limit =
        2;                  ///< own slots in flight; the first is believed before anything is known
    int outlier_signs = 0;  ///< signs of a fault since the last good one
    int consecutive_failures = 0;  ///< attempts that failed there since the last that was served
    Time ejected_until = 0;
  };
  /// Of one class of requests.
  struct Calibration {
    double factor = 1;  ///< EMA of measured over hinted cost
    double hint_sum = 0;
    double hint_count = 0;
  };
  /// Of one kind of endpoints.
  struct KindSpeed {
    double observed_cores =
        1;  ///< most own attempts that ran at once at an endpoint that has warmed up
    double service_time_ratio = 1;  ///< running times at those over calibrated costs
  };
  /// One endpoint at the moment of the snapshot.
  struct Endpoint {
    EndpointId endpoint = 0;
    Time started_at = 0;  ///< of another incarnation nothing is believed
    Health health;
    double in_flight = 0;
    double slow_start_work_ms = 0;  ///< sent within the last window while it was warming up
  };
  /// Of all endpoints together.
  struct Fleet {
    std::vector<double> start_delay_ms;  ///< usual time from send to start, by zone
    double mean_run_ms = 0;              ///< EMA of the own attempts' running times
    double congestion = 0;  ///< fraction of late starts and rejections among the latest signs
  };
  std::vector<Endpoint> endpoints;
  std::vector<Calibration>
      classes;  ///< by number, as many as the settings have; kinds and zones alike
  std::vector<KindSpeed> kinds;
  Fleet fleet;
};

}  // namespace keelflow::scheduler
