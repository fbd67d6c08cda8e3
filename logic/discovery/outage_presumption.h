/// \file
/// Whether an outage of discovery is presumed. During an outage the last endpoint list stays in
/// use.
///
/// A call that is answered with 503 after it has waited in discovery's queue means that discovery
/// is either down or overloaded. Under overload some processes of the fleet have a watch; during an
/// outage none has. Therefore a few random peers are polled each second. An outage is presumed only
/// while this process's own calls are rejected, some peer has recently answered that it has no
/// watch either, and no peer has recently answered that it has one. Without answers from peers no
/// outage is presumed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/call_schedule.h"

namespace keelflow::discovery {

/// The evidence for an outage of discovery. Does no I/O: the caller passes the time. Its
/// functions return no errors; not thread-safe.
class OutagePresumption {
 public:
  /// A call was answered with 503.
  void call_rejected(TimePoint began, TimePoint now);
  void peer_has_watch(TimePoint now);
  void peer_has_no_watch(TimePoint now);
  /// Discovery can be reached, or its state is no longer known. Drops all evidence.
  void end();

  /// Until when an outage is presumed if no further event occurs. Empty if none is presumed at
  /// `now`.
  std::optional<TimePoint> until(TimePoint now) const;

 private:
  std::optional<TimePoint> last_rejected_began_;
  std::optional<TimePoint> last_peer_without_watch_;
  std::optional<TimePoint> last_peer_with_watch_;
};

/// The question whether a peer has a watch, or the answer. Encoded in three bytes: tag, version and
/// kind. A process of an earlier release ignores it as a message of an unknown kind.
struct WatchMessage {
  enum class Kind : std::uint8_t {
    question = 1,
    has_watch = 2,
    has_no_watch = 3
  } kind = Kind::question;
};
std::string encode(const WatchMessage& message);
/// Empty if the bytes are not a watch message.
std::optional<WatchMessage> decode_watch_message(std::string_view bytes);

}  // namespace keelflow::discovery
