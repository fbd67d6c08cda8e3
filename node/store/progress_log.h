/// \file
/// Stores the events of one run of a request, so that every node can replay them.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "core/counters.h"
#include "store/store.h"

namespace keelflow {

/// The most runs of one request ID that have a stream at the same time.
constexpr int kMaxStoredRuns = 8;

/// The name of the stream that holds the `number`th run of a request ID, counted from 1.
std::string progress_stream(const std::string& request, int number);

/// Writes the events of one run. A request ID is chosen by a client and may be in use at several
/// nodes at once, so each run writes to a stream of its own: the first one that has no entry yet.
/// Entry 1-0 claims a stream, because the store takes it only into an empty one; until the store
/// has answered, later events wait. Lives on, held by its callbacks, until the store has answered.
/// Reports no errors: what the store does not take is counted.
class ProgressLog final : public std::enable_shared_from_this<ProgressLog> {
 public:
  /// `run`: identifies this run among all runs of all processes. The referenced objects must
  /// outlive the log.
  ProgressLog(Store& store, Counters& counters, std::string request, std::string run)
      : store_(store), counters_(counters), request_(std::move(request)), run_(std::move(run)) {}
  ~ProgressLog();
  ProgressLog(const ProgressLog&) = delete;
  ProgressLog& operator=(const ProgressLog&) = delete;

  /// Appends an event. The first one has sequence 1. `is_final`: no other follows.
  void append(std::uint64_t sequence, std::string type, std::string data, bool is_final);

 private:
  enum class State : std::uint8_t { unclaimed, claiming, claimed, abandoned };

  void claim();
  void on_claim_result(Store::AppendResult result);
  void check_owner();
  void on_first_entry(const Store::Entries* entries);
  void on_claimed();
  void try_next_stream();
  void write(const Store::Entry& entry);

  Store& store_;
  Counters& counters_;
  std::string request_, run_;
  int number_ = 1;  // of the stream that is being claimed, or is claimed
  State state_ = State::unclaimed;
  std::deque<Store::Entry> waiting_;
};

}  // namespace keelflow
