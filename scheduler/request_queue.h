/// Requests that wait for an endpoint: smallest calibrated cost first, the overdue last.
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

/// Which of the requests: those that can still be in time, or those that cannot.
enum class QueueTier : std::uint8_t { in_time, overdue };

/// Owns the order. A request knows whether it is queued; a class and a tier have a queue each.
class RequestQueue {
 public:
  /// A place in the queue: by cost before calibration, then by arrival.
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

  /// Passed over if it is queued or finished.
  void push(Request& request, Time now);
  void remove(Request& request);
  /// It can no longer be in time: it leaves after those that can. The time that it has waited
  /// counts from now.
  void mark_overdue(Request& request, Time now);

  std::size_t size() const { return size_; }
  const ClassQueue& of(int class_index, QueueTier tier) const;
  /// The class whose first request has the smallest calibrated cost; empty: all are blocked or have
  /// none.
  std::optional<int> cheapest_class(QueueTier tier, const std::vector<bool>& blocked,
                                    const CostCalibration& calibration) const;
  /// All that wait, by class and tier.
  std::vector<RequestId> all() const;

 private:
  using Tiers = std::array<ClassQueue, 2>;
  ClassQueue& queue_of(const Request& request);

  std::vector<Tiers> classes_;
  std::size_t size_ = 0;
};

}  // namespace keelflow::scheduler
