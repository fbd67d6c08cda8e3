/// Indexing of available endpoints.
#include "scheduler/availability.h"

namespace keelflow::scheduler {

void Availability::refresh(EndpointSlot slot) {
  bool is_ready = endpoints_.at(slot).entry.state == EndpointState::ready;
  double slots = occupied(slot);
  bool has_capacity = slots <= 0 || slots < health_.concurrency_limit(slot);
  bool is_available = is_ready && !health_.is_ejected(slot) && has_capacity;
  bool is_in_subset = is_available && subset_.entry(slot, slow_start_.is_warming_up(slot)).is_own;
  endpoints_.index(slot, is_available, is_in_subset);
}

}  // namespace keelflow::scheduler
