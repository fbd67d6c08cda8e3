/// Which endpoints belong to this dispatcher's subset, and which other dispatchers share each of
/// them.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/events.h"

namespace keelflow::scheduler {

/// Where dispatchers are many, own slots say little about an endpoint that all use. Each prefers a
/// few, and is notified of their load by the others who prefer them.
class Subset {
 public:
  /// A new incarnation: until the dispatcher is notified all belong to the subset.
  void reset(EndpointSlot slot);
  void set(EndpointSlot slot, const SubsetEntry& entry) { entries_[slot].warm = entry; }
  void set_warming_up(EndpointSlot slot, const SubsetEntry& entry) {
    entries_[slot].warming_up = entry;
  }
  /// `fraction`: of all endpoints, those of the subset.
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
  std::vector<Entries> entries_;  // by slot
  double fraction_ = 1;
  bool shares_load_ = false;
};

}  // namespace keelflow::scheduler
