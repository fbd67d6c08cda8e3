#include "discovery/host_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace keelflow {

int Names::place(const std::vector<std::string>& list, std::string_view name) {
  auto it = std::find(list.begin(), list.end(), name);
  return it == list.end() ? -1 : static_cast<int>(it - list.begin());
}

int Names::class_of(std::string_view name) const {
  for (std::size_t i = 0; i < classes.size(); ++i)
    if (classes[i] == name && !(i < former.size() && former[i])) return static_cast<int>(i);
  return -1;
}

reedlb::WorkerId worker_id(std::string_view host) {
  std::uint32_t hash = 2166136261u;  // FNV-1a
  for (unsigned char c : host) hash = (hash ^ c) * 16777619u;
  return hash;
}

HostList decode_list(const nlohmann::json& list, const Names& names) {
  HostList out;
  out.version = list.at("seq").get<std::uint64_t>();
  out.whole = list.at("whole").get<bool>();
  for (const auto& item : list.at("hosts")) {
    Host host;
    host.name = item.at("host").get<std::string>();
    host.entry.worker = worker_id(host.name);
    const std::string health = item.at("health").get<std::string>();
    host.entry.state = health == "ready"      ? reedlb::WorkerState::ready
                       : health == "draining" ? reedlb::WorkerState::draining
                                              : reedlb::WorkerState::gone;
    host.entry.zone = Names::place(names.zones, item.value("site", ""));
    host.entry.kind = Names::place(names.kinds, item.value("class", ""));
    host.entry.cell = item.value("block", 0);
    host.entry.nominal = item.value("share", 1.0);
    host.entry.born = item.value("born_ms", 0.0);
    auto dial = net::parse_address(item.value("dial", ""));
    if (!dial && host.entry.state != reedlb::WorkerState::gone)
      throw std::runtime_error("host '" + host.name + "' has no address");
    if (dial) host.dial = *dial;
    out.hosts.push_back(std::move(host));
  }
  return out;
}

}  // namespace keelflow
