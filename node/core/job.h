/// One request as the core sees it, and the handle of one attempt of it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

using scheduler::EndpointId;
using scheduler::RequestId;

/// What the outbound side forwards unchanged; opaque to the core.
struct Payload;

/// One request as its client stated it.
struct Job {
  std::string id;  ///< The client's own name for it.
  int class_index = 0, tenant = 0;
  std::uint64_t key = 0;
  Duration client_timeout{};         ///< From its arrival until the client gives up.
  std::chrono::microseconds hint{};  ///< Expected running time; zero: none given.
  double slots = 1, memory = 0;
  bool repeat = false;  ///< The client says that it is a retry.
  bool wants_progress = false;
  bool limits_retries = false;  ///< Its class limits what may be repeated once it may have run.
  std::string_view path, idempotency_key;  ///< These point into the payload.
  std::size_t bytes = 0;                   ///< Size of the payload, approximately.
  std::shared_ptr<const Payload> payload;
};

/// Identifies an attempt: the request, and the place of the attempt among its attempts.
struct AttemptRef {
  RequestId request = 0;
  int attempt = 0;
  bool operator==(const AttemptRef&) const = default;
};

}  // namespace keelflow
