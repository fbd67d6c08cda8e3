/// A client's request in the form that the core uses, and the identifier of one of its attempts.
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

/// The content that the outbound side forwards unchanged; opaque to the core.
struct Payload;

/// One request with the parameters that its client gave.
struct Job {
  std::string id;  ///< Assigned by the client.
  int class_index = 0, tenant = 0;
  std::uint64_t key = 0;
  Duration client_timeout{};         ///< Time from arrival until the client gives up.
  std::chrono::microseconds hint{};  ///< Expected running time; zero if not given.
  double slots = 1, memory = 0;
  bool repeat = false;  ///< The client marked the request as a retry.
  bool wants_progress = false;
  bool has_limited_retries = false;  ///< Its class limits retries of attempts that may have run.
  std::string_view path, idempotency_key;  ///< Views into the payload.
  std::size_t bytes = 0;                   ///< Approximate size of the payload.
  std::shared_ptr<const Payload> payload;
};

/// Identifies an attempt by its request and its index among the attempts of that request.
struct AttemptRef {
  RequestId request = 0;
  int attempt = 0;
  bool operator==(const AttemptRef&) const = default;
};

}  // namespace keelflow
