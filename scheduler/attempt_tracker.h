/// Tracks attempts from send to completion: in-flight counts, measurements, and handling of
/// attempts that do not start.
#pragma once

#include "scheduler/congestion.h"
#include "scheduler/cost_calibration.h"
#include "scheduler/endpoint_feedback.h"
#include "scheduler/endpoint_selector.h"
#include "scheduler/endpoint_table.h"
#include "scheduler/request_lifecycle.h"
#include "scheduler/request_queue.h"
#include "scheduler/request_table.h"
#include "scheduler/service_statistics.h"
#include "scheduler/slow_start.h"

namespace keelflow::scheduler {

/// Stateless: attempts are stored in the request table. Reports the outcome of each attempt to the
/// components that keep statistics on it.
class AttemptTracker {
 public:
  AttemptTracker(Environment& environment, RequestTable& requests, RequestQueue& queue,
                 RequestLifecycle& lifecycle, EndpointTable& endpoints, SlowStart& slow_start,
                 Availability& availability, EndpointFeedback& feedback, EndpointSelector& selector,
                 CostCalibration& calibration, ServiceStatistics& statistics,
                 Congestion& congestion)
      : environment_(environment),
        requests_(requests),
        queue_(queue),
        lifecycle_(lifecycle),
        endpoints_(endpoints),
        slow_start_(slow_start),
        availability_(availability),
        feedback_(feedback),
        selector_(selector),
        calibration_(calibration),
        statistics_(statistics),
        congestion_(congestion) {}

  void send(Request& request, EndpointSlot slot);
  void on_started(const AttemptStarted& event);
  void on_finished(const AttemptFinished& event);
  /// Handles an attempt that has not started within its start timeout: cancels it if another
  /// endpoint has capacity. `attempt`: number of the attempt.
  void on_late_start(RequestId id, int attempt);

 private:
  void release_endpoint(EndpointSlot slot, const Request& request, const Attempt& attempt,
                        AttemptResult result);
  /// Records the running time of a successful attempt and returns its service time ratio.
  double record_service_time(EndpointSlot slot, const Request& request, const Attempt& attempt);
  bool may_cancel_unstarted(const Request& request, double waited) const;
  bool has_alternative(const Request& request, Attempt& attempt);

  Environment& environment_;
  RequestTable& requests_;
  RequestQueue& queue_;
  RequestLifecycle& lifecycle_;
  EndpointTable& endpoints_;
  SlowStart& slow_start_;
  Availability& availability_;
  EndpointFeedback& feedback_;
  EndpointSelector& selector_;
  CostCalibration& calibration_;
  ServiceStatistics& statistics_;
  Congestion& congestion_;
};

}  // namespace keelflow::scheduler
