/// Allocation of EndpointSlots and maintenance of the list and its indexes.
#include "scheduler/endpoint_table.h"

#include "scheduler/hashing.h"

namespace keelflow::scheduler {

const std::set<EndpointId>& EndpointTable::in_cell(int cell) const {
  static const std::set<EndpointId> none;
  auto it = cells_.find(cell);
  return it == cells_.end() ? none : it->second;
}

EndpointSlot EndpointTable::allocate_slot(EndpointId id) {
  if (auto present = find(id))
    return *present;
  EndpointSlot slot = 0;
  if (free_slots_.empty()) {
    slot = static_cast<EndpointSlot>(records_.size());
    records_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    records_[slot] = {};
  }
  slots_.emplace(id, slot);
  return slot;
}

EndpointSlot EndpointTable::add(const EndpointEntry& entry) {
  EndpointSlot slot = allocate_slot(entry.endpoint);
  EndpointRecord& record = records_[slot];
  record.entry = entry;
  record.was_used = false;
  listed_.insert(entry.endpoint);
  cells_[entry.cell].insert(entry.endpoint);
  return slot;
}

void EndpointTable::remove(EndpointId id) {
  if (listed_.erase(id) == 0)
    return;
  EndpointSlot slot = slots_.at(id);
  records_[slot].entry.state = EndpointState::gone;
  index(slot, false, false);
  auto cell = cells_.find(records_[slot].entry.cell);
  cell->second.erase(id);
  if (cell->second.empty())
    cells_.erase(cell);
  forget_if_gone(slot);
}

void EndpointTable::forget_if_gone(EndpointSlot slot) {
  const EndpointRecord& record = records_[slot];
  if (record.unfinished_attempts > 0 || record.entry.state != EndpointState::gone)
    return;
  slots_.erase(record.entry.endpoint);
  free_slots_.push_back(slot);
}

void EndpointTable::record_send(EndpointSlot slot, double load) {
  EndpointRecord& record = records_[slot];
  record.in_flight += load;
  ++record.unfinished_attempts;
  record.was_used = true;
}

void EndpointTable::record_end(EndpointSlot slot, double load, bool had_started) {
  EndpointRecord& record = records_[slot];
  --record.unfinished_attempts;
  record.in_flight = record.unfinished_attempts <= 0 ? 0 : record.in_flight - load;
  if (had_started)
    --record.running_attempts;
}

void EndpointTable::index(EndpointSlot slot, bool is_available, bool is_in_subset) {
  const EndpointEntry& entry = records_[slot].entry;
  EndpointsOfKind& kind = kinds_[kind_index(entry.kind)];
  if (entry.state == EndpointState::ready) {
    kind.ring.emplace(mix(entry.endpoint), slot);
  } else {
    kind.ring.erase(mix(entry.endpoint));
  }
  kind.available.set(slot, is_available);
  kind.available_in_subset.set(slot, is_available && is_in_subset);
}

}  // namespace keelflow::scheduler
