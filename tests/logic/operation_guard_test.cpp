// Tests that each fact that forbids an operation is sufficient alone and yields its own reason.
#include "operation_guard/operation_guard.h"

#include <gtest/gtest.h>

#include <functional>
#include <utility>
#include <vector>

namespace keelflow::operation_guard {
namespace {

using namespace std::chrono_literals;
using scheduler::Idempotency;

const SendFacts kSend{.is_list_lease_valid = true,
                      .is_endpoint_ready = true,
                      .is_address_current = true,
                      .has_waiting_client = true,
                      .is_in_window = true,
                      .time_left = 1ms};

TEST(OperationGuard, EachFactAloneForbidsASend) {
  EXPECT_TRUE(may_send(kSend).allowed());
  const std::vector<std::pair<Reason, std::function<void(SendFacts&)>>> faults = {
      {Reason::list_lease_expired,
       [](SendFacts& facts) {
         facts.is_list_lease_valid = false;
       }},
      {Reason::endpoint_not_ready,
       [](SendFacts& facts) {
         facts.is_endpoint_ready = false;
       }},
      {Reason::endpoint_moved,
       [](SendFacts& facts) {
         facts.is_address_current = false;
       }},
      {Reason::client_disconnected,
       [](SendFacts& facts) {
         facts.has_waiting_client = false;
       }},
      {Reason::window_expired,
       [](SendFacts& facts) {
         facts.is_in_window = false;
       }},
      {Reason::deadline_passed, [](SendFacts& facts) {
         facts.time_left = 0ms;
       }}};
  for (const auto& [reason, break_fact] : faults) {
    SendFacts facts = kSend;
    break_fact(facts);
    EXPECT_EQ(may_send(facts).reason(), reason) << to_string(reason);
  }
}

TEST(OperationGuard, AnExpiredLeaseIsReportedOnlyWhenNothingElseForbidsASend) {
  SendFacts facts = kSend;
  facts.is_list_lease_valid = false;
  facts.is_endpoint_ready = false;
  EXPECT_EQ(may_send(facts).reason(), Reason::endpoint_not_ready)
      << "waiting for a lease would not make the endpoint ready";
}

TEST(OperationGuard, ANonIdempotentRequestThatMayHaveRunIsNotRepeated) {
  for (bool in_flight : {false, true}) {
    RepeatFacts facts{.idempotency = Idempotency::non_idempotent,
                      .is_hedging_allowed = true,
                      .has_earlier_attempt_in_flight = in_flight,
                      .earlier_attempt_may_have_run = !in_flight,
                      .is_in_window = true};
    EXPECT_EQ(may_repeat(facts).reason(), Reason::may_have_run);
  }
  EXPECT_TRUE(
      may_repeat({.idempotency = Idempotency::non_idempotent, .is_in_window = true}).allowed())
      << "no earlier attempt may have run";
}

TEST(OperationGuard, ARequestWithAnIdempotencyKeyIsRepeatedOnlyWithinItsDeduplicationWindow) {
  RepeatFacts facts{.idempotency = Idempotency::idempotent_with_key,
                    .earlier_attempt_may_have_run = true,
                    .is_in_window = true};
  EXPECT_TRUE(may_repeat(facts).allowed());
  facts.is_in_window = false;
  EXPECT_EQ(may_repeat(facts).reason(), Reason::window_expired);
}

TEST(OperationGuard, AHedgedAttemptNeedsPermissionAndAnotherEndpoint) {
  RepeatFacts facts{.idempotency = Idempotency::idempotent,
                    .has_earlier_attempt_in_flight = true,
                    .is_in_window = true};
  EXPECT_EQ(may_repeat(facts).reason(), Reason::attempt_in_flight);
  facts.is_hedging_allowed = true;
  EXPECT_TRUE(may_repeat(facts).allowed());
  facts.has_earlier_attempt_at_endpoint = true;
  EXPECT_EQ(may_repeat(facts).reason(), Reason::attempt_in_flight);
}

TEST(OperationGuard, AConnectionIsClosedOnlyIfNothingIsPending) {
  EXPECT_TRUE(may_close({}).allowed());
  EXPECT_EQ(may_close({.request_unanswered = true}).reason(), Reason::request_unanswered);
  EXPECT_EQ(may_close({.response_unsent = true}).reason(), Reason::response_unsent);
  EXPECT_EQ(may_close({.bytes_unread = true}).reason(), Reason::bytes_unread);
}

TEST(OperationGuard, NoRequestIsStartedAfterTheProcessEndedOrForADisconnectedClient) {
  EXPECT_TRUE(may_start({.phase = Phase::draining}).allowed());
  EXPECT_EQ(may_start({.phase = Phase::ended}).reason(), Reason::process_ended);
  EXPECT_EQ(may_start({.has_waiting_client = false}).reason(), Reason::client_disconnected);
}

TEST(OperationGuard, RefusalsAreCountedByOperationAndReason) {
  RefusalCounts refusals;
  refusals.count(Operation::send, Reason::client_disconnected);
  refusals.count(Operation::send, Reason::client_disconnected);
  EXPECT_EQ(refusals.of(Operation::send, Reason::client_disconnected), 2u);
  EXPECT_EQ(refusals.of(Operation::close, Reason::client_disconnected), 0u);
}

}  // namespace
}  // namespace keelflow::operation_guard
