/// \file
/// The ways in which a call to discovery ends.
#pragma once

#include <cstdint>
#include <string_view>

namespace keelflow::discovery {

/// Why a call to discovery ended. The list lease (list_lease.h) decides what that proves about
/// discovery.
enum class CallEnd : std::uint8_t {
  connect_refused,  ///< no process listens at the address (ECONNREFUSED)
  connect_failed,   ///< any other connection error, or no socket was available
  not_connected,    ///< replaced by a later call before its connection was established
  rejected,         ///< answered with a status other than 200
  closed,           ///< closed or reset by discovery after the connection was established
  timed_out,        ///< a watch missed its heartbeat, or an object was not completed in time
  unanswered,       ///< replaced by a later call while connected and without an answer
  malformed,        ///< the body is not a list, or has entries that cannot be decoded
  stale_version,    ///< the list is older than the current one
  superseded,       ///< another call has become the watch
  cancelled,        ///< the address of discovery has changed, or the process ends
};

/// The name in the log. It is part of the log's format and does not change when an enumerator is
/// renamed.
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
