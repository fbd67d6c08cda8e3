/// What other dispatchers report of the endpoints that they share with this one, and the message
/// that reports it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler/endpoint_table.h"

namespace keelflow::scheduler {

/// What a dispatcher has met at an endpoint.
enum class LoadSignal : std::uint8_t {
  none,
  sent,
  served,
  rejected,
  late_start,
  unreachable,
  failed
};

/// A message of 8 bytes, big-endian: endpoint (4), a tag of its incarnation (1), own slots in
/// flight there (1, at most 255), signal (1), and with `served` the service time ratio x 32 of the
/// attempt that ended, with `sent` the work that went out in units of 64 ms, rounded up (1).
/// Messages are priced by size.
struct LoadUpdate {
  EndpointId endpoint = 0;
  /// Updates on a former incarnation say nothing of the present one.
  std::uint8_t incarnation_tag = 0;
  double in_flight = 0;
  LoadSignal signal = LoadSignal::none;
  double service_time_ratio = 1;
  double work_ms = 0;
};

std::string encode(const LoadUpdate& update);
/// Empty: not such a message. Peers of another release may send other ones.
std::optional<LoadUpdate> decode_load_update(std::string_view bytes);

/// A number for one incarnation of an endpoint, the same at every dispatcher.
std::uint64_t incarnation_of(const EndpointEntry& entry);
std::uint8_t incarnation_tag(const EndpointEntry& entry);

/// For how long a report counts unless the peer reports anew: a peer that has died reports no more,
/// and a message may be lost.
constexpr double kReportLifetimeMs = 5000;

/// The slots that others hold at each endpoint, by what each reported last.
class PeerLoad {
 public:
  /// A new incarnation.
  void reset(EndpointSlot slot);
  void set(EndpointSlot slot, int peer, double in_flight, Time until);
  double sum(EndpointSlot slot, Time now) const {
    double all = 0;
    for (const Report& report : reports_[slot])
      all += report.until > now ? report.in_flight : 0;
    return all;
  }

 private:
  struct Report {
    int peer;
    double in_flight;
    Time until;
  };
  std::vector<std::vector<Report>> reports_;  // by slot
};

}  // namespace keelflow::scheduler
