#include "discovery/host_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace keelflow {

int Names::place(const std::vector<std::string>& list, std::string_view name) {
  auto it = std::find(list.begin(), list.end(), name);
  return it == list.end() ? -1 : static_cast<int>(it - list.begin());
}

int Names::class_of(std::string_view name) const {
  for (std::size_t i = 0; i < classes.size(); ++i)
    if (classes[i] == name && !(i < former.size() && former[i]))
      return static_cast<int>(i);
  return -1;
}

scheduler::EndpointId endpoint_id(std::string_view host) {
  std::uint32_t hash = 2166136261u;  // FNV-1a
  for (unsigned char c : host)
    hash = (hash ^ c) * 16777619u;
  return hash;
}

namespace {

using nlohmann::json;
using scheduler::EndpointState;

// Throws where the field has another type; a missing one is what it usually is.
void decode_place(const json& item, const Names& names, scheduler::EndpointEntry& entry) {
  entry.zone = Names::place(names.zones, item.value("site", ""));
  entry.kind = Names::place(names.kinds, item.value("class", ""));
  entry.cell = item.value("block", 0);
  entry.nominal_capacity = item.value("share", 1.0);
  entry.started_at = item.value("born_ms", 0.0);
}

EndpointState decode_state(const json& item) {
  const std::string health = item.at("health").get<std::string>();
  if (health == "ready")
    return EndpointState::ready;
  return health == "draining" ? EndpointState::draining : EndpointState::gone;
}

// An endpoint that is not ready needs no address: what it has is known by its earlier entry.
bool decode_dial(const json& item, Host& host) {
  auto field = item.find("dial");
  bool given = field != item.end() && field->is_string();
  auto dial = given ? net::parse_address(field->get<std::string>()) : std::nullopt;
  if (dial)
    host.dial = *dial;
  return dial || host.entry.state != EndpointState::ready;
}

// False: it is malformed, and `host` is gone.
bool decode_host(const json& item, const Names& names, Host& host) {
  host.entry.endpoint = endpoint_id(host.name);
  host.entry.state = EndpointState::gone;
  try {
    host.entry.state = decode_state(item);
    decode_place(item, names, host.entry);
    if (decode_dial(item, host))
      return true;
  } catch (const json::exception&) {
  }
  if (host.entry.state == EndpointState::ready)
    host.entry.state = EndpointState::gone;
  return false;
}

}  // namespace

HostList decode_list(const json& list, const Names& names) {
  HostList out;
  out.version = list.at("seq").get<std::uint64_t>();
  out.whole = list.at("whole").get<bool>();
  const json& hosts = list.at("hosts");
  if (!hosts.is_array())
    hosts.get<std::vector<json>>();  // throws
  for (const json& item : hosts) {
    bool named = item.is_object() && item.contains("host") && item["host"].is_string();
    if (!named) {
      ++out.malformed;
      continue;
    }
    Host host;
    host.name = item["host"].get<std::string>();
    if (!decode_host(item, names, host))
      ++out.malformed;
    out.hosts.push_back(std::move(host));
  }
  return out;
}

}  // namespace keelflow
