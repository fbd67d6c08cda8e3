/// The actions that a Dispatcher requests from its caller.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "scheduler/events.h"

namespace keelflow::scheduler {

/// Attempts of a request are numbered 0, 1, 2 ... in the order in which they are sent.
struct SendAttempt {
  RequestId request = 0;
  EndpointId endpoint = 0;
  double timeout_ms = 0;  ///< 0: the attempt may run until the client's timeout
};

/// The final answer to a request that the client may safely retry.
struct RejectRequest {
  RequestId request = 0;
  double retry_after_ms = 0;  ///< 0: the answer gives no retry time
};

/// The final answer to a request of which an attempt may have run.
struct FailRequest {
  RequestId request = 0;
};

/// Cancels an attempt. Its AttemptFinished event still follows.
struct CancelAttempt {
  RequestId request = 0;
  int attempt = 0;  ///< number of the attempt, see SendAttempt
};

/// Sets the dispatcher's timer; replaces the previous one.
struct SetTimer {
  std::uint64_t id = 0;
  Time when = 0;
};

/// Requests an endpoint's load, which is returned as a HealthCheckResult event.
struct SendHealthCheck {
  EndpointId endpoint = 0;
};

/// Requests the endpoint list and its subsequent changes.
struct PollEndpointList {};

/// Sends a message to the dispatcher with this rank, or to the sibling process if the rank is the
/// dispatcher's own. Delivery may be late or may fail.
struct SendPeerMessage {
  int peer = 0;
  std::string bytes;
};

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer,
                            SendHealthCheck, PollEndpointList, SendPeerMessage>;
using Actions = std::vector<Action>;

}  // namespace keelflow::scheduler
