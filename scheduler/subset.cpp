/// Updates of the subset entries.
#include "scheduler/subset.h"

namespace keelflow::scheduler {

void Subset::reset(EndpointSlot slot) {
  if (slot >= entries_.size())
    entries_.resize(slot + std::size_t{1});
  entries_[slot] = {};
}

void Subset::set_fraction_and_sharing(double fraction, bool shares_load) {
  fraction_ = fraction;
  shares_load_ = shares_load;
}

}  // namespace keelflow::scheduler
