/// Creates a snapshot of a Dispatcher's learned state and restores it in its successor.
#pragma once

#include "scheduler/availability.h"
#include "scheduler/congestion.h"
#include "scheduler/cost_calibration.h"
#include "scheduler/endpoint_health.h"
#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/learned_state.h"
#include "scheduler/peer_load.h"
#include "scheduler/service_statistics.h"
#include "scheduler/slow_start.h"

namespace keelflow::scheduler {

/// Stateless: reads the state from the components that own it and restores it there.
class StateTransfer {
 public:
  StateTransfer(Environment& environment, const EndpointTable& endpoints, EndpointHealth& health,
                PeerLoad& peer_load, ServiceStatistics& statistics, SlowStart& slow_start,
                CostCalibration& calibration, Congestion& congestion, Availability& availability)
      : environment_(environment),
        endpoints_(endpoints),
        health_(health),
        peer_load_(peer_load),
        statistics_(statistics),
        slow_start_(slow_start),
        calibration_(calibration),
        congestion_(congestion),
        availability_(availability) {}

  LearnedState snapshot(Time now) const;
  void restore(const LearnedState& learned);

 private:
  void restore(const LearnedState::Endpoint& learned);

  Environment& environment_;
  const EndpointTable& endpoints_;
  EndpointHealth& health_;
  PeerLoad& peer_load_;
  ServiceStatistics& statistics_;
  SlowStart& slow_start_;
  CostCalibration& calibration_;
  Congestion& congestion_;
  Availability& availability_;
};

}  // namespace keelflow::scheduler
