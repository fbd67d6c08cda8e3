/// The queue of requests that wait for an endpoint, ordered by calibrated cost; overdue requests
/// come last.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "scheduler/cost_calibration.h"
#include "scheduler/request.h"

namespace keelflow::scheduler {

/// Whether requests can still meet their latency objective.
enum class QueueTier : std::uint8_t { in_time, overdue };

/// Owns the order of the requests, with one queue for each class and tier. Request::is_queued
/// records whether a request is in a queue.
class RequestQueue {
 public:
  /// The sort key of a queue: cost before calibration, then order of arrival.
  struct Position {
    double cost;
    std::uint64_t sequence;
    RequestId request;
    auto operator<=>(const Position&) const =
        default;  // NOLINT(modernize-use-nullptr): a false alarm of clang-tidy 14
  };
  using ClassQueue = std::set<Position>;

  explicit RequestQueue(std::size_t classes) : classes_(classes) {}
  void resize(std::size_t classes) { classes_.resize(classes); }

  /// Does nothing if the request is queued or finished.
  void push(Request& request, Time now);
  void remove(Request& request);
  /// Moves a request that can no longer meet its latency objective behind those that can. Restarts
  /// its waiting time.
  void mark_overdue(Request& request, Time now);

  std::size_t size() const { return size_; }
  const ClassQueue& of(int class_index, QueueTier tier) const;
  /// The class whose first request has the smallest calibrated cost, or nothing if every class is
  /// blocked or has no requests.
  std::optional<int> cheapest_class(QueueTier tier, const std::vector<bool>& blocked,
                                    const CostCalibration& calibration) const;
  /// All queued requests, by class and tier.
  std::vector<RequestId> all() const;

 private:
  using Tiers = std::array<ClassQueue, 2>;
  ClassQueue& queue_of(const Request& request);

  std::vector<Tiers> classes_;
  std::size_t size_ = 0;
};

}  // namespace keelflow::scheduler
