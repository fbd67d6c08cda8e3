/// The message that dispatchers exchange about leases on the slow-start budget of an endpoint, and
/// its codec: 28 bytes, big-endian. docs/design/fleet.md specifies the layout.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// A request for a lease, the owner's answer to it (work 0: denied), or the return of the unused
/// rest of a lease.
struct SlowStartMessage {
  /// Values as on the wire.
  enum class Kind : std::uint8_t { request = 0, grant = 1, returned = 2 } kind = Kind::request;
  scheduler::EndpointId endpoint = 0;
  std::uint32_t endpoint_incarnation = 0;   ///< as returned by incarnation_tag_of()
  std::uint32_t requester_incarnation = 0;  ///< of the node that requested the lease
  std::uint32_t number = 0;                 ///< of the request; increases within that incarnation
  std::uint32_t work_ms = 0;                ///< requested, granted or returned
  std::uint32_t least_work_ms = 0;  ///< in a request: smaller grants are useless to the borrower
};

std::string encode(const SlowStartMessage& message);

/// Returns an empty optional if the size is wrong or the type, version or kind is unknown.
std::optional<SlowStartMessage> decode_slow_start_message(std::string_view bytes);

}  // namespace keelflow::fleet
