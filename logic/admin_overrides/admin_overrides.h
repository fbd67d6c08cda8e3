/// \file
/// Endpoints that operators have disabled. The overrides are stored apart from the endpoint list
/// and are applied to every list from discovery before any other part of the process sees it. The
/// scheduler sees a disabled endpoint as draining. The endpoint stays disabled until an operator
/// enables it, even if discovery removes it, lists it again or reports a restart.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::admin_overrides {

/// The set of disabled endpoints, and the endpoint list from discovery without the overrides.
/// Does no I/O, reads no clock and reports no errors; not thread-safe.
class AdminOverrides {
 public:
  /// Stores a list from discovery and returns it with the overrides applied. A failed list is
  /// returned unchanged and not stored.
  scheduler::EndpointList apply(scheduler::EndpointList list);

  /// Disables an endpoint, listed or not. `host` is its name, for `disabled_hosts`.
  /// Returns the complete list that the scheduler has to apply now, with the scope `cached`.
  /// Returns nothing if the scheduler's view does not change: the endpoint was disabled already, or
  /// it is not listed as ready.
  std::optional<scheduler::EndpointList> disable(scheduler::EndpointId endpoint,
                                                 const std::string& host);
  /// Enables an endpoint again. Returns the same as `disable`, and nothing if the endpoint was not
  /// disabled.
  std::optional<scheduler::EndpointList> enable(scheduler::EndpointId endpoint);

  bool is_disabled(scheduler::EndpointId endpoint) const { return disabled_.contains(endpoint); }
  /// The names of all disabled endpoints, listed or not, ordered by endpoint id.
  std::vector<std::string> disabled_hosts() const;

  /// The number of endpoints on discovery's list.
  std::size_t listed() const { return listed_.size(); }
  /// The number of listed endpoints that get no new requests because they are disabled, not ready,
  /// or ejected according to `is_ejected`. Each endpoint counts once.
  std::size_t unavailable(const std::function<bool(scheduler::EndpointId)>& is_ejected) const;

 private:
  void apply_override(scheduler::EndpointEntry& entry) const;
  std::optional<scheduler::EndpointList> list_after_change(scheduler::EndpointId endpoint) const;

  // The entries from discovery, without the overrides.
  std::map<scheduler::EndpointId, scheduler::EndpointEntry> listed_;
  // The disabled endpoints and their host names. Only operators' commands add entries.
  std::map<scheduler::EndpointId, std::string> disabled_;
};

}  // namespace keelflow::admin_overrides
