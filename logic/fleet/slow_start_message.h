/// The message that dispatchers exchange about leases on the slow-start budget of an endpoint, and
/// its codec: 28 bytes, big-endian. docs/design/fleet.md has every byte.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// A request for a lease, the owner's answer to it (work 0: denied), or the return of what was not
/// used of a lease.
struct SlowStartMessage {
  /// The values are those on the wire.
  enum class Kind : std::uint8_t { request = 0, grant = 1, returned = 2 } kind = Kind::request;
  scheduler::EndpointId endpoint = 0;
  std::uint32_t endpoint_incarnation = 0;   ///< as of incarnation_tag_of()
  std::uint32_t requester_incarnation = 0;  ///< of the node that requested the lease
  std::uint32_t number = 0;                 ///< of the request, rising within that incarnation
  std::uint32_t work_ms = 0;                ///< requested, granted or returned
  std::uint32_t least_work_ms = 0;          ///< of a request: a smaller grant is of no use
};

std::string encode(const SlowStartMessage& message);

/// Empty: the bytes are of another version, size or kind.
std::optional<SlowStartMessage> decode_slow_start_message(std::string_view bytes);

}  // namespace keelflow::fleet
