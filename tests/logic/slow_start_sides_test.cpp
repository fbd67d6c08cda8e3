/// Unit tests of the two sides of a slow-start lease: the messages and notifications of each.
#include <gtest/gtest.h>

#include "fleet/slow_start_borrower.h"
#include "fleet/slow_start_order.h"
#include "fleet/slow_start_owner.h"

namespace keelflow::fleet {
namespace {

constexpr int kDispatchers = 20;
constexpr int kBorrowerRank = 3;
constexpr double kLengthMs = 500;

EndpointLease lease_of(int dispatchers) {
  EndpointLease lease;
  lease.entry = {7, 0, 0, 0, scheduler::EndpointState::ready, 1, 10000};
  lease.order = order_at(lease.entry, dispatchers);
  return lease;
}

/// Common fixture: one lease, and the output of the side under test.
struct Sides : testing::Test {
  SlowStartMessage request(std::uint32_t number, std::uint32_t work_ms, std::uint32_t least = 1) {
    return {.kind = SlowStartMessage::Kind::request,
            .endpoint = 7,
            .endpoint_incarnation = incarnation_tag_of(lease.entry),
            .requester_incarnation = 5,
            .number = number,
            .work_ms = work_ms,
            .least_work_ms = least};
  }
  // The last message sent.
  SlowStartMessage sent() const {
    return *decode_slow_start_message(std::get<scheduler::SendPeerMessage>(actions.back()).bytes);
  }
  int receiver() const { return std::get<scheduler::SendPeerMessage>(actions.back()).peer; }

  EndpointLease lease = lease_of(kDispatchers);
  std::vector<scheduler::Event> notifications;
  scheduler::Actions actions;
  SlowStartOutput out{notifications, actions};
};

using SlowStartOwnerTest = Sides;

TEST_F(SlowStartOwnerTest, GrantsAtMostHalfOfItsBudgetAndEachRequestOnce) {
  SlowStartOwner owner;
  owner.on_request(100, kLengthMs, 9, request(1, 1000), 600, lease, out);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(sent().kind, SlowStartMessage::Kind::grant);
  EXPECT_EQ(sent().work_ms, 300u);
  EXPECT_EQ(receiver(), 9);
  EXPECT_DOUBLE_EQ(lease.granted.at(9).until, 100 + (1 + kMaxClockDrift) * kLengthMs);
  owner.on_request(101, kLengthMs, 9, request(1, 1000), 600, lease, out);
  EXPECT_EQ(actions.size(), 1u) << "a repeated request is ignored";
  owner.on_request(102, kLengthMs, 9, request(2, 1000, 400), 600, lease, out);
  EXPECT_EQ(actions.size(), 1u) << "a grant below the requested minimum is denied";
  EXPECT_EQ(owner.statistics().denied, 1u);
  EXPECT_EQ(owner.statistics().granted, 1u);
}

TEST_F(SlowStartOwnerTest, TakesBackAtMostTheGrantedWorkAndOnlyOnce) {
  SlowStartOwner owner;
  owner.on_request(100, kLengthMs, 9, request(1, 200), 600, lease, out);
  SlowStartMessage message = request(1, 5000);
  message.kind = SlowStartMessage::Kind::returned;
  owner.on_return(8, message, lease, out);
  EXPECT_EQ(notifications.size(), 1u) << "a return from a dispatcher without a lease is ignored";
  owner.on_return(9, message, lease, out);
  owner.on_return(9, message, lease, out);
  ASSERT_EQ(notifications.size(), 2u);
  EXPECT_EQ(std::get<scheduler::SlowStartGrant>(notifications[1]).work_ms, -200);
  EXPECT_EQ(owner.statistics().returned, 1u);
}

/// Fixture with a borrower and a list of live dispatchers.
struct SlowStartBorrowerTest : Sides {
  SlowStartMessage grant_of(const SlowStartMessage& request, std::uint32_t work_ms) {
    SlowStartMessage grant = request;
    grant.kind = SlowStartMessage::Kind::grant;
    grant.work_ms = work_ms;
    return grant;
  }
  void request_lease(scheduler::Time now) {
    borrower.request_if_needed(now, {.own = 0, .granted = 0, .typical = 100}, is_alive, lease, out);
  }
  std::vector<bool> is_alive = std::vector<bool>(kDispatchers, true);
  SlowStartBorrower borrower{kBorrowerRank, kDispatchers, 5};
};

TEST_F(SlowStartBorrowerTest, RequestsTheMissingWorkAndCountsTheLeaseFromTheRequest) {
  request_lease(1000);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(sent().work_ms, 200u);
  EXPECT_EQ(sent().least_work_ms, 100u);
  EXPECT_TRUE(borrower.has_pending_request(1059, lease));
  EXPECT_FALSE(borrower.has_pending_request(1060, lease));
  EXPECT_FALSE(
      borrower.on_grant(1020, kLengthMs, receiver() + 1, grant_of(sent(), 200), lease, out))
      << "a grant from a dispatcher without a request is ignored";
  EXPECT_TRUE(borrower.on_grant(1020, kLengthMs, receiver(), grant_of(sent(), 200), lease, out));
  EXPECT_EQ(lease.borrowed.until, 1500);
  EXPECT_FALSE(borrower.on_grant(1030, kLengthMs, receiver(), grant_of(sent(), 200), lease, out))
      << "a repeated grant is ignored";
  borrower.give_back(lease, 50, out);
  EXPECT_EQ(sent().kind, SlowStartMessage::Kind::returned);
  EXPECT_EQ(sent().work_ms, 50u);
  EXPECT_EQ(lease.borrowed.until, 0);
}

TEST_F(SlowStartBorrowerTest, ChoosesUnresponsiveOwnersLastAndDeadOwnersNever) {
  request_lease(1000);
  int first = receiver();
  for (scheduler::Time now = 1100; now < 2100; now += 100) {  // nearly two rounds over all owners
    request_lease(now);
    EXPECT_NE(receiver(), first) << now;
    borrower.on_grant(now, kLengthMs, receiver(), grant_of(sent(), 0), lease, out);  // denied
  }
  EXPECT_EQ(actions.size(), 11u);
  is_alive.assign(kDispatchers, false);
  std::size_t before = actions.size();
  request_lease(3000);
  EXPECT_EQ(actions.size(), before) << "no owner is alive";
}

TEST_F(SlowStartBorrowerTest, RequestsNothingWhileTheBudgetSuffices) {
  borrower.request_if_needed(1000, {.own = 100, .granted = 0, .typical = 100}, is_alive, lease,
                             out);
  EXPECT_TRUE(actions.empty());
}

}  // namespace
}  // namespace keelflow::fleet
