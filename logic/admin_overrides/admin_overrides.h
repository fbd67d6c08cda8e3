/// \file
/// Endpoints that operators have disabled. The overrides are a set of their own, applied to every
/// endpoint list of discovery before any other part of the process sees the list. The scheduler
/// sees a disabled endpoint as draining, and whatever discovery reports of it (removed, listed
/// again, restarted) it stays disabled until an operator enables it.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::admin_overrides {

/// The set of disabled endpoints, and the endpoint list of discovery as it was before the
/// overrides. Does no I/O, reads no clock and reports no errors; not thread-safe.
class AdminOverrides {
 public:
  /// Stores a list of discovery and returns it with the overrides applied. A failed list is
  /// returned unchanged and not stored.
  scheduler::EndpointList apply(scheduler::EndpointList list);

  /// Disables an endpoint, listed or not. `host` is its name, for `disabled_hosts`.
  /// Returns the complete list that the scheduler has to apply now, in the scope `cached`; empty if
  /// nothing changes for the scheduler: the endpoint was disabled already, or is not listed as
  /// ready.
  std::optional<scheduler::EndpointList> disable(scheduler::EndpointId endpoint,
                                                 const std::string& host);
  /// Enables an endpoint again. Returns the same as `disable`; empty also if the endpoint was not
  /// disabled.
  std::optional<scheduler::EndpointList> enable(scheduler::EndpointId endpoint);

  bool is_disabled(scheduler::EndpointId endpoint) const { return disabled_.contains(endpoint); }
  /// The names of all disabled endpoints, listed or not, ordered by endpoint id.
  std::vector<std::string> disabled_hosts() const;

  /// The number of endpoints on discovery's list.
  std::size_t listed() const { return listed_.size(); }
  /// The number of listed endpoints that get no new requests: disabled, not ready, or ejected as
  /// `is_ejected` says. Each counts once.
  std::size_t unavailable(const std::function<bool(scheduler::EndpointId)>& is_ejected) const;

 private:
  void apply_override(scheduler::EndpointEntry& entry) const;
  std::optional<scheduler::EndpointList> list_after_change(scheduler::EndpointId endpoint) const;

  // As discovery listed them, without the overrides.
  std::map<scheduler::EndpointId, scheduler::EndpointEntry> listed_;
  // The host name by endpoint. Grows only by operators' commands.
  std::map<scheduler::EndpointId, std::string> disabled_;
};

}  // namespace keelflow::admin_overrides
