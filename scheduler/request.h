/// The scheduler's record of a request and its attempts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "scheduler/events.h"

namespace keelflow::scheduler {

/// Whether an attempt may have run at its endpoint.
enum class DeliveryState : std::uint8_t { in_flight, not_delivered, may_have_run };

/// One attempt; kept until its request is forgotten.
struct Attempt {
  EndpointId endpoint = 0;
  int zone = 0;
  int cell = 0;
  Time sent = 0;
  Time started = -1;  ///< negative: not started
  DeliveryState delivery = DeliveryState::in_flight;
  bool is_cancelled = false;

  bool has_started() const { return started >= 0; }
};

/// One request; kept until it is answered and its last attempt has ended.
struct Request {
  RequestArrived arrival;
  Time deadline = 0;
  Time queued_since = 0;
  std::uint64_t sequence = 0;  ///< order of arrival
  /// What the request occupies of an endpoint, in capacity slots; one unit of memory counts as one
  /// slot.
  double load = 1;        ///< the larger of the requested slots and memory, at least 1
  double queue_cost = 0;  ///< queue order within the class, before calibration
  bool is_overdue = false;
  bool is_queued = false;
  bool is_finished = false;
  bool is_streaming = false;
  bool is_within_quota = false;
  std::vector<Attempt> attempts;

  bool has_attempt_in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& a) { return a.delivery == DeliveryState::in_flight; });
  }
};

}  // namespace keelflow::scheduler
