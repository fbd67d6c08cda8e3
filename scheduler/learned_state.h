/// The learned state of a Dispatcher. Its successor receives the endpoint list first and this state
/// afterwards.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduler/settings.h"

namespace keelflow::scheduler {

using EndpointId = std::uint32_t;

/// A snapshot by value that refers to endpoints, classes and kinds by number.
struct LearnedState {
  /// Health of one endpoint.
  struct Health {
    double service_time_ratio = 1;  ///< running time over calibrated cost, corrected for slow start
    /// This dispatcher's limit of capacity slots in flight; the default applies until there is
    /// data.
    double concurrency_limit = 2;
    /// Outlier signs since they were last cleared; each doubles the ejection time, up to a limit.
    int outlier_signs = 0;
    int consecutive_failures = 0;  ///< failed attempts since the last successful one
    Time ejected_until = 0;
  };
  /// Cost calibration of one request class.
  struct Calibration {
    double factor = 1;  ///< EMA of measured over hinted cost
    double hint_sum = 0;
    double hint_count = 0;
  };
  /// Speed of one kind of endpoint.
  struct KindSpeed {
    /// The most attempts of this dispatcher seen running at once on a warmed-up endpoint.
    double observed_cores = 1;
    double service_time_ratio = 1;  ///< running time over calibrated cost when warmed up
  };
  /// State of one endpoint at the time of the snapshot.
  struct Endpoint {
    EndpointId endpoint = 0;
    Time started_at = 0;  ///< identifies the incarnation; ignored for any other one
    Health health;
    double in_flight = 0;
    double slow_start_work_ms = 0;  ///< sent in the last overload window while warming up
  };
  /// State that covers all endpoints.
  struct Fleet {
    std::vector<double> start_delay_ms;  ///< EMA of the time from send to start, by zone
    double mean_run_ms = 0;              ///< EMA of the running times of this dispatcher's attempts
    double congestion = 0;               ///< EMA of attempt outcomes, see Congestion
  };
  std::vector<Endpoint> endpoints;
  /// Classes, kinds and zones are indexed by number and have the sizes given in the settings.
  std::vector<Calibration> classes;
  std::vector<KindSpeed> kinds;
  Fleet fleet;
};

}  // namespace keelflow::scheduler
