/// A queue of timers driven by one external timer, which is kept set to the earliest due time.
#pragma once

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace keelflow::scheduler {

/// The purpose of a timer; its subject is a request or an endpoint.
enum class TimerPurpose : std::uint8_t {
  deadline,    ///< a request is about to reach its client's timeout
  overdue,     ///< a request can no longer meet its latency objective
  late_start,  ///< an attempt has reached its start timeout
  reindex,     ///< an endpoint's availability may have changed
  release,     ///< queued requests that found no endpoint are tried again
  poll_list,   ///< the endpoint list may have to be polled
};

/// Owns the timers of one Dispatcher. Timers are never cancelled; a timer that is obsolete when due
/// has no effect.
class TimerQueue {
 public:
  /// One timer. Timers due at the same time fire in the order in which they were added.
  struct Entry {
    double when;
    std::uint64_t order;
    TimerPurpose purpose;
    std::uint32_t subject;
    int attempt;  ///< number of the attempt
    bool operator>(const Entry& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  void add(double when, TimerPurpose purpose, std::uint32_t subject = 0, int attempt = 0) {
    queue_.push({when, order_++, purpose, subject, attempt});
  }

  bool is_due(double now) const { return !queue_.empty() && queue_.top().when <= now; }

  Entry pop() {
    Entry entry = queue_.top();
    queue_.pop();
    return entry;
  }

  /// Handles the external timer; ids other than the latest one are stale and ignored.
  void on_fired(std::uint64_t id) {
    if (id == id_)
      armed_for_ = INFINITY;
  }

  bool needs_arming() const { return !queue_.empty() && queue_.top().when < armed_for_; }

  /// Returns the time to which the external timer must now be set, under the new `id()`.
  double arm() {
    ++id_;
    armed_for_ = queue_.top().when;
    return armed_for_;
  }

  std::uint64_t id() const { return id_; }

 private:
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
  std::uint64_t order_ = 0;
  std::uint64_t id_ = 0;
  double armed_for_ = INFINITY;
};

}  // namespace keelflow::scheduler
