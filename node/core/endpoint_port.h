/// The core's interface to the endpoints: starts and cancels attempts.
#pragma once

#include <cstdint>
#include <string>

#include "core/job.h"
#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// How far an attempt was delivered when it ended. Up to `partly_written`, the endpoint cannot have
/// run it.
enum class DeliveryState : std::uint8_t { never_written, partly_written, fully_written, accepted };

/// The reason for which an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  served,
  error,               ///< The endpoint reported a failure.
  rejected,            ///< The endpoint reported that the attempt never ran.
  broken,              ///< The connection or process ended; `delivery` tells if it may have run.
  cancelled,           ///< The Engine cancelled it.
  cancel_undelivered,  ///< The Engine cancelled it, but the endpoint had accepted it and did not
                       ///< receive the cancellation: the endpoint may still run the attempt.
};

/// The outcome of an attempt.
struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::broken;
  DeliveryState delivery = DeliveryState::never_written;
  bool withheld = false;  ///< Nothing was sent, for example because no usable list came in time.
  bool may_send_callbacks = false;  ///< The endpoint may have accepted it, so its status callbacks
                                    ///< may still arrive.
  std::string result = {};          ///< Set for `served`.
  scheduler::LoadReport report = {};
};

/// Sends attempts to endpoints. Each started attempt ends with one Engine::on_attempt_ended call.
class EndpointPort {
 public:
  virtual ~EndpointPort() = default;
  /// The conditions under which an attempt is sent.
  struct Terms {
    TimePoint until;     ///< The attempt is abandoned at this time.
    TimePoint write_by;  ///< The last byte must not be written after this time.
    scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
    bool expects_earlier_callbacks = false;  ///< Status callbacks of an earlier attempt of this
                                             ///< request at the endpoint may still arrive.
  };
  virtual void start(AttemptRef ref, EndpointId endpoint, const Job& job, const Terms& terms) = 0;
  virtual void cancel(AttemptRef ref) = 0;
  /// Cancels the attempt only if its last byte has not been written, so that the endpoint does not
  /// have the complete request yet.
  virtual void cancel_unsent(AttemptRef ref) = 0;
  /// Sends a health check; Engine::on_health_check_result follows.
  virtual void send_health_check(EndpointId endpoint) = 0;
};

}  // namespace keelflow
