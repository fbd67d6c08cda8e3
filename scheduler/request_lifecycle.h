/// The lifecycle of a request from arrival to its final answer: admission, queueing, retry,
/// rejection and failure. AttemptTracker sends the attempts.
#pragma once

#include "scheduler/cost_calibration.h"
#include "scheduler/endpoint_selector.h"
#include "scheduler/environment.h"
#include "scheduler/request_queue.h"
#include "scheduler/request_table.h"
#include "scheduler/retry_policy.h"
#include "scheduler/tenant_quota.h"

namespace keelflow::scheduler {

/// The only component that answers requests; every final answer to an admitted request is sent by
/// `answer`.
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
  /// Answers queued requests that have used up a lowered attempt limit and could never be sent.
  void on_attempt_limit_changed();

  /// Queues an unfinished request again, or answers it, once all its attempts have ended.
  void retry_or_answer(Request& request);
  /// Sends the final answer: a rejection if the client may safely retry, otherwise a failure.
  void answer(Request& request);
  /// Marks the request as finished and cancels its attempts in flight. The caller must then call
  /// RequestTable::forget_if_done.
  void finish(Request& request);
  /// `attempt`: number of the attempt.
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
