/// Admission, deadlines, and final answers of requests.
#include "scheduler/request_lifecycle.h"

#include <algorithm>
#include <cmath>

namespace keelflow::scheduler {
namespace {

constexpr double kMaxOverQuotaFactor = 30;  // largest cost factor of a request beyond the quota
constexpr double kMaxRequestLoad = 1e6;

}  // namespace

double RequestLifecycle::queue_cost(const Request& request) const {
  const RequestArrived& arrival = request.arrival;
  double over_quota =
      request.is_within_quota
          ? 1
          : std::min(kMaxOverQuotaFactor, 1 / environment_.settings.over_quota_weight);
  return arrival.hint * arrival.queue_weight * over_quota;
}

Request& RequestLifecycle::admit(const RequestArrived& arrival) {
  const ClassSettings& settings = environment_.class_settings(arrival.class_index);
  Request& request = requests_.add(arrival);
  if (std::isfinite(arrival.hint) && arrival.hint > 0) {
    calibration_.record_hint(arrival.class_index, arrival.hint);
  } else {
    request.arrival.hint =
        calibration_.mean_hint(arrival.class_index, std::max(1.0, settings.latency_objective_ms));
  }
  request.is_within_quota = quota_.admit(arrival.tenant, environment_.settings, environment_.now);
  request.queue_cost = queue_cost(request);
  request.load = std::clamp(std::max({1.0, arrival.slots, arrival.memory}), 1.0, kMaxRequestLoad);
  double timeout = std::isfinite(arrival.client_timeout_ms) ? arrival.client_timeout_ms : 0;
  request.deadline = environment_.now + timeout - environment_.settings.tick_ms;
  return request;
}

void RequestLifecycle::schedule_timers(const Request& request) {
  const ClassSettings& settings = environment_.class_settings(request.arrival.class_index);
  RequestId id = request.arrival.request;
  environment_.timers.add(request.deadline, TimerPurpose::deadline, id);
  double slack = settings.latency_objective_ms +
                 (settings.objective_runtime_factor - 1) * request.arrival.hint;
  Time overdue = environment_.now + slack;
  if (overdue < request.deadline)
    environment_.timers.add(overdue, TimerPurpose::overdue, id);
}

void RequestLifecycle::on_arrived(const RequestArrived& arrival) {
  if (requests_.find(arrival.request))
    return;
  bool has_class = arrival.class_index >= 0 &&
                   to_index(arrival.class_index) < environment_.settings.classes.size();
  if (!has_class)
    return environment_.emit_action(RejectRequest{arrival.request, retry_policy_.retry_after()});
  Request& request = admit(arrival);
  if (arrival.key != 0)
    selector_.record_key(arrival.key);
  if (request.deadline <= environment_.now) {
    answer(request);
    return requests_.forget_if_done(arrival.request);
  }
  schedule_timers(request);
  queue_.push(request, environment_.now);
}

void RequestLifecycle::on_stream_started(RequestId id) {
  if (Request* request = requests_.find(id))
    request->is_streaming = true;
}

void RequestLifecycle::on_client_disconnected(const ClientDisconnected& event) {
  Request* request = requests_.find(event.request);
  if (!request)
    return;
  if (event.is_rerouted && request->is_within_quota)
    quota_.refund(request->arrival.tenant);
  finish(*request);
  requests_.forget_if_done(event.request);
}

void RequestLifecycle::on_overdue(RequestId id) {
  Request* request = requests_.find(id);
  if (request && !request->is_finished)
    queue_.mark_overdue(*request, environment_.now);
}

void RequestLifecycle::on_deadline(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || request->is_finished || request->is_streaming)
    return;
  if (request->deadline > environment_.now)
    return;
  answer(*request);
  requests_.forget_if_done(id);
}

void RequestLifecycle::on_attempt_limit_changed() {
  for (RequestId id : queue_.all()) {
    Request& request = requests_.at(id);
    if (retry_policy_.has_attempts_left(request))
      continue;
    answer(request);
    requests_.forget_if_done(id);
  }
}

void RequestLifecycle::retry_or_answer(Request& request) {
  if (retry_policy_.may_retry(request)) {
    queue_.push(request, environment_.now);
  } else {
    answer(request);
  }
}

void RequestLifecycle::answer(Request& request) {
  if (request.is_finished)
    return;
  RequestId id = request.arrival.request;
  if (retry_policy_.may_reject(request)) {
    environment_.emit_action(RejectRequest{id, retry_policy_.retry_after()});
  } else {
    environment_.emit_action(FailRequest{id});
  }
  finish(request);
}

void RequestLifecycle::finish(Request& request) {
  queue_.remove(request);
  request.is_finished = true;
  if (!environment_.settings.cancel || request.is_streaming)
    return;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& attempt = request.attempts[i];
    if (attempt.delivery == DeliveryState::in_flight && !attempt.is_cancelled)
      cancel_attempt(request, static_cast<int>(i));
  }
}

void RequestLifecycle::cancel_attempt(Request& request, int attempt) {
  request.attempts[to_index(attempt)].is_cancelled = true;
  environment_.emit_action(CancelAttempt{request.arrival.request, attempt});
}

}  // namespace keelflow::scheduler
