/// Selects the endpoint for a request: samples a few endpoints with capacity and picks the one with
/// the lowest cost, which is based on its slots in flight.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "scheduler/availability.h"
#include "scheduler/congestion.h"
#include "scheduler/cost_calibration.h"
#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/key_frequency.h"
#include "scheduler/retry_policy.h"

namespace keelflow::scheduler {

/// Owns the key frequencies; reads all other inputs from the components passed to the constructor.
class EndpointSelector {
 public:
  EndpointSelector(Environment& environment, const EndpointTable& endpoints,
                   const EndpointHealth& health, const SlowStart& slow_start,
                   const Availability& availability, const Subset& subset,
                   const RetryPolicy& retry_policy, const CostCalibration& calibration,
                   const ServiceStatistics& statistics, const Congestion& congestion)
      : environment_(environment),
        endpoints_(endpoints),
        health_(health),
        slow_start_(slow_start),
        availability_(availability),
        subset_(subset),
        retry_policy_(retry_policy),
        calibration_(calibration),
        statistics_(statistics),
        congestion_(congestion) {
    on_settings();
  }

  void on_settings();
  void record_key(std::uint64_t key) { key_frequency_.count(key); }

  /// Selects an endpoint that already received this request only if no other endpoint has capacity.
  std::optional<EndpointSlot> select(const Request& request);

 private:
  using Selected = std::optional<EndpointSlot>;
  using Available = const SampledSet& (EndpointTable::*)(int kind) const;

  Selected select_any(const Request& request);
  Selected select_in_cell(const Request& request, int cell) const;
  Selected select_near_subset(const Request& request, bool avoids_reserved_kinds);
  Selected select_by_key(const Request& request, bool avoids_reserved_kinds) const;
  Selected sample(Available available, const Request& request, bool avoids_reserved_kinds);

  bool may_use_kind(const Request& request, int kind, bool avoids_reserved_kinds) const;
  bool is_usable(const Request& request, EndpointSlot slot) const;
  bool is_in_time_while_warming_up(const Request& request, EndpointSlot slot) const;
  /// Expected running time at the endpoint now, divided by the calibrated cost.
  double relative_slowness(EndpointSlot slot) const {
    return statistics_.service_time_ratio(slot) / slow_start_.weight(slot);
  }
  double cost_of(const Request& request, EndpointSlot slot) const;
  void keep_cheaper(const Request& request, Selected& best, EndpointSlot candidate) const;

  struct RingPoint {
    std::uint64_t distance;
    EndpointId endpoint;
    EndpointSlot slot;
  };
  /// The ring points closest to the hashes of the request's key, by increasing distance.
  std::vector<RingPoint> nearest_ring_points(const Request& request,
                                             bool avoids_reserved_kinds) const;
  /// The number of endpoints, closest on the ring first, that a request with a key may use.
  double key_spread(const Request& request, double endpoints) const;
  double ready_endpoints(const Request& request, bool avoids_reserved_kinds) const;

  Environment& environment_;
  const EndpointTable& endpoints_;
  const EndpointHealth& health_;
  const SlowStart& slow_start_;
  const Availability& availability_;
  const Subset& subset_;
  const RetryPolicy& retry_policy_;
  const CostCalibration& calibration_;
  const ServiceStatistics& statistics_;
  const Congestion& congestion_;
  KeyFrequency key_frequency_;
  std::vector<bool> reserved_kinds_;  // kinds that some class requires
  std::set<EndpointId> tried_;        // endpoints that already received the request being placed
};

}  // namespace keelflow::scheduler
