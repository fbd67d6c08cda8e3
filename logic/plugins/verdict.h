/// What plug-ins may decide about a request and about a progress event, and how the decisions of
/// several plug-ins are combined. Performs no I/O; durations are milliseconds. The scheduler
/// decides about every admitted request; a hold or a refusal happens before it receives the
/// request, never after it has given the request up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::plugins {

/// The decision about one request.
struct Verdict {
  bool refuse = false;
  double come_back_ms = 0;  // retry delay advised with a refusal; zero: no advice
  double hold_ms = 0;       // delay before the scheduler receives the request
  double queue_weight = 1;  // factor on the size by which the scheduler queues the request
  std::string label = {};   // shown with the request's progress events
};

/// The decision assumed for a plug-in that did not answer in time.
enum class Fallback : std::uint8_t { allow, refuse };

/// The answer of one plug-in. Answers are in the order of the settings file and omit plug-ins that
/// were not called.
struct PluginAnswer {
  bool has_answered = false;  // if false, `fallback` applies
  Fallback fallback = Fallback::allow;
  Verdict verdict;
};

/// The properties of a request that limit a hold.
struct RequestFacts {
  scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
  bool repeat = false;              // the client marks the request as a retry
  double remaining_timeout_ms = 0;  // remaining time until the client gives up
  double need_ms = 0;  // time to leave to the scheduler: the class's target for the request's size
};

/// Limits on combined verdicts.
struct Bounds {
  double max_hold_ms = 2000, max_come_back_ms = 60'000;
  double min_queue_weight = 1.0 / 16, max_queue_weight = 16;
  double fallback_come_back_ms = 1000;  // retry delay advised with a refusal by fallback
};

/// A combined verdict and the plug-ins that determined it.
struct Combined {
  Verdict verdict;
  // Indexes into the answers; -1: none.
  int refused_by = -1, held_by = -1, labelled_by = -1;
  bool hold_forbidden = false, hold_shortened = false;
};

/// Combines the answers of several plug-ins:
/// - One refusal is enough. Of several refusals the longest retry delay applies.
/// - The longest hold applies. A retry of a request with an idempotency key is never held, because
///   the deduplication window runs from the first try. A hold is shortened so that the scheduler
///   has `need_ms` left.
/// - Queue weights are multiplied, within bounds. The first label applies.
/// A number that is not finite or is negative is ignored.
Combined combine(const std::vector<PluginAnswer>& answers, const RequestFacts& request,
                 const Bounds& bounds);

/// The changes to one progress event.
struct Shape {
  bool drop = false, has_label = false, has_share = false;
  std::string label = {};
  double share = 0;
};
/// Combines the changes of several plug-ins: one drop is enough; otherwise the first label and the
/// first share apply.
Shape combine(const std::vector<Shape>& shapes);

}  // namespace keelflow::plugins
