/// Inspects requests before the scheduler gets them.
#pragma once

#include <optional>
#include <string>

#include "core/job.h"
#include "core/pool_selector.h"
#include "core/time.h"

namespace keelflow {

/// It may reject a request, delay it for a while or weight it; all that it admits is the
/// scheduler's to decide.
class RequestFilter {
 public:
  /// What is to become of one request.
  struct Decision {
    bool is_rejected = false;
    Duration retry_after{};   ///< Retry-After of a rejection.
    double queue_weight = 1;  ///< Of a request that is admitted.
    std::string label;        ///< Empty: none.
  };
  virtual ~RequestFilter() = default;
  /// Empty: Engine::on_filter_decision follows, in any case before the deadline.
  virtual std::optional<Decision> decide(RequestId id, const Job& job, TimePoint deadline) = 0;
  /// The client of a request without a decision has disconnected.
  virtual void on_client_disconnected(RequestId id) = 0;
  /// How a request ended, `elapsed` after it was read.
  virtual void on_request_ended(const Job& job, Duration elapsed, RequestOutcome outcome) = 0;
};

}  // namespace keelflow
