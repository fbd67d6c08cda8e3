/// The interface that inspects requests before they reach the scheduler.
#pragma once

#include <optional>
#include <string>

#include "core/job.h"
#include "core/pool_selector.h"
#include "core/time.h"

namespace keelflow {

/// Rejects, delays or weights requests. The scheduler decides about every request that the filter
/// admits.
class RequestFilter {
 public:
  /// The filter's decision on one request.
  struct Decision {
    bool is_rejected = false;
    Duration retry_after{};   ///< Retry-After value sent with a rejection.
    double queue_weight = 1;  ///< Weight of an admitted request.
    std::string label;        ///< Empty if the request gets no label.
  };
  virtual ~RequestFilter() = default;
  /// Returns the decision, or nothing if it is passed to Engine::on_filter_decision later, which
  /// must happen before the deadline.
  virtual std::optional<Decision> decide(RequestId id, const Job& job, TimePoint deadline) = 0;
  /// Reports that the client disconnected before the request was decided.
  virtual void on_client_disconnected(RequestId id) = 0;
  /// Reports the outcome of a request and the time `elapsed` since it was read.
  virtual void on_request_ended(const Job& job, Duration elapsed, RequestOutcome outcome) = 0;
};

}  // namespace keelflow
