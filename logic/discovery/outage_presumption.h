/// \file
/// Whether an outage of discovery is presumed, so that the list from before it stays in use.
///
/// A call that is answered with 503 after it has waited in discovery's queue means that discovery
/// is down or overloaded, and does not tell which. Under overload some processes of the fleet have
/// a watch; in an outage none has. So peers are polled, a few random ones each second. An outage is
/// presumed only while this process' own calls are rejected, some peers have recently answered that
/// they have no watch either, and none that it has one. Without answers nothing is presumed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/call_schedule.h"

namespace keelflow::discovery {

/// The evidence for an outage. Does no I/O: the caller passes the time. Reports no errors; not
/// thread-safe.
class OutagePresumption {
 public:
  /// A call was answered with 503.
  void call_rejected(TimePoint began, TimePoint now);
  void peer_has_watch(TimePoint now);
  void peer_has_no_watch(TimePoint now);
  /// Discovery can be reached, or its state is not known any more: all evidence is dropped.
  void end();

  /// Until when an outage is presumed if nothing further happens. Empty: none is presumed at `now`.
  std::optional<TimePoint> until(TimePoint now) const;

 private:
  std::optional<TimePoint> last_rejected_began_;
  std::optional<TimePoint> last_peer_without_watch_;
  std::optional<TimePoint> last_peer_with_watch_;
};

/// What processes ask and answer one another about their watches: three bytes, a tag, a version and
/// the kind. A process of an earlier release ignores it as a message of an unknown kind.
struct WatchMessage {
  enum class Kind : std::uint8_t {
    question = 1,
    has_watch = 2,
    has_no_watch = 3
  } kind = Kind::question;
};
std::string encode(const WatchMessage& message);
/// Empty: the bytes are a message of another kind.
std::optional<WatchMessage> decode_watch_message(std::string_view bytes);

}  // namespace keelflow::discovery
