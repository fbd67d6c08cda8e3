/// The endpoints in this dispatcher's subset and the other dispatchers that share each endpoint.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/events.h"

namespace keelflow::scheduler {

/// With many dispatchers, the capacity slots in use by one dispatcher are a poor estimate of the
/// load of an endpoint that all of them use. Each dispatcher therefore prefers a few endpoints, and
/// dispatchers that prefer the same endpoint notify each other of its load.
class Subset {
 public:
  /// Resets the entry for a new incarnation; the endpoint belongs to the subset until an event says
  /// otherwise.
  void reset(EndpointSlot slot);
  void set(EndpointSlot slot, const SubsetEntry& entry) { entries_[slot].warm = entry; }
  void set_warming_up(EndpointSlot slot, const SubsetEntry& entry) {
    entries_[slot].warming_up = entry;
  }
  /// `fraction`: the fraction of all endpoints that is in the subset.
  void set_fraction_and_sharing(double fraction, bool shares_load);

  const SubsetEntry& entry(EndpointSlot slot, bool is_warming_up) const {
    return is_warming_up ? entries_[slot].warming_up : entries_[slot].warm;
  }
  double fraction() const { return fraction_; }
  bool shares_load() const { return shares_load_; }

 private:
  struct Entries {
    SubsetEntry warm{0, true, {}};
    SubsetEntry warming_up{0, true, {}};
  };
  std::vector<Entries> entries_;  // by EndpointSlot
  double fraction_ = 1;
  bool shares_load_ = false;
};

}  // namespace keelflow::scheduler
