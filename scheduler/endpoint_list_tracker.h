/// Applies the endpoint list, and polls for it if discovery does not push it.
#pragma once

#include "scheduler/availability.h"
#include "scheduler/endpoint_health.h"
#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/peer_load.h"
#include "scheduler/service_statistics.h"
#include "scheduler/slow_start.h"
#include "scheduler/subset.h"

namespace keelflow::scheduler {

/// Owns the polling state. Applies endpoint list, subset and slow-start events to the components
/// passed to the constructor.
class EndpointListTracker {
 public:
  EndpointListTracker(Environment& environment, EndpointTable& endpoints, EndpointHealth& health,
                      PeerLoad& peer_load, ServiceStatistics& statistics, SlowStart& slow_start,
                      Subset& subset, Availability& availability)
      : environment_(environment),
        endpoints_(endpoints),
        health_(health),
        peer_load_(peer_load),
        statistics_(statistics),
        slow_start_(slow_start),
        subset_(subset),
        availability_(availability) {}

  void on_list(const EndpointList& list);
  void on_subset(const SubsetChanged& event);
  void on_slow_start_shares(const SlowStartShares& event);
  void on_slow_start_grant(const SlowStartGrant& grant);
  /// Polls the endpoint list unless a subscription or a poll is already active.
  void on_poll_timer();

 private:
  void remove_missing(const EndpointList& complete);
  void apply(const EndpointEntry& entry);
  EndpointSlot add(const EndpointEntry& entry);
  bool is_same_incarnation(const EndpointEntry& entry) const;
  void schedule_poll();

  Environment& environment_;
  EndpointTable& endpoints_;
  EndpointHealth& health_;
  PeerLoad& peer_load_;
  ServiceStatistics& statistics_;
  SlowStart& slow_start_;
  Subset& subset_;
  Availability& availability_;
  bool is_subscribed_ = false;
  bool is_polling_ = false;
  double poll_backoff_ms_ = 0;
};

}  // namespace keelflow::scheduler
