/// Tests of which attempts may follow earlier ones, and of when a request may be rejected as safe
/// to retry.
#include "scheduler/retry_policy.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr Time kNow = 10000;
constexpr double kWindowMs = 1000;  // deduplication window, of which nine tenths are used

/// One request, and endpoints in the cell and zone of its earlier attempts and outside.
struct RetryPolicyTest : ::testing::Test {
  RetryPolicyTest()
      : environment(test_settings(), 1),
        endpoints(2),
        statistics(environment.settings),
        policy(environment, endpoints, statistics) {
    environment.now = kNow;
    request.deadline = kNow + 5000;
    same_cell = endpoints.add({.endpoint = 1, .zone = 0, .cell = 5});
    same_zone = endpoints.add({.endpoint = 2, .zone = 0, .cell = 6});
    other_zone = endpoints.add({.endpoint = 3, .zone = 1, .cell = 7});
  }

  static Settings test_settings() {
    Settings settings;
    settings.kinds = 2;
    settings.max_attempts = 3;
    settings.concurrent_attempts = true;
    settings.tick_ms = 10;
    settings.classes.resize(1);
    settings.classes[0].deduplication_window_ms = kWindowMs;
    return settings;
  }

  ClassSettings& class_settings() { return environment.settings.classes[0]; }
  void set_class(Idempotency idempotency, DeduplicationScope scope = DeduplicationScope::all) {
    class_settings().idempotency = idempotency;
    class_settings().deduplication_scope = scope;
  }
  /// Adds an earlier attempt in zone 0 and cell 5.
  void add_attempt(DeliveryState delivery, Time sent = kNow - 100) {
    request.attempts.push_back(
        {.endpoint = 9, .zone = 0, .cell = 5, .sent = sent, .delivery = delivery});
  }

  Environment environment;
  EndpointTable endpoints;
  ServiceStatistics statistics;
  RetryPolicy policy;
  Request request;
  EndpointSlot same_cell;
  EndpointSlot same_zone;
  EndpointSlot other_zone;
};

TEST_F(RetryPolicyTest, AnIdempotentRequestMayBeRetriedAnywhereAtAnyTime) {
  set_class(Idempotency::idempotent);
  add_attempt(DeliveryState::may_have_run, kNow - 100 * kWindowMs);
  EXPECT_TRUE(policy.may_send(request, other_zone));
  EXPECT_TRUE(policy.may_retry(request));
  EXPECT_TRUE(policy.may_reject(request));
}

TEST_F(RetryPolicyTest, ANonIdempotentRequestIsRetriedOnlyAfterUndeliveredAttempts) {
  set_class(Idempotency::non_idempotent);
  add_attempt(DeliveryState::not_delivered);
  EXPECT_TRUE(policy.may_send(request, same_cell));
  EXPECT_TRUE(policy.may_retry(request));
  EXPECT_TRUE(policy.may_reject(request));
  add_attempt(DeliveryState::may_have_run);
  EXPECT_FALSE(policy.may_send(request, same_cell));
  EXPECT_FALSE(policy.may_retry(request));
  EXPECT_FALSE(policy.may_reject(request));
}

TEST_F(RetryPolicyTest, ANonIdempotentRequestIsNeverHedged) {
  set_class(Idempotency::non_idempotent);
  add_attempt(DeliveryState::in_flight);
  EXPECT_FALSE(policy.may_send(request, same_cell));
  EXPECT_FALSE(policy.may_reject(request));
}

TEST_F(RetryPolicyTest, ARequestWithAKeyIsRetriedOnlyWithinItsDeduplicationScope) {
  add_attempt(DeliveryState::may_have_run);
  set_class(Idempotency::idempotent_with_key, DeduplicationScope::all);
  EXPECT_TRUE(policy.may_send(request, other_zone));
  set_class(Idempotency::idempotent_with_key, DeduplicationScope::zone);
  EXPECT_TRUE(policy.may_send(request, same_zone));
  EXPECT_FALSE(policy.may_send(request, other_zone));
  set_class(Idempotency::idempotent_with_key, DeduplicationScope::cell);
  EXPECT_TRUE(policy.may_send(request, same_cell));
  EXPECT_FALSE(policy.may_send(request, same_zone));
}

