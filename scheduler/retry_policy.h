/// Whether a request may be sent (again) to an endpoint, whether it may be rejected as safe to
/// retry, and when the client should come back. Every send and every final answer asks here.
#pragma once

#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/request.h"
#include "scheduler/service_statistics.h"

namespace keelflow::scheduler {

/// Owns no state: decides by the request, the endpoint and the time.
class RetryPolicy {
 public:
  RetryPolicy(const Environment& environment, const EndpointTable& endpoints,
              const ServiceStatistics& statistics)
      : environment_(environment), endpoints_(endpoints), statistics_(statistics) {}

  /// An attempt at that endpoint is allowed now. Its slow-start budget is not asked for here.
  bool may_send(const Request& request, EndpointSlot slot) const;
  /// A further attempt is allowed at some endpoint or other; otherwise the request has to end.
  bool may_retry(const Request& request) const;
  bool has_attempts_left(const Request& request) const;
  /// The client may be told that a retry is harmless.
  bool may_reject(const Request& request) const;
  /// Of a rejection, in ms: about when one of an endpoint's slots is free. 0: no guidance.
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
