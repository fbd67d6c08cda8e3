/// Tests of the order of the request queue, by class and tier.
#include "scheduler/request_queue.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

Request make_request(RequestId id, double cost, std::uint64_t sequence, int class_index = 0) {
  Request request;
  request.arrival.request = id;
  request.arrival.class_index = class_index;
  request.queue_cost = cost;
  request.sequence = sequence;
  return request;
}

TEST(RequestQueue, OrdersByCostAndThenByArrival) {
  RequestQueue queue(1);
  Request large = make_request(1, 300, 0);
  Request later = make_request(2, 100, 2);
  Request earlier = make_request(3, 100, 1);
  for (Request* request : {&large, &later, &earlier})
    queue.push(*request, 1000);
  EXPECT_EQ(queue.all(), (std::vector<RequestId>{3, 2, 1}));
}

TEST(RequestQueue, ARequestIsQueuedOnlyOnceAndNotAfterItFinished) {
  RequestQueue queue(1);
  Request request = make_request(1, 100, 0);
  queue.push(request, 1000);
  queue.push(request, 2000);
  EXPECT_EQ(queue.size(), 1u);
  EXPECT_DOUBLE_EQ(request.queued_since, 1000);
  Request finished = make_request(2, 100, 1);
  finished.is_finished = true;
  queue.push(finished, 2000);
  EXPECT_FALSE(finished.is_queued);
  EXPECT_EQ(queue.size(), 1u);
}

TEST(RequestQueue, RemovingARequestThatIsNotQueuedChangesNothing) {
  RequestQueue queue(1);
  Request request = make_request(1, 100, 0);
  Request other = make_request(2, 100, 1);
  queue.push(request, 1000);
  queue.remove(other);
  EXPECT_EQ(queue.size(), 1u);
  queue.remove(request);
  queue.remove(request);
  EXPECT_EQ(queue.size(), 0u);
  EXPECT_FALSE(request.is_queued);
  EXPECT_TRUE(queue.all().empty());
}

TEST(RequestQueue, AnOverdueRequestMovesToTheOverdueTierAndItsWaitRestarts) {
  RequestQueue queue(1);
  Request request = make_request(1, 100, 0);
  queue.push(request, 1000);
  queue.mark_overdue(request, 1500);
  EXPECT_TRUE(queue.of(0, QueueTier::in_time).empty());
  EXPECT_EQ(queue.of(0, QueueTier::overdue).size(), 1u);
  EXPECT_DOUBLE_EQ(request.queued_since, 1500);
  EXPECT_EQ(queue.size(), 1u);
}

TEST(RequestQueue, MarkingARequestInFlightOverdueDoesNotQueueIt) {
  RequestQueue queue(1);
  Request request = make_request(1, 100, 0);
  queue.mark_overdue(request, 1500);
  EXPECT_TRUE(request.is_overdue);
  EXPECT_EQ(queue.size(), 0u);
}

TEST(RequestQueue, TheCheapestClassIsTheUnblockedOneWithTheLowestCalibratedCost) {
  RequestQueue queue(3);
  CostCalibration calibration(3);
  calibration.restore({{4, 0, 0}, {1, 0, 0}, {1, 0, 0}});
  Request underestimated = make_request(1, 100, 0, 0);
  Request accurate = make_request(2, 300, 1, 1);
  queue.push(underestimated, 1000);
  queue.push(accurate, 1000);
  EXPECT_EQ(queue.cheapest_class(QueueTier::in_time, {false, false, false}, calibration), 1);
  EXPECT_EQ(queue.cheapest_class(QueueTier::in_time, {false, true, false}, calibration), 0);
  EXPECT_FALSE(queue.cheapest_class(QueueTier::in_time, {true, true, false}, calibration));
  EXPECT_FALSE(queue.cheapest_class(QueueTier::overdue, {false, false, false}, calibration));
}

}  // namespace
}  // namespace keelflow::scheduler
