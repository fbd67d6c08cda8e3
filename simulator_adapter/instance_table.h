/// The instances of the scheduler in one adapter process. They share nothing but this table.
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

/// Plays batches of records to the instances that they address.
class InstanceTable {
 public:
  /// Plays one batch and returns the reply frame. Throws WireError or SettingsError on malformed
  /// input; an exception of a dispatcher becomes a record of the reply. Lines for the operator are
  /// appended to `log`.
  std::string process_batch(const BatchHeader& header, std::string_view body, std::string& log);

 private:
  /// A Dispatcher, and what a node keeps beside it.
  struct Instance {
    Instance(const scheduler::Settings& settings, std::uint64_t seed, double now);
    void handle(double now, const Event& event, scheduler::Actions& actions);

    scheduler::Dispatcher dispatcher;
    fleet::Subsets subsets;
    fleet::SlowStartLeases leases;
  };
  /// Writes the actions of several instances, with an address before those of another one than the
  /// last.
  class AddressedReply;

  void spawn(std::uint32_t id, const Spawn& spawn, double now);
  void log_unknown(std::uint32_t id, int code, std::string& log);
  void handle(std::uint32_t id, double now, const Event& event, AddressedReply& reply);

  std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
  std::map<std::uint32_t, std::set<int>> unknown_codes_;  // by instance: those that were logged
};

}  // namespace keelflow::simulator_adapter
