/// The load that other dispatchers report for shared endpoints, and the message format of the
/// reports.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler/endpoint_table.h"

namespace keelflow::scheduler {

/// The event at an endpoint that a load update reports.
enum class LoadSignal : std::uint8_t {
  none,
  sent,
  served,
  rejected,
  late_start,
  unreachable,
  failed
};

/// A message of 8 bytes, big-endian: endpoint (4), incarnation tag (1), the sender's capacity
/// slots in flight there (1, at most 255), signal (1), and a detail (1). The detail is the work
/// sent, in units of 64 ms, rounded up, for `sent`, and the service time ratio of the completed
/// attempt x 32 for `served`. The message is kept small because messages are priced by size.
struct LoadUpdate {
  EndpointId endpoint = 0;
  /// Identifies the incarnation: updates on a previous one do not apply to the current one.
  std::uint8_t incarnation_tag = 0;
  double in_flight = 0;
  LoadSignal signal = LoadSignal::none;
  double service_time_ratio = 1;
  double work_ms = 0;
};

std::string encode(const LoadUpdate& update);
/// Returns nothing if the bytes are not a load update. Peers of another release may send other
/// messages.
std::optional<LoadUpdate> decode_load_update(std::string_view bytes);

/// An identifier of one incarnation of an endpoint, the same at every dispatcher.
std::uint64_t incarnation_of(const EndpointEntry& entry);
std::uint8_t incarnation_tag(const EndpointEntry& entry);

/// Time after which a report expires unless the peer sends another one, since a dead peer sends
/// none and messages may be lost.
constexpr double kReportLifetimeMs = 5000;

/// The capacity slots that peers occupy at each endpoint, according to their last reports.
class PeerLoad {
 public:
  /// Discards the reports for a new incarnation of the endpoint.
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
  std::vector<std::vector<Report>> reports_;  // by EndpointSlot
};

}  // namespace keelflow::scheduler
