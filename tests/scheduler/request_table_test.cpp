/// Tests of the table of requests in progress and of their removal.
#include "scheduler/request_table.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

RequestArrived arrival_of(RequestId id) {
  RequestArrived arrival;
  arrival.request = id;
  return arrival;
}

TEST(RequestTable, RequestsAreNumberedInTheOrderOfTheirArrival) {
  RequestTable table;
  EXPECT_EQ(table.add(arrival_of(9)).sequence, 0u);
  EXPECT_EQ(table.add(arrival_of(3)).sequence, 1u);
  EXPECT_EQ(table.at(9).arrival.request, 9u);
  EXPECT_EQ(table.find(4), nullptr);
}

TEST(RequestTable, FindInFlightReturnsOnlyAttemptsInFlight) {
  RequestTable table;
  table.add(arrival_of(9)).attempts.push_back({.endpoint = 7});
  EXPECT_NE(table.find_in_flight(9, 0), nullptr);
  EXPECT_EQ(table.find_in_flight(9, 1), nullptr);
  EXPECT_EQ(table.find_in_flight(9, -1), nullptr);
  EXPECT_EQ(table.find_in_flight(8, 0), nullptr);
  table.at(9).attempts[0].delivery = DeliveryState::may_have_run;
  EXPECT_EQ(table.find_in_flight(9, 0), nullptr);
}

TEST(RequestTable, AFinishedRequestIsForgottenOnceNoAttemptIsInFlight) {
  RequestTable table;
  Request& request = table.add(arrival_of(9));
  request.attempts.push_back({.endpoint = 7});
  request.is_finished = true;
  table.forget_if_done(9);
  ASSERT_NE(table.find(9), nullptr);
  request.attempts[0].delivery = DeliveryState::not_delivered;
  table.forget_if_done(9);
  EXPECT_EQ(table.find(9), nullptr);
}

TEST(RequestTable, AnUnfinishedRequestIsNotForgotten) {
  RequestTable table;
  table.add(arrival_of(9));
  table.forget_if_done(9);
  table.forget_if_done(8);  // no effect: unknown id
  EXPECT_NE(table.find(9), nullptr);
}

}  // namespace
}  // namespace keelflow::scheduler
