/// The endpoint list applied: which endpoints exist, in which incarnation, and what this dispatcher
/// has in flight there; with the indexes by which they are selected.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "scheduler/events.h"
#include "scheduler/sampled_set.h"

namespace keelflow::scheduler {

/// The place of an endpoint in the tables of this dispatcher. It stays while attempts are in flight
/// there, and is used again once the endpoint is forgotten.
using EndpointSlot = std::uint32_t;

/// One endpoint, and what this dispatcher has in flight there.
struct EndpointRecord {
  EndpointEntry entry;
  double in_flight = 0;         ///< own slots
  int unfinished_attempts = 0;  ///< own attempts in flight
  int running_attempts = 0;     ///< of these, reported to run
  bool was_used = false;        ///< something was sent there in its present incarnation
};

/// Owns the records and the indexes. Slots are given out here; other owners keep their state by
/// slot.
class EndpointTable {
 public:
  /// Ready endpoints of one kind in the order of a hash, for consistent hashing.
  using Ring = std::map<std::uint64_t, EndpointSlot>;

  explicit EndpointTable(int kinds) { resize(kinds); }
  void resize(int kinds) { kinds_.resize(static_cast<std::size_t>(kinds)); }

  /// Empty: it is not known, or has been forgotten.
  std::optional<EndpointSlot> find(EndpointId id) const {
    auto it = slots_.find(id);
    if (it == slots_.end())
      return std::nullopt;
    return it->second;
  }
  const EndpointRecord& at(EndpointSlot slot) const { return records_[slot]; }
  bool is_listed(EndpointId id) const { return listed_.contains(id); }
  const std::set<EndpointId>& listed() const { return listed_; }
  /// The listed endpoints of a cell, in the order of their ids.
  const std::set<EndpointId>& in_cell(int cell) const;

  /// Lists an endpoint that is not listed. What is in flight at a former incarnation still counts.
  EndpointSlot add(const EndpointEntry& entry);
  void set_state(EndpointSlot slot, EndpointState state) { records_[slot].entry.state = state; }
  /// It is listed no more; it is forgotten once nothing is in flight there. Passed over if it is
  /// not listed.
  void remove(EndpointId id);
  void forget_if_gone(EndpointSlot slot);

  void record_send(EndpointSlot slot, double load);
  /// Returns how many of the attempts in flight run by now.
  int record_start(EndpointSlot slot) { return ++records_[slot].running_attempts; }
  void record_end(EndpointSlot slot, double load, bool had_started);

  /// Available: ready, not ejected and with capacity. The subset's are sampled first.
  void index(EndpointSlot slot, bool is_available, bool is_in_subset);
  bool is_available(EndpointSlot slot) const {
    return kinds_[kind_index(records_[slot].entry.kind)].available.has(slot);
  }
  const SampledSet& available(int kind) const { return kinds_[kind_index(kind)].available; }
  const SampledSet& available_in_subset(int kind) const {
    return kinds_[kind_index(kind)].available_in_subset;
  }
  const Ring& ring(int kind) const { return kinds_[kind_index(kind)].ring; }

 private:
  struct Kind {
    SampledSet available;
    SampledSet available_in_subset;
    Ring ring;
  };

  static std::size_t kind_index(int kind) { return static_cast<std::size_t>(kind); }
  EndpointSlot allocate_slot(EndpointId id);

  std::vector<EndpointRecord> records_;  // by slot
  std::vector<EndpointSlot> free_slots_;
  std::unordered_map<EndpointId, EndpointSlot> slots_;  // looked up only, never iterated
  std::set<EndpointId> listed_;
  std::map<int, std::set<EndpointId>> cells_;
  std::vector<Kind> kinds_;
};

}  // namespace keelflow::scheduler
