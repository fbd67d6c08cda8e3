/// Attempts from the send to the end: what is counted for them, what they teach, and what becomes
/// of one that does not start.
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

/// Owns no state: attempts stand in the request table. Gives what they show to the owners that
/// learn from it.
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
  /// An attempt that has not started by now is cancelled if another endpoint has capacity.
  void on_late_start(RequestId id, int attempt);

 private:
  void release_endpoint(EndpointSlot slot, const Request& request, const Attempt& attempt,
                        AttemptResult result);
  /// Returns the service time ratio of an attempt that was served.
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
