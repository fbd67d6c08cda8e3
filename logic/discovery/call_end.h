/// \file
/// The ways in which a call to discovery ends.
#pragma once

#include <cstdint>
#include <string_view>

namespace keelflow::discovery {

/// Why a call to discovery ended. What that proves about discovery is decided by the list lease
/// (list_lease.h) and the outage presumption (outage_presumption.h).
enum class CallEnd : std::uint8_t {
  connect_refused,  ///< nobody listens at the address (ECONNREFUSED)
  connect_failed,   ///< any other connection error, or no socket was available
  not_connected,    ///< replaced by a later call before its connection was established
  rejected,         ///< answered with a status other than 200
  closed,           ///< closed or reset by discovery after the connection was established
  timed_out,        ///< a watch without a heartbeat in time, or an object that was not completed
  unanswered,       ///< replaced by a later call while connected and without an answer
  malformed,        ///< its body is no list, or has entries that cannot be decoded
  stale_version,    ///< its list is older than the present one
  superseded,       ///< another call has become the watch
  cancelled,        ///< the address of discovery has changed, or the process ends
};

/// The name in the log. Part of the log's format, so it stays when an enumerator is renamed.
constexpr std::string_view to_string(CallEnd end) {
  switch (end) {
    case CallEnd::connect_refused:
      return "connect-refused";
    case CallEnd::connect_failed:
      return "connect-failed";
    case CallEnd::not_connected:
      return "no-connection";
    case CallEnd::rejected:
      return "refused";
    case CallEnd::closed:
      return "closed";
    case CallEnd::timed_out:
      return "silent";
    case CallEnd::unanswered:
      return "unanswered";
    case CallEnd::malformed:
      return "malformed";
    case CallEnd::stale_version:
      return "out-of-date";
    case CallEnd::superseded:
      return "superseded";
    case CallEnd::cancelled:
      return "no-longer-wanted";
  }
  return "";
}

}  // namespace keelflow::discovery
