/// One attempt of a request at an endpoint, and its state machine.
#pragma once

#include <cstdint>

#include "core/job.h"
#include "core/timer_port.h"

namespace keelflow {

/// The state of an attempt. An endpoint may report the start of an attempt that is being
/// cancelled, so cancelling has one state for each case.
enum class AttemptState : std::uint8_t {
  sent,                ///< Passed to the outbound side.
  started,             ///< The endpoint has reported that the attempt runs.
  cancelling,          ///< Being cancelled; no start has been reported.
  cancelling_started,  ///< Being cancelled; a start was reported before or since.
  ended,               ///< The outbound side has reported the end. Final state.
};

/// The events that change the state of an attempt.
enum class AttemptEvent : std::uint8_t { start_reported, cancel_requested, end_reported };

/// One attempt. Only `change_state` changes its state.
struct Attempt {
  EndpointId endpoint = 0;
  TimePoint sent;
  TimerId timer = 0;                ///< The timer of its time limit.
  bool has_timed_out = false;       ///< Cancelled because its time limit passed.
  bool may_send_callbacks = false;  ///< Set at its end: status callbacks may still arrive.
  bool may_have_run = false;        ///< Set at its end: the endpoint may have run it.
  bool may_be_running = false;  ///< Set at its end: the endpoint did not receive its cancellation.
  AttemptState state = AttemptState::sent;

  bool is_open() const { return state != AttemptState::ended; }
  /// Applies an event. Returns false and changes nothing if the event does not apply in this
  /// state, because it is a duplicate or the attempt has ended.
  bool change_state(AttemptEvent event);
};

}  // namespace keelflow
