/// The endpoints' side of the core: starts and cancels attempts.
#pragma once

#include <cstdint>
#include <string>

#include "core/job.h"
#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// How far an attempt had come when it ended. Up to `partly_written` the endpoint cannot have run
/// it.
enum class DeliveryState : std::uint8_t { never_written, partly_written, fully_written, accepted };

enum class AttemptOutcome : std::uint8_t {
  served,
  error,               ///< The endpoint reports that it failed.
  rejected,            ///< The endpoint reports that it never ran.
  broken,              ///< The connection or the process ended; `delivery` says if it may have run.
  cancelled,           ///< The Engine cancelled it.
  cancel_undelivered,  ///< The same, but the endpoint has accepted it and the cancellation did not
                       ///< reach it: it may still run.
};

/// How an attempt ended.
struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::broken;
  DeliveryState delivery = DeliveryState::never_written;
  bool withheld = false;  ///< No list that may be used for sending came in time; nothing was sent.
  bool may_send_callbacks = false;  ///< The endpoint may have accepted it, so that status callbacks
                                    ///< of it may still come.
  std::string result = {};          ///< Of `served`.
  scheduler::LoadReport report = {};
};

/// Carries attempts to endpoints. Every attempt started ends with one Engine::on_attempt_ended.
class EndpointPort {
 public:
  virtual ~EndpointPort() = default;
  struct Terms {
    TimePoint until;     ///< It is given up then.
    TimePoint write_by;  ///< After that its last byte must not be written any more.
    scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
    bool again = false;  ///< Status callbacks of an earlier attempt of this request at that
                         ///< endpoint may still come.
  };
  virtual void start(AttemptRef ref, EndpointId endpoint, const Job& job, const Terms& terms) = 0;
  virtual void cancel(AttemptRef ref) = 0;
  /// Only if its last byte has not been written: then the endpoint has no request of it yet.
  virtual void cancel_unsent(AttemptRef ref) = 0;
  /// Sends a health check; Engine::on_health_check_result follows.
  virtual void send_health_check(EndpointId endpoint) = 0;
};

}  // namespace keelflow
