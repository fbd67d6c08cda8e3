/// The life of a request from its arrival to its one final answer: queued, sent by others, retried,
/// rejected or failed.
#pragma once

#include "scheduler/cost_calibration.h"
#include "scheduler/endpoint_selector.h"
#include "scheduler/environment.h"
#include "scheduler/request_queue.h"
#include "scheduler/request_table.h"
#include "scheduler/retry_policy.h"
#include "scheduler/tenant_quota.h"

namespace keelflow::scheduler {

/// The only place that answers a request; every final answer passes `answer`.
class RequestLifecycle {
 public:
  RequestLifecycle(Environment& environment, RequestTable& requests, RequestQueue& queue,
                   const RetryPolicy& retry_policy, CostCalibration& calibration,
                   TenantQuota& quota, EndpointSelector& selector)
      : environment_(environment),
        requests_(requests),
        queue_(queue),
        retry_policy_(retry_policy),
        calibration_(calibration),
        quota_(quota),
        selector_(selector) {}

  void on_arrived(const RequestArrived& arrival);
  void on_stream_started(RequestId id);
  void on_client_disconnected(const ClientDisconnected& event);
  void on_overdue(RequestId id);
  void on_deadline(RequestId id);
  /// With fewer attempts allowed, requests that have used them up are answered: queued, they would
  /// wait in vain.
  void on_attempt_limit_changed();

  /// All attempts of an unfinished request have ended: it is queued again, or answered.
  void retry_or_answer(Request& request);
  /// The final answer: a rejection where a retry by the client is harmless.
  void answer(Request& request);
  /// It needs no answer any more; attempts in flight are cancelled. `forget_if_done` comes next.
  void finish(Request& request);
  void cancel_attempt(Request& request, int attempt);

 private:
  Request& admit(const RequestArrived& arrival);
  double queue_cost(const Request& request) const;
  void schedule_timers(const Request& request);

  Environment& environment_;
  RequestTable& requests_;
  RequestQueue& queue_;
  const RetryPolicy& retry_policy_;
  CostCalibration& calibration_;
  TenantQuota& quota_;
  EndpointSelector& selector_;
};

}  // namespace keelflow::scheduler
