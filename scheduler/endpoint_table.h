/// The table of known endpoints: their list entries, what this dispatcher has in flight at each,
/// and the indexes used to select them.
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

/// The index of an endpoint in the tables of this dispatcher. It is stable while attempts are in
/// flight at the endpoint, and is reused once the endpoint is forgotten.
using EndpointSlot = std::uint32_t;

/// One endpoint and this dispatcher's load on it.
struct EndpointRecord {
  EndpointEntry entry;
  double in_flight = 0;         ///< capacity slots of this dispatcher's attempts
  int unfinished_attempts = 0;  ///< this dispatcher's attempts in flight
  int running_attempts = 0;     ///< attempts in flight that were reported as started
  bool was_used = false;        ///< an attempt was sent to the current incarnation
};

/// Owns the records and the indexes. Allocates the EndpointSlots by which other components
/// index their state.
class EndpointTable {
 public:
  /// Ready endpoints of one kind, ordered by hash, for consistent hashing.
  using Ring = std::map<std::uint64_t, EndpointSlot>;

  explicit EndpointTable(int kinds) { resize(kinds); }
  void resize(int kinds) { kinds_.resize(static_cast<std::size_t>(kinds)); }

  /// Returns nothing if the endpoint is unknown or has been forgotten.
  std::optional<EndpointSlot> find(EndpointId id) const {
    auto it = slots_.find(id);
    if (it == slots_.end())
      return std::nullopt;
    return it->second;
  }
  const EndpointRecord& at(EndpointSlot slot) const { return records_[slot]; }
  bool is_listed(EndpointId id) const { return listed_.contains(id); }
  const std::set<EndpointId>& listed() const { return listed_; }
  /// The listed endpoints of a cell, ordered by id.
  const std::set<EndpointId>& in_cell(int cell) const;

  /// Adds an endpoint that is not listed. Attempts in flight at a previous incarnation still count.
  EndpointSlot add(const EndpointEntry& entry);
  void set_state(EndpointSlot slot, EndpointState state) { records_[slot].entry.state = state; }
  /// Removes the endpoint from the list; it is forgotten once nothing is in flight there. Does
  /// nothing if the endpoint is not listed.
  void remove(EndpointId id);
  void forget_if_gone(EndpointSlot slot);

  void record_send(EndpointSlot slot, double load);
  /// Returns the number of attempts in flight that have started.
  int record_start(EndpointSlot slot) { return ++records_[slot].running_attempts; }
  void record_end(EndpointSlot slot, double load, bool had_started);

  /// Updates the indexes. An available endpoint is ready, not ejected and has capacity. Available
  /// endpoints in the subset are sampled first.
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
  /// Indexes of the available endpoints of one kind.
  struct EndpointsOfKind {
    SampledSet available;
    SampledSet available_in_subset;
    Ring ring;
  };

  static std::size_t kind_index(int kind) { return static_cast<std::size_t>(kind); }
  EndpointSlot allocate_slot(EndpointId id);

  std::vector<EndpointRecord> records_;  // by EndpointSlot
  std::vector<EndpointSlot> free_slots_;
  std::unordered_map<EndpointId, EndpointSlot> slots_;  // never iterated: unordered
  std::set<EndpointId> listed_;
  std::map<int, std::set<EndpointId>> cells_;
  std::vector<EndpointsOfKind> kinds_;
};

}  // namespace keelflow::scheduler
