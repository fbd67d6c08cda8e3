#include "discovery/host_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace keelflow {
namespace {

using nlohmann::json;
using scheduler::EndpointState;

// The parameters of FNV-1a with 32 bits.
constexpr std::uint32_t kHashOffset = 2166136261u;
constexpr std::uint32_t kHashPrime = 16777619u;

// An entry of the list, and whether all its fields could be decoded.
struct DecodedHost {
  Host host;
  bool is_well_formed = false;
};

// Throws if a field has another type; a missing field gets its default.
void decode_attributes(const json& item, const Names& names, scheduler::EndpointEntry& entry) {
  entry.zone = Names::place(names.zones, item.value("site", ""));
  entry.kind = Names::place(names.kinds, item.value("class", ""));
  entry.cell = item.value("block", 0);
  entry.nominal_capacity = item.value("share", 1.0);
  entry.started_at = item.value("born_ms", 0.0);
}

// Throws if the field is missing or has another type.
EndpointState decode_state(const json& item) {
  const std::string health = item.at("health").get<std::string>();
  if (health == "ready")
    return EndpointState::ready;
  return health == "draining" ? EndpointState::draining : EndpointState::gone;
}

std::optional<net::Address> decode_address(const json& item) {
  auto field = item.find("dial");
  if (field == item.end() || !field->is_string())
    return std::nullopt;
  return net::parse_address(field->get<std::string>());
}

// An endpoint that is not ready needs no address: attempts in flight there use an earlier one.
DecodedHost decode_host(const json& item, const Names& names) {
  Host host;
  host.name = item["host"].get<std::string>();
  host.entry.endpoint = endpoint_id(host.name);
  host.entry.state = EndpointState::gone;
  try {
    host.entry.state = decode_state(item);
    decode_attributes(item, names, host.entry);
    std::optional<net::Address> address = decode_address(item);
    if (address)
      host.dial = *address;
    if (address || host.entry.state != EndpointState::ready)
      return {.host = std::move(host), .is_well_formed = true};
  } catch (const json::exception&) {
    // The fields decoded before the malformed one are kept.
  }
  if (host.entry.state == EndpointState::ready)
    host.entry.state = EndpointState::gone;
  return {.host = std::move(host), .is_well_formed = false};
}

bool has_name(const json& item) {
  return item.is_object() && item.contains("host") && item["host"].is_string();
}

}  // namespace

int Names::place(const std::vector<std::string>& list, std::string_view name) {
  auto it = std::find(list.begin(), list.end(), name);
  return it == list.end() ? -1 : static_cast<int>(it - list.begin());
}

int Names::class_of(std::string_view name) const {
  for (std::size_t i = 0; i < classes.size(); ++i) {
    bool is_former = i < former.size() && former[i];
    if (classes[i] == name && !is_former)
      return static_cast<int>(i);
  }
  return -1;
}

EndpointId endpoint_id(std::string_view host) {
  std::uint32_t hash = kHashOffset;
  for (unsigned char c : host)
    hash = (hash ^ c) * kHashPrime;
  return hash;
}

HostList decode_list(const json& list, const Names& names) {
  HostList decoded;
  decoded.version = list.at("seq").get<std::uint64_t>();
  decoded.is_complete = list.at("whole").get<bool>();
  const json& hosts = list.at("hosts");
  if (!hosts.is_array())
    hosts.get<std::vector<json>>();  // throws
  for (const json& item : hosts) {
    if (!has_name(item)) {
      ++decoded.malformed;
      continue;
    }
    DecodedHost entry = decode_host(item, names);
    if (!entry.is_well_formed)
      ++decoded.malformed;
    decoded.hosts.push_back(std::move(entry.host));
  }
  return decoded;
}

}  // namespace keelflow
