/// Many timers kept by one outside timer that is set again whenever an earlier one is due.
#pragma once

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace keelflow::scheduler {

/// What a timer is for; the timer's subject is a request or an endpoint.
enum class TimerPurpose : std::uint8_t {
  deadline,    ///< the client of a request is about to give up
  overdue,     ///< a request can no longer be in time
  late_start,  ///< an attempt should have started by now
  reindex,     ///< whether an endpoint is available may have changed
  release,     ///< a sample that found no endpoint is drawn again
  poll_list,
};

/// Owns the timers of one Dispatcher. Timers are not cancelled: one that is moot when due does
/// nothing.
class TimerQueue {
 public:
  struct Entry {
    double when;
    std::uint64_t order;
    TimerPurpose purpose;
    std::uint32_t subject;
    int attempt;
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

  /// The outside timer has fired. Any but the latest one is stale.
  void on_fired(std::uint64_t id) {
    if (id == id_)
      armed_for_ = INFINITY;
  }

  bool needs_arming() const { return !queue_.empty() && queue_.top().when < armed_for_; }

  /// The time for which the outside timer is to be set now, under the new `id()`.
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
