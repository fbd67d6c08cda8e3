/// The scheduler instances of one adapter process. They share no state except this table.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"
#include "simulator_adapter/codec.h"

namespace keelflow::simulator_adapter {

/// Passes the records of batches to the instances that they address.
class InstanceTable {
 public:
  /// Processes one batch and returns the reply frame. Throws WireError or SettingsError on
  /// malformed input; an exception thrown by an instance is reported in the reply. Appends log
  /// lines to `log`.
  std::string process_batch(const BatchHeader& header, std::string_view body, std::string& log);

 private:
  /// A Dispatcher with the fleet state that a node keeps for it.
  struct Instance {
    Instance(const scheduler::Settings& settings, std::uint64_t seed, double now);
    void handle(double now, const Event& event, scheduler::Actions& actions);

    scheduler::Dispatcher dispatcher;
    fleet::Subsets subsets;
    fleet::SlowStartLeases leases;
  };
  /// Writes the actions of several instances, with an address record whenever the instance changes.
  class AddressedReply;

  void spawn(std::uint32_t id, const SpawnInstance& spawn, double now);
  void log_unknown(std::uint32_t id, int code, std::string& log);
  void handle(std::uint32_t id, double now, const Event& event, AddressedReply& reply);

  std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
  std::map<std::uint32_t, std::set<int>> unknown_codes_;  // codes already logged, by instance
};

}  // namespace keelflow::simulator_adapter
