// Discovery's list of endpoints, decoded.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

struct Names {  // positions in these lists are the numbers that the module knows
  std::vector<std::string> classes, tenants, zones, kinds;
  // By class number: the class has left the settings, or changed and has another number now. Jobs
  // under way keep theirs.
  std::vector<bool> former = {};
  static int place(const std::vector<std::string>& list, std::string_view name);  // -1: unknown
  int class_of(std::string_view name) const;  // -1: not, or no more
};

struct Host {
  std::string name;
  net::Address dial;
  scheduler::EndpointEntry entry;
};

struct HostList {
  std::uint64_t version = 0;
  bool whole = false;
  std::vector<Host> hosts;
  // Entries that could not be read. The others stand in `hosts`, and so does one whose host at
  // least is named: as gone, since nothing is to be sent where it is not known what holds there.
  std::size_t malformed = 0;
};

// Throws nlohmann::json::exception on what is no list at all.
HostList decode_list(const nlohmann::json& list, const Names& names);

// The module wants numbers, and the same ones at every node: they are a hash of the name.
using scheduler::EndpointId;

scheduler::EndpointId endpoint_id(std::string_view host);

}  // namespace keelflow
