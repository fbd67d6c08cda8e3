/// The JSON of /status and /fleet, as far as it is not the traffic's. Operators' tools read its
/// keys.
#pragma once

#include <nlohmann/json.hpp>

#include "admin/operator_calls.h"
#include "admin_overrides/admin_overrides.h"
#include "config/config.h"
#include "config/own_config.h"
#include "core/counters.h"
#include "core/engine.h"
#include "discovery/destination_set.h"
#include "fleet/membership_agent.h"
#include "inbound/server.h"
#include "invariants/monitor.h"
#include "net/event_loop.h"

namespace keelflow {

/// Reads the parts of the node when asked, and keeps nothing. All that it refers to must outlive
/// it.
class StatusReport {
 public:
  struct Sources {
    const Config& config;
    const config::Own& own;
    const net::EventLoop& loop;
    const UnixClock& clock;
    const Engine& engine;
    const admin_overrides::AdminOverrides& overrides;
    const DestinationSet& destinations;
    const MembershipAgent& membership;
    const Server& server;
    const invariants::Monitor& monitor;
    Counters& counters;  ///< Its log_dropped is brought up to date.
  };
  explicit StatusReport(const Sources& sources) : from_(sources) {}

  nlohmann::json status() const;
  nlohmann::json fleet() const;
  /// What operators may poll as the state of the moment.
  Gauges gauges() const;
  /// Writes all counters to the log.
  void log_counters() const;

 private:
  nlohmann::json counters() const;
  nlohmann::json forbidden() const;
  nlohmann::json violations() const;
  nlohmann::json subsets() const;
  nlohmann::json leases() const;
  std::string host_of(EndpointId endpoint) const;

  Sources from_;
};

}  // namespace keelflow
