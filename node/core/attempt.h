/// One attempt of a request at an endpoint, and the states that it goes through.
#pragma once

#include <cstdint>

#include "core/job.h"
#include "core/timer_port.h"

namespace keelflow {

/// Where an attempt stands. An endpoint may report the start of an attempt that is being
/// cancelled, so the two are distinguished.
enum class AttemptState : std::uint8_t {
  sent,                ///< Handed to the outbound side.
  started,             ///< The endpoint reports that it runs.
  cancelling,          ///< Being cancelled; no start was reported.
  cancelling_started,  ///< Being cancelled; it had started, or started meanwhile.
  ended,               ///< The outbound side has reported its end. Final.
};

enum class AttemptEvent : std::uint8_t { start_reported, cancel_requested, end_reported };

/// One attempt. Its state changes in `change_state` alone.
struct Attempt {
  EndpointId endpoint = 0;
  TimePoint sent;
  TimerId timer = 0;                ///< Of its time limit.
  bool has_timed_out = false;       ///< It was cancelled because of its time limit.
  bool may_send_callbacks = false;  ///< After its end: status callbacks of it may still come.
  bool may_have_run = false;        ///< After its end: the endpoint may have run it.
  AttemptState state = AttemptState::sent;

  bool is_open() const { return state != AttemptState::ended; }
  /// Applies an event. False, and nothing changes, where the event means nothing in this state: it
  /// is a repetition, or comes after the end.
  bool change_state(AttemptEvent event);
};

}  // namespace keelflow
