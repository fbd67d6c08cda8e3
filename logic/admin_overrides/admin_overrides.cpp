#include "admin_overrides/admin_overrides.h"

#include <utility>

namespace keelflow::admin_overrides {

using scheduler::EndpointEntry;
using scheduler::EndpointId;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::ListScope;

void AdminOverrides::apply_override(EndpointEntry& entry) const {
  if (entry.state == EndpointState::ready && is_disabled(entry.endpoint))
    entry.state = EndpointState::draining;
}

EndpointList AdminOverrides::apply(EndpointList list) {
  if (list.scope == ListScope::failed)
    return list;
  if (list.scope != ListScope::delta)
    listed_.clear();  // a complete list: an endpoint that is missing from it is gone
  for (EndpointEntry& entry : list.entries) {
    if (entry.state == EndpointState::gone)
      listed_.erase(entry.endpoint);
    else
      listed_[entry.endpoint] = entry;
    apply_override(entry);
  }
  return list;
}

std::optional<EndpointList> AdminOverrides::disable(EndpointId endpoint, const std::string& host) {
  bool was_enabled = disabled_.emplace(endpoint, host).second;
  return was_enabled ? list_after_change(endpoint) : std::nullopt;
}

std::optional<EndpointList> AdminOverrides::enable(EndpointId endpoint) {
  bool was_disabled = disabled_.erase(endpoint) > 0;
  return was_disabled ? list_after_change(endpoint) : std::nullopt;
}

std::optional<EndpointList> AdminOverrides::list_after_change(EndpointId endpoint) const {
  auto it = listed_.find(endpoint);
  if (it == listed_.end() || it->second.state != EndpointState::ready)
    return std::nullopt;
  // The scheduler would treat a delta or a full list as an answer from discovery and stop polling.
  // Therefore the scope is `cached`.
  EndpointList list{.scope = ListScope::cached, .entries = {}};
  for (const auto& [id, entry] : listed_)
    apply_override(list.entries.emplace_back(entry));
  return list;
}

std::vector<std::string> AdminOverrides::disabled_hosts() const {
  std::vector<std::string> hosts;
  hosts.reserve(disabled_.size());
  for (const auto& [endpoint, host] : disabled_)
    hosts.push_back(host);
  return hosts;
}

std::size_t AdminOverrides::unavailable(const std::function<bool(EndpointId)>& is_ejected) const {
  std::size_t count = 0;
  for (const auto& [endpoint, entry] : listed_)
    if (entry.state != EndpointState::ready || is_disabled(endpoint) || is_ejected(endpoint))
      ++count;
  return count;
}

}  // namespace keelflow::admin_overrides
