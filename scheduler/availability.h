/// Determines whether an endpoint can receive attempts now and how much capacity it has left; keeps
/// the indexes of the endpoint table up to date.
#pragma once

#include "scheduler/endpoint_health.h"
#include "scheduler/endpoint_table.h"
#include "scheduler/peer_load.h"
#include "scheduler/request.h"
#include "scheduler/slow_start.h"
#include "scheduler/subset.h"

namespace keelflow::scheduler {

/// Reads the health, load and slow-start state of an endpoint; writes only the indexes of the
/// endpoint table.
class Availability {
 public:
  Availability(const Environment& environment, EndpointTable& endpoints,
               const EndpointHealth& health, const PeerLoad& peer_load, const Subset& subset,
               const SlowStart& slow_start)
      : environment_(environment),
        endpoints_(endpoints),
        health_(health),
        peer_load_(peer_load),
        subset_(subset),
        slow_start_(slow_start) {}

  /// Capacity slots in flight at the endpoint: this dispatcher's and those that peers reported.
  double occupied(EndpointSlot slot) const {
    return endpoints_.at(slot).in_flight + peer_load_.sum(slot, environment_.now);
  }
  bool is_full(EndpointSlot slot) const {
    return occupied(slot) >= health_.concurrency_limit(slot);
  }
  /// An endpoint with nothing in flight has capacity for one request of any size.
  bool has_capacity_for(const Request& request, EndpointSlot slot) const {
    double slots = occupied(slot);
    return slots <= 0 || slots + request.load <= health_.concurrency_limit(slot);
  }

  /// Updates the indexes; must be called after any change that may affect the endpoint's
  /// availability.
  void refresh(EndpointSlot slot);

 private:
  const Environment& environment_;
  EndpointTable& endpoints_;
  const EndpointHealth& health_;
  const PeerLoad& peer_load_;
  const Subset& subset_;
  const SlowStart& slow_start_;
};

}  // namespace keelflow::scheduler
