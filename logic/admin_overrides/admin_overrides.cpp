#include "admin_overrides/admin_overrides.h"

#include <utility>

namespace keelflow::admin_overrides {

using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::ListScope;

void AdminOverrides::lay_over(scheduler::EndpointEntry& entry) const {
  if (entry.state == EndpointState::ready && is_disabled(entry.endpoint))
    entry.state = EndpointState::draining;
}

EndpointList AdminOverrides::apply(EndpointList list) {
  if (list.scope == ListScope::failed)
    return list;
  if (list.scope != ListScope::delta)
    listed_.clear();  // a complete list: whoever is missing is gone
  for (scheduler::EndpointEntry& entry : list.entries) {
    if (entry.state == EndpointState::gone)
      listed_.erase(entry.endpoint);
    else
      listed_[entry.endpoint] = entry;
    lay_over(entry);
  }
  return list;
}

std::optional<EndpointList> AdminOverrides::out(scheduler::EndpointId endpoint,
                                                const std::string& host) {
  if (!out_.emplace(endpoint, host).second)
    return std::nullopt;
  return told_anew(endpoint);
}

std::optional<EndpointList> AdminOverrides::back(scheduler::EndpointId endpoint) {
  if (out_.erase(endpoint) == 0)
    return std::nullopt;
  return told_anew(endpoint);
}

std::optional<EndpointList> AdminOverrides::told_anew(scheduler::EndpointId endpoint) const {
  auto it = listed_.find(endpoint);
  if (it == listed_.end() || it->second.state != EndpointState::ready)
    return std::nullopt;
  // A change or a whole list would tell the module that discovery has answered, and it would no
  // longer ask.
  EndpointList told{.scope = ListScope::cached, .entries = {}};
  for (const auto& [id, entry] : listed_)
    lay_over(told.entries.emplace_back(entry));
  return told;
}

std::vector<std::string> AdminOverrides::hosts() const {
  std::vector<std::string> all;
  for (const auto& [endpoint, host] : out_)
    all.push_back(host);
  return all;
}

std::size_t AdminOverrides::unavailable(
    const std::function<bool(scheduler::EndpointId)>& avoided) const {
  std::size_t count = 0;
  for (const auto& [endpoint, entry] : listed_)
    count += entry.state != EndpointState::ready || is_disabled(endpoint) || avoided(endpoint);
  return count;
}

}  // namespace keelflow::admin_overrides
