/// Conditions for sends and rejections.
#include "scheduler/retry_policy.h"

#include <algorithm>

namespace keelflow::scheduler {
namespace {

// Fraction of a deduplication window in which a request may be retried.
constexpr double kUsableWindowFraction = 0.9;
constexpr double kRetryAfterMeanRuns = 0.25;  // retry time of a rejection, in mean running times
constexpr double kMinRetryAfterTicks = 4;

}  // namespace

bool RetryPolicy::is_within_window(const Attempt& earlier, const ClassSettings& settings) const {
  return environment_.now <=
         earlier.sent + kUsableWindowFraction * settings.deduplication_window_ms;
}

bool RetryPolicy::may_follow(const Attempt& earlier, const ClassSettings& settings,
                             const EndpointEntry& entry) const {
  if (earlier.delivery == DeliveryState::not_delivered)
    return true;
  bool is_in_flight = earlier.delivery == DeliveryState::in_flight;
  if (is_in_flight && !environment_.settings.concurrent_attempts)
    return false;
  switch (settings.idempotency) {
    case Idempotency::non_idempotent:
      return false;
    case Idempotency::idempotent:
      return true;
    case Idempotency::idempotent_with_key:
      break;
  }
  DeduplicationScope scope = settings.deduplication_scope;
  if (scope == DeduplicationScope::zone && earlier.zone != entry.zone)
    return false;
  if (scope == DeduplicationScope::cell && earlier.cell != entry.cell)
    return false;
  return is_within_window(earlier, settings);
}

bool RetryPolicy::has_attempts_left(const Request& request) const {
  return request.attempts.size() < to_index(environment_.settings.max_attempts);
}

bool RetryPolicy::may_send(const Request& request, EndpointSlot slot) const {
  const ClassSettings& settings = environment_.class_settings(request.arrival.class_index);
  const EndpointEntry& entry = endpoints_.at(slot).entry;
  if (request.is_finished || request.is_streaming)
    return false;
  if (environment_.now >= request.deadline || !has_attempts_left(request))
    return false;
  if (entry.state != EndpointState::ready)
    return false;
  if (settings.kind >= 0 && entry.kind != settings.kind)
    return false;
  return std::all_of(request.attempts.begin(), request.attempts.end(),
                     [&](const Attempt& earlier) { return may_follow(earlier, settings, entry); });
}

bool RetryPolicy::may_retry(const Request& request) const {
  const ClassSettings& settings = environment_.class_settings(request.arrival.class_index);
  if (!has_attempts_left(request))
    return false;
  if (settings.idempotency == Idempotency::idempotent)
    return true;
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& earlier) {
    if (earlier.delivery == DeliveryState::not_delivered)
      return true;
    if (settings.idempotency == Idempotency::non_idempotent)
      return false;
    return environment_.now <
           earlier.sent + kUsableWindowFraction * settings.deduplication_window_ms;
  });
}

bool RetryPolicy::may_reject(const Request& request) const {
  const ClassSettings& settings = environment_.class_settings(request.arrival.class_index);
  if (settings.idempotency == Idempotency::idempotent)
    return true;
  if (settings.idempotency == Idempotency::idempotent_with_key &&
      settings.deduplication_scope == DeduplicationScope::all)
    return true;
  return std::all_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& a) { return a.delivery == DeliveryState::not_delivered; });
}

double RetryPolicy::retry_after() const {
  const Settings& settings = environment_.settings;
  if (!settings.retry_after)
    return 0;
  double least = kMinRetryAfterTicks * settings.tick_ms;
  return std::clamp(kRetryAfterMeanRuns * statistics_.mean_running_time_ms(), least,
                    std::max(least, settings.max_retry_after_ms));
}

}  // namespace keelflow::scheduler
