// Each fact that forbids an operation does so alone, with its own reason.
#include "operation_guard/operation_guard.h"

#include <gtest/gtest.h>

#include <functional>
#include <utility>
#include <vector>

namespace keelflow::operation_guard {
namespace {

using namespace std::chrono_literals;
using scheduler::Idempotency;

const SendFacts kSend{.list_lease_valid = true,
                      .endpoint_ready = true,
                      .same_address = true,
                      .client_waits = true,
                      .in_window = true,
                      .time_left = 1ms};

TEST(OperationGuard, ASendIsForbiddenByEachOfItsFacts) {
  EXPECT_TRUE(may_send(kSend).allowed());
  const std::vector<std::pair<Reason, std::function<void(SendFacts&)>>> faults = {
      {Reason::list_lease_expired,
       [](SendFacts& f) {
         f.list_lease_valid = false;
       }},
      {Reason::endpoint_not_ready,
       [](SendFacts& f) {
         f.endpoint_ready = false;
       }},
      {Reason::endpoint_moved,
       [](SendFacts& f) {
         f.same_address = false;
       }},
      {Reason::client_gone,
       [](SendFacts& f) {
         f.client_waits = false;
       }},
      {Reason::window_over,
       [](SendFacts& f) {
         f.in_window = false;
       }},
      {Reason::deadline_passed, [](SendFacts& f) {
         f.time_left = 0ms;
       }}};
  for (const auto& [reason, spoil] : faults) {
    SendFacts facts = kSend;
    spoil(facts);
    EXPECT_EQ(may_send(facts).reason(), reason) << to_string(reason);
  }
}

TEST(OperationGuard, WhatWaitsForAListIsNotGivenUpForIt) {
  SendFacts facts = kSend;
  facts.list_lease_valid = facts.endpoint_ready = false;
  EXPECT_EQ(may_send(facts).reason(), Reason::endpoint_not_ready) << "it would wait in vain";
}

TEST(OperationGuard, UnsafeWorkThatMayHaveRunIsNotRepeated) {
  for (bool out : {false, true}) {
    RepeatFacts facts{.idempotency = Idempotency::non_idempotent,
                      .parallel_allowed = true,
                      .earlier_out = out,
                      .earlier_may_have_run = !out,
                      .in_window = true};
    EXPECT_EQ(may_repeat(facts).reason(), Reason::may_have_run);
  }
  EXPECT_TRUE(may_repeat({.idempotency = Idempotency::non_idempotent, .in_window = true}).allowed())
      << "it never ran";
}

TEST(OperationGuard, KeyedWorkIsRepeatedWithinItsWindowAlone) {
  RepeatFacts facts{.idempotency = Idempotency::idempotent_with_key,
                    .earlier_may_have_run = true,
                    .in_window = true};
  EXPECT_TRUE(may_repeat(facts).allowed());
  facts.in_window = false;
  EXPECT_EQ(may_repeat(facts).reason(), Reason::window_over);
}

TEST(OperationGuard, ASecondAttemptWhileOneIsOutNeedsLeaveAndAnotherEndpoint) {
  RepeatFacts facts{.idempotency = Idempotency::idempotent, .earlier_out = true, .in_window = true};
  EXPECT_EQ(may_repeat(facts).reason(), Reason::attempt_out);
  facts.parallel_allowed = true;
  EXPECT_TRUE(may_repeat(facts).allowed());
  facts.earlier_out_there = true;
  EXPECT_EQ(may_repeat(facts).reason(), Reason::attempt_out);
}

TEST(OperationGuard, AConnectionIsClosedOnlyOverNothing) {
  EXPECT_TRUE(may_close({}).allowed());
  EXPECT_EQ(may_close({.request_in_hand = true}).reason(), Reason::request_in_hand);
  EXPECT_EQ(may_close({.answer_unsent = true}).reason(), Reason::answer_unsent);
  EXPECT_EQ(may_close({.bytes_unread = true}).reason(), Reason::bytes_unread);
}

TEST(OperationGuard, NothingIsTakenAtTheEndOrForWhoHasGone) {
  EXPECT_TRUE(may_start({.phase = Phase::draining}).allowed());
  EXPECT_EQ(may_start({.phase = Phase::ended}).reason(), Reason::process_ended);
  EXPECT_EQ(may_start({.client_waits = false}).reason(), Reason::client_gone);
}

TEST(OperationGuard, RefusalsAreCountedByOperationAndReason) {
  Refusals refusals;
  refusals.count(Operation::send, Reason::client_gone);
  refusals.count(Operation::send, Reason::client_gone);
  EXPECT_EQ(refusals.of(Operation::send, Reason::client_gone), 2u);
  EXPECT_EQ(refusals.of(Operation::close, Reason::client_gone), 0u);
}

}  // namespace
}  // namespace keelflow::operation_guard
