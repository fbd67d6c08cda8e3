#include "admin/status_report.h"

#include "log/log.h"
#include "operation_guard/operation_guard.h"

namespace keelflow {

using nlohmann::json;

json StatusReport::status() const {
  return {{"name", from_.config.name},
          {"address", from_.server.address().text()},
          {"version", KEELFLOW_VERSION},
          {"forbidden", forbidden()},
          {"violations", violations()},
          {"draining", from_.counters.drain_stage > 0},
          {"open_requests", from_.engine.open_requests()},
          {"open_attempts", from_.engine.open_attempts()},
          {"counters", counters()}};
}

json StatusReport::counters() const {
  from_.counters.log_dropped = log::dropped();
  json all = json::object();
#define X(name) all[#name] = from_.counters.name;
  KEELFLOW_COUNTERS(X)
#undef X
  return all;
}

Gauges StatusReport::gauges() const {
  std::size_t unavailable = from_.overrides.unavailable(
      [this](EndpointId endpoint) { return from_.engine.is_ejected(endpoint); });
  return {.pending = from_.engine.pending_requests(),
          .members = from_.overrides.listed(),
          .members_unavailable = unavailable};
}

void StatusReport::log_counters() const {
  from_.counters.log_dropped = log::dropped();
  std::vector<log::Field> fields;
#define X(name) fields.emplace_back(#name, from_.counters.name);
  KEELFLOW_COUNTERS(X)
#undef X
  log::info(log::Subsystem::node, "counters", fields);
}

// What the operation guard has forbidden, by operation and reason.
json StatusReport::forbidden() const {
  using operation_guard::Operation;
  using operation_guard::Reason;
  json all = json::object();
  for (Operation operation :
       {Operation::send, Operation::repeat, Operation::close, Operation::start}) {
    for (std::size_t i = 1; i < operation_guard::kReasonCount; ++i) {
      auto reason = static_cast<Reason>(i);
      auto count = from_.engine.refusals().of(operation, reason);
      if (count > 0)
        all[std::string(operation_guard::to_string(operation))]
           [std::string(operation_guard::to_string(reason))] = count;
    }
  }
  return all;
}

json StatusReport::violations() const {
  json all = json::object();
  for (std::size_t i = 0; i < invariants::kRuleCount; ++i) {
    auto rule = static_cast<invariants::Rule>(i);
    auto count = from_.monitor.violations(rule);
    if (count > 0)
      all[std::string(invariants::to_string(rule))] = count;
  }
  return all;
}

std::string StatusReport::host_of(EndpointId endpoint) const {
  const Destination* known = from_.destinations.find(endpoint);
  return known ? known->host : "";
}

json StatusReport::leases() const {
  json endpoints = json::array();
  double now = from_.clock.unix_ms(from_.loop.now());
  from_.engine.for_each_lease([&](int pool, const fleet::SlowStartLeases::EndpointLease& lease,
                                  const scheduler::SlowStartBudget& budget) {
    double granted = 0;
    for (const auto& [node, given] : lease.granted)
      granted += given.until > now && !given.is_returned ? given.work_ms : 0;
    endpoints.push_back(
        {{"pool", pool},
         {"executor", host_of(lease.entry.endpoint)},
         {"age_s", (now - lease.entry.started_at) / 1000},
         {"share", lease.last_notified_fraction},
         {"left_ms", budget.own},
         {"held_ms", budget.granted},
         {"held_of", budget.granted > 0 ? json(lease.borrowed.owner) : json(nullptr)},
         {"granted_ms", granted}});
  });
  fleet::SlowStartLeases::Statistics statistics = from_.engine.lease_statistics();
  return {{"on", from_.own.turns && from_.config.settings.peers},
          {"executors", endpoints},
          {"asked", statistics.requested},
          {"got", statistics.obtained},
          {"granted", statistics.granted},
          {"denied", statistics.denied},
          {"came_back", statistics.returned},
          {"late", statistics.late}};
}

json StatusReport::subsets() const {
  json entries = json::array();
  from_.engine.for_each_subset_entry([&](int pool, const scheduler::SubsetEntry& entry) {
    entries.push_back({{"pool", pool},
                       {"executor", host_of(entry.endpoint)},
                       {"own", entry.is_own},
                       {"others", entry.peers}});
  });
  return entries;
}

json StatusReport::fleet() const {
  return {{"self", from_.config.settings.rank},
          {"nodes", from_.config.settings.dispatchers},
          {"membership", from_.membership.status()},
          {"homes", subsets()},
          {"turns", leases()}};
}

}  // namespace keelflow
