#include "discovery/endpoint_directory.h"

namespace keelflow {

void EndpointDirectory::apply(const HostList& list, scheduler::ListScope scope) {
  if (scope != scheduler::ListScope::delta)
    for (auto& [endpoint, destination] : destinations_)
      destination.listed_ready = false;
  for (const Host& host : list.hosts)
    apply(host);
}

void EndpointDirectory::apply(const Host& host) {
  bool has_address = host.dial.in.sin_port != 0;
  bool is_ready = host.entry.state == scheduler::EndpointState::ready;
  auto it = destinations_.find(host.entry.endpoint);
  if (it == destinations_.end()) {
    if (has_address)
      destinations_[host.entry.endpoint] = {host.name, host.dial, is_ready};
    return;
  }
  if (has_address)
    it->second.dial = host.dial;
  it->second.listed_ready = is_ready;
}

void EndpointDirectory::set_disabled(EndpointId endpoint, bool is_disabled) {
  auto it = destinations_.find(endpoint);
  if (it != destinations_.end())
    it->second.disabled = is_disabled;
}

const Destination* EndpointDirectory::find(EndpointId endpoint) const {
  auto it = destinations_.find(endpoint);
  return it == destinations_.end() ? nullptr : &it->second;
}

}  // namespace keelflow