TEST_F(RetryPolicyTest, ARequestWithAKeyIsRetriedOnlyWithinNineTenthsOfItsWindow) {
  set_class(Idempotency::idempotent_with_key, DeduplicationScope::zone);
  add_attempt(DeliveryState::may_have_run, kNow);
  environment.now = kNow + 0.9 * kWindowMs;
  EXPECT_TRUE(policy.may_send(request, same_zone));
  // Any later attempt would be outside the usable part of the deduplication window.
  EXPECT_FALSE(policy.may_retry(request));
  environment.now += 1;
  EXPECT_FALSE(policy.may_send(request, same_zone));
}

TEST_F(RetryPolicyTest,
       ARequestWithAKeyMayBeRejectedIfAllEndpointsDeduplicateItOrItWasNotDelivered) {
  add_attempt(DeliveryState::may_have_run);
  set_class(Idempotency::idempotent_with_key, DeduplicationScope::all);
  EXPECT_TRUE(policy.may_reject(request));
  set_class(Idempotency::idempotent_with_key, DeduplicationScope::zone);
  EXPECT_FALSE(policy.may_reject(request));
  request.attempts[0].delivery = DeliveryState::not_delivered;
  EXPECT_TRUE(policy.may_reject(request));
}

TEST_F(RetryPolicyTest, WithoutConcurrentAttemptsNothingIsSentWhileOneIsInFlight) {
  environment.settings.concurrent_attempts = false;
  add_attempt(DeliveryState::in_flight);
  EXPECT_FALSE(policy.may_send(request, same_cell));
  request.attempts[0].delivery = DeliveryState::may_have_run;
  EXPECT_TRUE(policy.may_send(request, same_cell));
}

TEST_F(RetryPolicyTest, NothingIsSentOnceAttemptsAreUsedUpTheDeadlinePassedOrAResponseBegan) {
  request.is_streaming = true;
  EXPECT_FALSE(policy.may_send(request, same_cell));
  request.is_streaming = false;
  request.is_finished = true;
  EXPECT_FALSE(policy.may_send(request, same_cell));
  request.is_finished = false;
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(policy.may_send(request, same_cell));
    add_attempt(DeliveryState::not_delivered);
  }
  EXPECT_FALSE(policy.may_send(request, same_cell));
  EXPECT_FALSE(policy.may_retry(request));
  request.attempts.clear();
  environment.now = request.deadline;
  EXPECT_FALSE(policy.may_send(request, same_cell));
}

TEST_F(RetryPolicyTest, NothingIsSentToADrainingEndpointOrOneOfAnotherKind) {
  endpoints.set_state(same_cell, EndpointState::draining);
  EXPECT_FALSE(policy.may_send(request, same_cell));
  class_settings().kind = 1;
  EXPECT_FALSE(policy.may_send(request, same_zone));
}

TEST_F(RetryPolicyTest, RetryAfterIsAQuarterOfTheMeanRunningTimeWithinLimits) {
  EXPECT_DOUBLE_EQ(policy.retry_after(), 0);  // disabled in the settings
  environment.settings.retry_after = true;
  environment.settings.max_retry_after_ms = 500;
  EXPECT_DOUBLE_EQ(policy.retry_after(), 40);  // at least four ticks
  statistics.record_run(1000);
  EXPECT_DOUBLE_EQ(policy.retry_after(), 250);
  ServiceStatistics long_runs(environment.settings);
  long_runs.record_run(1e6);
  EXPECT_DOUBLE_EQ(RetryPolicy(environment, endpoints, long_runs).retry_after(), 500);
}

}  // namespace
}  // namespace keelflow::scheduler
