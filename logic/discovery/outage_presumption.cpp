#include "discovery/outage_presumption.h"

#include <algorithm>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWaitedInLine = 800ms;  // sooner a refusal says nothing of the service behind it
constexpr Duration kRefusalCounts = 5s;    // from the start of the refused call
constexpr Duration kNoneCounts = 3s;       // the word of a peer that has no watch
constexpr Duration kWatchCounts = 2500ms;  // the word of one that has one: against an outage
constexpr char kTag = '\x57', kVersion = 1;

}  // namespace

void OutagePresumption::call_refused(TimePoint began, TimePoint now) {
  if (now - began >= kWaitedInLine)
    refused_ = std::max(refused_.value_or(began), began);
}

void OutagePresumption::peer_has_watch(TimePoint now) {
  watch_ = now;
}
void OutagePresumption::peer_has_none(TimePoint now) {
  none_ = now;
}

void OutagePresumption::end() {
  *this = {};
}

std::optional<TimePoint> OutagePresumption::until(TimePoint now) const {
  if (!refused_ || !none_)
    return std::nullopt;
  if (watch_ && now < *watch_ + kWatchCounts)
    return std::nullopt;
  TimePoint until = std::min(*refused_ + kRefusalCounts, *none_ + kNoneCounts);
  return now < until ? std::optional(until) : std::nullopt;
}

std::string encode(const WatchMessage& message) {
  return {kTag, kVersion, static_cast<char>(message.kind)};
}

std::optional<WatchMessage> decode_watch_message(std::string_view bytes) {
  if (bytes.size() != 3 || bytes[0] != kTag || bytes[1] != kVersion)
    return std::nullopt;
  if (bytes[2] < 1 || bytes[2] > 3)
    return std::nullopt;
  return WatchMessage{static_cast<WatchMessage::Kind>(bytes[2])};
}

}  // namespace keelflow::discovery
