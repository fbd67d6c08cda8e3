/// Encoding of load updates and storage of the reports.
#include "scheduler/peer_load.h"

#include <algorithm>
#include <cmath>

#include "scheduler/hashing.h"

namespace keelflow::scheduler {
namespace {

constexpr std::size_t kLoadUpdateBytes = 8;
constexpr std::size_t kEndpointBytes = 4;
constexpr std::size_t kTagOffset = 4;
constexpr std::size_t kInFlightOffset = 5;
constexpr std::size_t kSignalOffset = 6;
constexpr std::size_t kDetailOffset = 7;
constexpr double kWorkUnitMs = 64;
constexpr double kRatioUnitsPerOne = 32;

char to_byte(double value) {
  return static_cast<char>(static_cast<std::uint8_t>(std::clamp(std::round(value), 0.0, 255.0)));
}

std::uint8_t byte_at(std::string_view bytes, std::size_t offset) {
  return static_cast<std::uint8_t>(bytes[offset]);
}

}  // namespace

std::string encode(const LoadUpdate& update) {
  std::string out;
  for (int shift : {24, 16, 8, 0})
    out += static_cast<char>(update.endpoint >> shift & 0xff);
  out += static_cast<char>(update.incarnation_tag);
  out += to_byte(std::ceil(update.in_flight));
  out += static_cast<char>(update.signal);
  out += update.signal == LoadSignal::sent ? to_byte(std::ceil(update.work_ms / kWorkUnitMs))
                                           : to_byte(update.service_time_ratio * kRatioUnitsPerOne);
  return out;
}

std::optional<LoadUpdate> decode_load_update(std::string_view bytes) {
  if (bytes.size() != kLoadUpdateBytes)
    return std::nullopt;
  std::uint8_t signal = byte_at(bytes, kSignalOffset);
  if (signal > static_cast<std::uint8_t>(LoadSignal::failed))
    return std::nullopt;
  LoadUpdate update;
  for (std::size_t i = 0; i < kEndpointBytes; ++i)
    update.endpoint = update.endpoint << 8 | byte_at(bytes, i);
  update.incarnation_tag = byte_at(bytes, kTagOffset);
  update.in_flight = byte_at(bytes, kInFlightOffset);
  update.signal = static_cast<LoadSignal>(signal);
  std::uint8_t detail = byte_at(bytes, kDetailOffset);
  if (update.signal == LoadSignal::served)
    update.service_time_ratio = detail / kRatioUnitsPerOne;
  if (update.signal == LoadSignal::sent)
    update.work_ms = detail * kWorkUnitMs;
  return update;
}

std::uint64_t incarnation_of(const EndpointEntry& entry) {
  auto started_us = static_cast<std::uint64_t>(std::max(0.0, entry.started_at) * 1000);
  return mix(entry.endpoint ^ mix(started_us));
}

std::uint8_t incarnation_tag(const EndpointEntry& entry) {
  return static_cast<std::uint8_t>(incarnation_of(entry));
}

void PeerLoad::reset(EndpointSlot slot) {
  if (slot >= reports_.size())
    reports_.resize(slot + std::size_t{1});
  reports_[slot].clear();
}

void PeerLoad::set(EndpointSlot slot, int peer, double in_flight, Time until) {
  std::vector<Report>& reports = reports_[slot];
  std::erase_if(reports, [peer](const Report& report) { return report.peer == peer; });
  if (in_flight > 0)
    reports.push_back({peer, in_flight, until});
}

}  // namespace keelflow::scheduler
