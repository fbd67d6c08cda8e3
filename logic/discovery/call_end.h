// How a call to discovery ended, and what its end says of discovery.
#pragma once

#include <cstdint>
#include <string_view>

namespace keelflow::discovery {

enum class CallEnd : std::uint8_t {
  connect_refused,   // nobody listens there
  connect_failed,    // in another way, or no socket to be had
  no_connection,     // given up for a later call, or ended, while its connection had never come up
  refused,           // answered with another status than 200
  closed,            // closed or reset by discovery after the connection was up
  silent,            // a watch on which nothing came for too long, or an object that did not end
  unanswered,        // given up for a later call while its connection was up and nothing had been
                     // answered
  malformed,         // no list, or one with entries that could not be read
  out_of_date,       // its list was older than the one in hand
  superseded,        // another call has become the watch
  no_longer_wanted,  // discovery has moved, or the process ends
};

constexpr std::string_view to_string(CallEnd end) {
  switch (end) {
    case CallEnd::connect_refused:
      return "connect-refused";
    case CallEnd::connect_failed:
      return "connect-failed";
    case CallEnd::no_connection:
      return "no-connection";
    case CallEnd::refused:
      return "refused";
    case CallEnd::closed:
      return "closed";
    case CallEnd::silent:
      return "silent";
    case CallEnd::unanswered:
      return "unanswered";
    case CallEnd::malformed:
      return "malformed";
    case CallEnd::out_of_date:
      return "out-of-date";
    case CallEnd::superseded:
      return "superseded";
    case CallEnd::no_longer_wanted:
      return "no-longer-wanted";
  }
  return "";
}

}  // namespace keelflow::discovery
