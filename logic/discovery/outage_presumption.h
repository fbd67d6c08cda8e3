// Whether an outage of discovery is presumed, so that the list from before it goes on serving. A
// call that is answered with 503 after it has waited in line says that discovery is down or
// crowded, and cannot tell which. In a crowd some processes of the fleet have a watch, in an outage
// none has: so peers are asked, a few drawn ones each second. An outage is presumed only while this
// process' own calls are refused, some peers have lately said that they have no watch either, and
// none that it has one. Silence of the peers presumes nothing. Pure: time is an argument.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "discovery/call_schedule.h"

namespace keelflow::discovery {

class OutagePresumption {
 public:
  // A call was answered with 503.
  void call_refused(TimePoint began, TimePoint now);
  void peer_has_watch(TimePoint now);
  void peer_has_none(TimePoint now);
  void end();  // the list is known to be complete, or nothing is known of it any more

  // Until when it holds if nothing further happens; empty: it does not hold now.
  std::optional<TimePoint> until(TimePoint now) const;

 private:
  std::optional<TimePoint> refused_, none_, watch_;  // the last of each
};

// What processes ask and answer one another about it: three bytes.
struct WatchMessage {
  enum class Kind : std::uint8_t {
    question = 1,
    has_watch = 2,
    has_none = 3
  } kind = Kind::question;
};
std::string encode(const WatchMessage& message);
// Empty: it is another message. A process of an earlier release takes it for none of its own.
std::optional<WatchMessage> decode_watch_message(std::string_view bytes);

}  // namespace keelflow::discovery
