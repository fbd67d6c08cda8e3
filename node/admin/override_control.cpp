#include "admin/override_control.h"

#include <utility>

#include "log/log.h"

namespace keelflow {

bool OverrideControl::is_known(const std::string& host) const {
  EndpointId endpoint = endpoint_id(host);
  const Destination* known = destinations_.find(endpoint);
  return (known && known->host == host) || overrides_.is_disabled(endpoint);
}

void OverrideControl::apply(const std::string& host, bool out) {
  EndpointId endpoint = endpoint_id(host);
  destinations_.disable(endpoint, out);
  auto list = out ? overrides_.disable(endpoint, host) : overrides_.enable(endpoint);
  if (list)
    traffic_.list(std::move(*list));
  log::info(log::Subsystem::admin, out ? "taken-out" : "called-back", {{"executor", host}});
}

}  // namespace keelflow
