/// Applies the outcomes of attempts and the reports of peers to an endpoint's health and load, and
/// notifies the dispatchers that share the endpoint.
#pragma once

#include "scheduler/availability.h"
#include "scheduler/endpoint_health.h"
#include "scheduler/environment.h"
#include "scheduler/peer_load.h"
#include "scheduler/service_statistics.h"
#include "scheduler/slow_start.h"
#include "scheduler/subset.h"

namespace keelflow::scheduler {

/// Owns only the flag whether a sibling process is present; all other state belongs to the
/// components passed to the constructor.
class EndpointFeedback {
 public:
  EndpointFeedback(Environment& environment, const EndpointTable& endpoints, EndpointHealth& health,
                   PeerLoad& peer_load, ServiceStatistics& statistics, SlowStart& slow_start,
                   const Subset& subset, Availability& availability)
      : environment_(environment),
        endpoints_(endpoints),
        health_(health),
        peer_load_(peer_load),
        statistics_(statistics),
        slow_start_(slow_start),
        subset_(subset),
        availability_(availability) {}

  /// Applies the outcome of an attempt of this dispatcher or of a peer.
  void apply(EndpointSlot slot, LoadSignal signal);
  /// To be called when an attempt starts, in time or late.
  void clear_outlier_signs(EndpointSlot slot) { health_.clear_outlier_signs(slot); }
  /// To be called when an attempt starts in time.
  void on_timely_start(EndpointSlot slot);
  /// Handles an attempt that has not started in time. `is_fault`: the delay is too long to be
  /// explained by a busy endpoint, so the endpoint is ejected as an outlier, not as overloaded.
  void on_late_start(EndpointSlot slot, bool is_fault);

  /// Notifies the sibling process and the dispatchers that share the endpoint; the arguments are
  /// described at LoadUpdate.
  void notify(EndpointSlot slot, LoadSignal signal, double service_time_ratio = 1,
              double work_ms = 0) const;
  void on_peer_message(const PeerMessage& message);

  void set_sibling(bool is_present) { has_sibling_ = is_present; }
  bool has_sibling() const { return has_sibling_; }

 private:
  void record_success(EndpointSlot slot);
  void eject(EndpointSlot slot, bool is_fault);
  void apply_details(EndpointSlot slot, const LoadUpdate& update, int peer);

  Environment& environment_;
  const EndpointTable& endpoints_;
  EndpointHealth& health_;
  PeerLoad& peer_load_;
  ServiceStatistics& statistics_;
  SlowStart& slow_start_;
  const Subset& subset_;
  Availability& availability_;
  bool has_sibling_ = false;
};

}  // namespace keelflow::scheduler
