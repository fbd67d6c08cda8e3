/// What a Dispatcher wants done.
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
  double timeout_ms = 0;  ///< 0: until the client gives up
};

/// The final answer: the client may safely retry.
struct RejectRequest {
  RequestId request = 0;
  double retry_after_ms = 0;  ///< 0: no guidance
};

/// The final answer: an attempt may have run.
struct FailRequest {
  RequestId request = 0;
};

/// The attempt is not wanted any more. Its AttemptFinished still comes.
struct CancelAttempt {
  RequestId request = 0;
  int attempt = 0;
};

/// Replaces the timer that was set before.
struct SetTimer {
  std::uint64_t id = 0;
  Time when = 0;
};

/// Ask the endpoint for its load; the HealthCheckResult comes back.
struct SendHealthCheck {
  EndpointId endpoint = 0;
};

/// Ask for the endpoint list and its changes.
struct PollEndpointList {};

/// A message to the dispatcher of that rank (the own one: the sibling process); it may come late or
/// never.
struct SendPeerMessage {
  int peer = 0;
  std::string bytes;
};

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer,
                            SendHealthCheck, PollEndpointList, SendPeerMessage>;
using Actions = std::vector<Action>;

}  // namespace keelflow::scheduler
