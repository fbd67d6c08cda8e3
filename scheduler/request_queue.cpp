/// Operations on the queues of each class and tier.
#include "scheduler/request_queue.h"

#include <cmath>

#include "scheduler/hashing.h"

namespace keelflow::scheduler {
namespace {

RequestQueue::Position position_of(const Request& request) {
  return {request.queue_cost, request.sequence, request.arrival.request};
}

}  // namespace

RequestQueue::ClassQueue& RequestQueue::queue_of(const Request& request) {
  return classes_[to_index(request.arrival.class_index)][request.is_overdue ? 1 : 0];
}

const RequestQueue::ClassQueue& RequestQueue::of(int class_index, QueueTier tier) const {
  return classes_[to_index(class_index)][static_cast<std::size_t>(tier)];
}

void RequestQueue::push(Request& request, Time now) {
  if (request.is_queued || request.is_finished)
    return;
  request.is_queued = true;
  request.queued_since = now;
  ++size_;
  queue_of(request).insert(position_of(request));
}

void RequestQueue::remove(Request& request) {
  if (!request.is_queued)
    return;
  request.is_queued = false;
  --size_;
  queue_of(request).erase(position_of(request));
}

void RequestQueue::mark_overdue(Request& request, Time now) {
  bool was_queued = request.is_queued;
  remove(request);
  request.is_overdue = true;
  if (was_queued)
    push(request, now);
}

std::optional<int> RequestQueue::cheapest_class(QueueTier tier, const std::vector<bool>& blocked,
                                                const CostCalibration& calibration) const {
  std::optional<int> cheapest;
  double least = INFINITY;
  for (int i = 0; to_index(i) < classes_.size(); ++i) {
    const ClassQueue& queue = of(i, tier);
    if (blocked[to_index(i)] || queue.empty())
      continue;
    double cost = queue.begin()->cost * calibration.factor(i);
    if (!(cost < least))
      continue;
    least = cost;
    cheapest = i;
  }
  return cheapest;
}

std::vector<RequestId> RequestQueue::all() const {
  std::vector<RequestId> ids;
  for (const Tiers& tiers : classes_)
    for (const ClassQueue& queue : tiers)
      for (const Position& position : queue)
        ids.push_back(position.request);
  return ids;
}

}  // namespace keelflow::scheduler
