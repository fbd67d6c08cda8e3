/// Decides whether a request may be sent to an endpoint, whether it may be rejected as safe to
/// retry, and when the client should retry. Consulted for every send and every final answer.
#pragma once

#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/request.h"
#include "scheduler/service_statistics.h"

namespace keelflow::scheduler {

/// Stateless: decides by the request, the endpoint and the time.
class RetryPolicy {
 public:
  RetryPolicy(const Environment& environment, const EndpointTable& endpoints,
              const ServiceStatistics& statistics)
      : environment_(environment), endpoints_(endpoints), statistics_(statistics) {}

  /// Whether an attempt at this endpoint is allowed now. Does not check the slow-start budget.
  bool may_send(const Request& request, EndpointSlot slot) const;
  /// Whether another attempt at any endpoint is allowed; if not, the request must be answered.
  bool may_retry(const Request& request) const;
  bool has_attempts_left(const Request& request) const;
  /// Whether the client may safely retry the request.
  bool may_reject(const Request& request) const;
  /// The retry time for a rejection, in ms: a fraction of the mean running time, which is about
  /// when one of an endpoint's slots is free. 0: no retry time is given.
  double retry_after() const;

 private:
  bool may_follow(const Attempt& earlier, const ClassSettings& settings,
                  const EndpointEntry& entry) const;
  bool is_within_window(const Attempt& earlier, const ClassSettings& settings) const;

  const Environment& environment_;
  const EndpointTable& endpoints_;
  const ServiceStatistics& statistics_;
};

}  // namespace keelflow::scheduler
