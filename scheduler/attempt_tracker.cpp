/// Handling of the send, start and end of attempts.
#include "scheduler/attempt_tracker.h"

#include <algorithm>

namespace keelflow::scheduler {
namespace {

// Mean running times after which an unstarted attempt is no longer assumed to be queued at its
// endpoint.
constexpr double kMinUnstartedMeanRuns = 4;
// Mean running times without a start after which the endpoint appears faulty.
constexpr double kFaultMeanRuns = 2;
// A late start is checked again after the longer of these multiples of the start timeout and of
// the mean running time.
constexpr double kRecheckStartTimeouts = 4;
constexpr double kRecheckMeanRuns = 0.5;

bool has_never_run(AttemptResult result) {
  return result == AttemptResult::rejected || result == AttemptResult::connect_failed ||
         result == AttemptResult::withheld;
}

LoadSignal signal_of(AttemptResult result) {
  switch (result) {
    case AttemptResult::cancelled:
    case AttemptResult::withheld:
      return LoadSignal::none;
    case AttemptResult::ok:
      return LoadSignal::served;
    case AttemptResult::rejected:
      return LoadSignal::rejected;
    case AttemptResult::connect_failed:
      return LoadSignal::unreachable;
    case AttemptResult::error:
    case AttemptResult::timeout:
    case AttemptResult::reset:
      break;
  }
  return LoadSignal::failed;
}

}  // namespace

void AttemptTracker::send(Request& request, EndpointSlot slot) {
  queue_.remove(request);
  RequestId id = request.arrival.request;
  const EndpointEntry entry = endpoints_.at(slot).entry;
  double work =
      slow_start_.work_of(slot, request.arrival.hint, calibration_.calibrated_cost(request));
  bool is_warming_up = slow_start_.is_warming_up(slot);
  if (is_warming_up)
    slow_start_.spend(slot, work);
  endpoints_.record_send(slot, request.load);
  availability_.refresh(slot);
  // For an endpoint that is warming up, peers are notified only when attempts end.
  if (!is_warming_up || feedback_.has_sibling())
    feedback_.notify(slot, LoadSignal::sent, 1, work);
  request.attempts.push_back({entry.endpoint, entry.zone, entry.cell, environment_.now});
  environment_.emit_action(SendAttempt{id, entry.endpoint, 0});
  if (!environment_.settings.reports_start)
    return;
  double timeout = statistics_.start_timeout(entry.zone, environment_.settings.tick_ms);
  environment_.timers.add(environment_.now + timeout, TimerPurpose::late_start, id,
                          static_cast<int>(request.attempts.size()) - 1);
}

void AttemptTracker::on_started(const AttemptStarted& event) {
  Attempt* attempt = requests_.find_in_flight(event.request, event.attempt);
  if (!attempt || attempt->has_started())
    return;
  attempt->started = environment_.now;
  auto slot = endpoints_.find(attempt->endpoint);
  if (!slot)
    return;
  int running = endpoints_.record_start(*slot);
  if (!slow_start_.is_warming_up(*slot))
    statistics_.record_concurrent_attempts(endpoints_.at(*slot).entry.kind, running);
  feedback_.clear_outlier_signs(*slot);
  double delay = environment_.now - attempt->sent;
  if (delay > statistics_.start_timeout(attempt->zone, environment_.settings.tick_ms))
    return;
  statistics_.record_start_delay(attempt->zone, delay);
  congestion_.record_timely_start();
  feedback_.on_timely_start(*slot);
}

void AttemptTracker::on_finished(const AttemptFinished& event) {
  Attempt* attempt = requests_.find_in_flight(event.request, event.attempt);
  if (!attempt)
    return;
  Request& request = requests_.at(event.request);
  attempt->delivery =
      has_never_run(event.result) ? DeliveryState::not_delivered : DeliveryState::may_have_run;
  if (auto slot = endpoints_.find(attempt->endpoint))
    release_endpoint(*slot, request, *attempt, event.result);
  if (event.request_finished && !request.is_finished)
    lifecycle_.finish(request);
  bool is_too_late = event.result == AttemptResult::timeout || environment_.now >= request.deadline;
  if (is_too_late)
    lifecycle_.answer(request);
  if (!request.is_finished && !request.has_attempt_in_flight())
    lifecycle_.retry_or_answer(request);
  requests_.forget_if_done(event.request);
}

void AttemptTracker::release_endpoint(EndpointSlot slot, const Request& request,
                                      const Attempt& attempt, AttemptResult result) {
  endpoints_.record_end(slot, request.load, attempt.has_started());
  // An endpoint that fails immediately appears idle, so a started attempt does not prove it
  // healthy; only a successful one does.
  LoadSignal signal = signal_of(result);
  bool is_served = signal == LoadSignal::served;
  if (signal != LoadSignal::none && !is_served)
    congestion_.record_congested();
  feedback_.notify(slot, signal, is_served ? record_service_time(slot, request, attempt) : 1);
  feedback_.apply(slot, signal);
  availability_.refresh(slot);
  endpoints_.forget_if_gone(slot);
}

double AttemptTracker::record_service_time(EndpointSlot slot, const Request& request,
                                           const Attempt& attempt) {
  double run = environment_.now - (attempt.has_started() ? attempt.started : attempt.sent);
  double ratio = run / calibration_.calibrated_cost(request) * slow_start_.weight(slot);
  statistics_.record_ratio(slot, endpoints_.at(slot).entry.kind, ratio,
                           slow_start_.is_warming_up(slot));
  calibration_.record_run(request, run);
  statistics_.record_run(run);
  return ratio;
}

// An attempt with a key may be fetching data, so it is not cancelled. Where only one attempt at a
// time is allowed, cancelling loses the place in the endpoint's queue, so the attempt must have
// been unstarted for a long time.
bool AttemptTracker::may_cancel_unstarted(const Request& request, double waited) const {
  const Settings& settings = environment_.settings;
  bool may_be_followed = request.attempts.size() + 1 < to_index(settings.max_attempts);
  if (!settings.cancel || request.arrival.key != 0 || !may_be_followed)
    return false;
  if (settings.concurrent_attempts)
    return true;
  return !congestion_.is_high() &&
         waited > kMinUnstartedMeanRuns * statistics_.mean_running_time_ms();
}

// Temporarily marks the attempt as one that may have run, as it will count once cancelled, to check
// whether another attempt could follow it.
bool AttemptTracker::has_alternative(const Request& request, Attempt& attempt) {
  attempt.delivery = DeliveryState::may_have_run;
  bool found = selector_.select(request).has_value();
  attempt.delivery = DeliveryState::in_flight;
  return found;
}

void AttemptTracker::on_late_start(RequestId id, int number) {
  Attempt* attempt = requests_.find_in_flight(id, number);
  if (!attempt || attempt->has_started() || attempt->is_cancelled)
    return;
  Request& request = requests_.at(id);
  double waited = environment_.now - attempt->sent;
  if (auto slot = endpoints_.find(attempt->endpoint)) {
    congestion_.record_congested();
    feedback_.on_late_start(*slot, waited > kFaultMeanRuns * statistics_.mean_running_time_ms());
  }
  double timeout = statistics_.start_timeout(attempt->zone, environment_.settings.tick_ms);
  double recheck = std::max(kRecheckStartTimeouts * timeout,
                            kRecheckMeanRuns * statistics_.mean_running_time_ms());
  environment_.timers.add(environment_.now + recheck, TimerPurpose::late_start, id, number);
  if (may_cancel_unstarted(request, waited) && has_alternative(request, *attempt))
    lifecycle_.cancel_attempt(request, number);
}

}  // namespace keelflow::scheduler
