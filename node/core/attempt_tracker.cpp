#include "core/attempt_tracker.h"

#include <algorithm>

namespace keelflow {

using scheduler::AttemptResult;

namespace {

// A broken attempt may have run only if its last byte was written.
AttemptResult result_of_outcome(const AttemptEnd& end) {
  switch (end.outcome) {
    case AttemptOutcome::served:
      return AttemptResult::ok;
    case AttemptOutcome::error:
      return AttemptResult::error;
    case AttemptOutcome::rejected:
      return AttemptResult::rejected;
    case AttemptOutcome::cancelled:
    case AttemptOutcome::cancel_undelivered:
      return AttemptResult::cancelled;
    case AttemptOutcome::broken:
      break;
  }
  return end.delivery < DeliveryState::fully_written ? AttemptResult::connect_failed
                                                     : AttemptResult::reset;
}

}  // namespace

void AttemptTracker::add(Request& request, const Attempt& attempt) {
  request.attempts.push_back(attempt);
  ++counters_.attempts_started;
  ++open_attempts_;
}

Attempt* AttemptTracker::find_open(AttemptRef ref) {
  Request* request = requests_.find(ref.request);
  if (!request || ref.attempt < 0)
    return nullptr;
  auto index = static_cast<std::size_t>(ref.attempt);
  if (index >= request->attempts.size() || !request->attempts[index].is_open())
    return nullptr;
  return &request->attempts[index];
}

bool AttemptTracker::on_started(AttemptRef ref) {
  Attempt* attempt = find_open(ref);
  return attempt && attempt->change_state(AttemptEvent::start_reported);
}

bool AttemptTracker::on_cancel(AttemptRef ref, bool has_timed_out) {
  Attempt* attempt = find_open(ref);
  if (!attempt || !attempt->change_state(AttemptEvent::cancel_requested))
    return false;
  attempt->has_timed_out = has_timed_out;
  return true;
}

scheduler::AttemptFinished AttemptTracker::on_ended(AttemptRef ref, const AttemptEnd& end) {
  Attempt& attempt = *find_open(ref);
  attempt.change_state(AttemptEvent::end_reported);
  attempt.may_send_callbacks = end.may_send_callbacks;
  attempt.may_be_running = end.outcome == AttemptOutcome::cancel_undelivered;
  --open_attempts_;
  timers_.cancel(attempt.timer);
  scheduler::AttemptFinished finished;
  finished.request = ref.request;
  finished.attempt = ref.attempt;
  finished.result = result_of(attempt, end);
  finished.elapsed_ms = to_ms(timers_.now() - attempt.sent);
  finished.report = end.report;
  attempt.may_have_run = finished.result != AttemptResult::rejected &&
                         finished.result != AttemptResult::connect_failed &&
                         finished.result != AttemptResult::withheld;
  if (finished.result == AttemptResult::timeout)
    requests_.find(ref.request)->has_timed_out = true;
  count(finished.result);
  return finished;
}

AttemptResult AttemptTracker::result_of(const Attempt& attempt, const AttemptEnd& end) const {
  if (end.withheld)
    return AttemptResult::withheld;
  AttemptResult result = result_of_outcome(end);
  // The endpoint may still be running an attempt whose cancellation it did not receive. Unless
  // concurrent attempts are permitted, no other attempt may follow it, so it counts as timed out.
  bool may_run_yet =
      end.outcome == AttemptOutcome::cancel_undelivered && !settings_.concurrent_attempts;
  if (result == AttemptResult::cancelled && (attempt.has_timed_out || may_run_yet))
    return AttemptResult::timeout;
  return result;
}

void AttemptTracker::count(AttemptResult result) {
  switch (result) {
    case AttemptResult::ok:
      ++counters_.attempts_served;
      break;
    case AttemptResult::error:
      ++counters_.attempts_error;
      break;
    case AttemptResult::rejected:
      ++counters_.attempts_turned_away;
      break;
    case AttemptResult::connect_failed:
      ++counters_.attempts_never_connected;
      break;
    case AttemptResult::reset:
      ++counters_.attempts_reset;
      break;
    case AttemptResult::timeout:
      ++counters_.attempts_timed_out;
      break;
    default:
      ++counters_.attempts_cancelled;
  }
}

bool AttemptTracker::may_receive_callbacks(const Request& request, EndpointId endpoint) {
  return std::any_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& a) {
    return a.endpoint == endpoint && (a.is_open() || a.may_send_callbacks);
  });
}

// The scheduler repeats a request with an idempotency key only within its deduplication window. The
// connection for an attempt that is sent near the end of the window may be established after the
// window has ended. By then the first attempt is no longer remembered, and the repetition would not
// be recognised as a duplicate.
TimePoint AttemptTracker::write_deadline(const Request& request) const {
  const scheduler::ClassSettings& class_settings =
      settings_.classes.at(static_cast<std::size_t>(request.job.class_index));
  TimePoint deadline = TimePoint::max();
  if (class_settings.idempotency != scheduler::Idempotency::idempotent_with_key)
    return deadline;
  for (const Attempt& a : request.attempts) {
    if (a.is_open() || a.may_have_run)
      deadline = std::min(deadline, a.sent + from_ms(class_settings.deduplication_window_ms));
  }
  return deadline;
}

operation_guard::Verdict AttemptTracker::may_repeat(const Request& request,
                                                    EndpointId endpoint) const {
  operation_guard::RepeatFacts facts{
      .idempotency =
          settings_.classes.at(static_cast<std::size_t>(request.job.class_index)).idempotency,
      .is_hedging_allowed = settings_.concurrent_attempts,
      .is_in_window = timers_.now() <= write_deadline(request)};
  for (const Attempt& a : request.attempts) {
    bool is_in_flight = a.is_open() || a.may_be_running;
    facts.has_earlier_attempt_in_flight = facts.has_earlier_attempt_in_flight || is_in_flight;
    facts.has_earlier_attempt_at_endpoint =
        facts.has_earlier_attempt_at_endpoint || (is_in_flight && a.endpoint == endpoint);
    facts.earlier_attempt_may_have_run = facts.earlier_attempt_may_have_run || a.may_have_run;
  }
  return operation_guard::may_repeat(facts);
}

}  // namespace keelflow
