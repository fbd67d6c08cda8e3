#include "discovery/outage_presumption.h"

#include <algorithm>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

// A call that is rejected sooner has not waited in discovery's queue and is no evidence of an
// outage.
constexpr Duration kMinQueueTime = 800ms;
// How long a rejected call is evidence, counted from its start.
constexpr Duration kRejectionLifetime = 5s;
// How long the answer of a peer without a watch is evidence of an outage.
constexpr Duration kNoWatchLifetime = 3s;
// How long the answer of a peer with a watch is evidence against an outage.
constexpr Duration kWatchLifetime = 2500ms;
// The first two bytes of a watch message.
constexpr char kTag = '\x57';
constexpr char kVersion = 1;
constexpr std::size_t kMessageSize = 3;

}  // namespace

void OutagePresumption::call_rejected(TimePoint began, TimePoint now) {
  if (now - began >= kMinQueueTime)
    last_rejected_began_ = std::max(last_rejected_began_.value_or(began), began);
}

void OutagePresumption::peer_has_watch(TimePoint now) {
  last_peer_with_watch_ = now;
}

void OutagePresumption::peer_has_no_watch(TimePoint now) {
  last_peer_without_watch_ = now;
}

void OutagePresumption::end() {
  *this = {};
}

std::optional<TimePoint> OutagePresumption::until(TimePoint now) const {
  if (!last_rejected_began_ || !last_peer_without_watch_)
    return std::nullopt;
  if (last_peer_with_watch_ && now < *last_peer_with_watch_ + kWatchLifetime)
    return std::nullopt;
  TimePoint until = std::min(*last_rejected_began_ + kRejectionLifetime,
                             *last_peer_without_watch_ + kNoWatchLifetime);
  return now < until ? std::optional(until) : std::nullopt;
}

std::string encode(const WatchMessage& message) {
  return {kTag, kVersion, static_cast<char>(message.kind)};
}

std::optional<WatchMessage> decode_watch_message(std::string_view bytes) {
  if (bytes.size() != kMessageSize || bytes[0] != kTag || bytes[1] != kVersion)
    return std::nullopt;
  auto kind = static_cast<WatchMessage::Kind>(bytes[2]);
  if (kind < WatchMessage::Kind::question || kind > WatchMessage::Kind::has_no_watch)
    return std::nullopt;
  return WatchMessage{kind};
}

}  // namespace keelflow::discovery
