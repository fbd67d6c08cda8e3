/// \file
/// Decodes the list of endpoints from discovery. Apart from the invariant monitor, which shares no
/// code with it, no other part of the node reads the JSON keys of the list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

using scheduler::EndpointId;

/// The configured names. The scheduler identifies each by its position here.
struct Names {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  /// By class number: the class has left the settings, or has changed and has another number now.
  /// Requests in flight keep the former number. May be shorter than `classes`.
  std::vector<bool> former = {};

  /// The position of `name` in `list`; -1: unknown.
  static int place(const std::vector<std::string>& list, std::string_view name);
  /// The number of a class of the present settings; -1: there is none of that name.
  int class_of(std::string_view name) const;
};

/// An entry of the list.
struct Host {
  std::string name;
  net::Address dial;  ///< port 0: the entry has no address
  scheduler::EndpointEntry entry;
};

/// A complete list, or the changes since a version.
struct HostList {
  std::uint64_t version = 0;
  bool is_complete = false;
  std::vector<Host> hosts;
  /// Entries that could not be decoded. An entry that has at least a host's name is in `hosts`
  /// as not ready, since no request may be sent to an endpoint whose present state is unknown.
  std::size_t malformed = 0;
};

/// Throws nlohmann::json::exception if `list` is not an endpoint list.
HostList decode_list(const nlohmann::json& list, const Names& names);

/// The scheduler's id of an endpoint: a hash of its name, so that it is the same in each process.
EndpointId endpoint_id(std::string_view host);

}  // namespace keelflow
