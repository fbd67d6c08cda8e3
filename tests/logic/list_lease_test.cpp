// Tests the list lease in virtual time. For any outcome of the calls and any fleet size, no request
// is sent according to a list after a change that the list lacks counts as received.
#include "discovery/list_lease.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "discovery/call_schedule.h"

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

constexpr Duration kGrace = 500ms;
constexpr Duration kMaxWriteDelay = 150ms;
const LeaseTerms kPolled{.pushed = false, .drain_grace = kGrace, .poll_deadline = 30s};
const LeaseTerms kPushed{.pushed = true, .drain_grace = kGrace, .poll_deadline = 30s};
const TimePoint kStart{1h};

TEST(ListLease, IsNotValidBeforeTheFirstProof) {
  for (const LeaseTerms& terms : {kPolled, kPushed})
    EXPECT_FALSE(ListLease(terms).valid(TimePoint{}));
}

TEST(ListLease, ExpiresBeforeAMissedChangeCountsAsReceived) {
  ListLease lease(kPolled);
  lease.current_as_of(kStart);
  EXPECT_TRUE(lease.valid(kStart + 5s));
  EXPECT_LE(lease.until() + kMaxWriteDelay, kStart + kListDeadline);
}

TEST(ListLease, IsNotShortenedByAnOlderProof) {
  ListLease lease(kPolled);
  lease.current_as_of(kStart);
  TimePoint until = lease.until();
  lease.current_as_of(kStart - 3s);
  EXPECT_EQ(lease.until(), until);
}

TEST(ListLease, IsRenewedWhileDiscoveryAcceptsNoConnection) {
  ListLease lease(kPolled);
  lease.current_as_of(kStart);
  for (TimePoint now = kStart; now < kStart + 60s; now += 2s) {
    lease.unreachable_as_of(now);
    EXPECT_TRUE(lease.valid(now));
  }
}

TEST(ListLease, ExpiresWithinTheGraceAfterTheWatchIsClosedIfListsArePushed) {
  ListLease lease(kPushed);
  lease.current_as_of(kStart);
  lease.watch_closed(kStart + 1s);
  EXPECT_LE(lease.until() + kMaxWriteDelay, kStart + 1s + kGrace);
}

TEST(ListLease, IsShortenedByAnAnswerWithoutListOnlyIfListsArePushed) {
  ListLease lease(kPushed);
  lease.current_as_of(kStart);
  lease.unreachable_as_of(kStart + 10s);
  lease.answered_without_list(kStart + 11s);
  EXPECT_LE(lease.until() + kMaxWriteDelay, kStart + 11s + kGrace);
  ListLease polled(kPolled);
  polled.current_as_of(kStart);
  polled.answered_without_list(kStart + 1s);
  EXPECT_TRUE(polled.valid(kStart + 5s))
      << "with polled lists a missed change counts only after 6 s";
}

TEST(ListLease, ExpiresWithinThePollDeadlineAfterTheWatchIsClosedIfListsArePolled) {
  ListLease lease({.pushed = false, .drain_grace = kGrace, .poll_deadline = 2s});
  lease.current_as_of(kStart);
  lease.watch_closed(kStart + 1s);
  EXPECT_LE(lease.until(), kStart + 2s);
}

TEST(ListLease, ExpiresWithinFourSecondsAfterTheAddressOfDiscoveryChanges) {
  ListLease lease(kPolled);
  lease.current_as_of(kStart);
  lease.discovery_moved(kStart);
  EXPECT_LE(lease.until() + kMaxWriteDelay, kStart + 4s);
}

TEST(ListLease, IsInvalidAfterRevocationUntilANewProof) {
  ListLease lease(kPolled);
  lease.current_as_of(kStart);
  lease.revoke();
  EXPECT_FALSE(lease.valid(kStart));
  lease.current_as_of(kStart + 1s);
  EXPECT_TRUE(lease.valid(kStart + 1s));
}

// The outcome of one call.
enum class Outcome { rejected_immediately, rejected_late, reset, hangs, slow, successful };

// One process with its watch, calls and lease, in a fleet of a configured size. The watch is lost,
// calls fail at random, and meanwhile the list changes. Only a successful call returns the change.
class Process {
 public:
  Process(const CallPolicy& policy, const LeaseTerms& terms, std::mt19937& random)
      : schedule_(policy), lease_(terms), random_(random) {}

  // Whether the process may at some time send although a change that it lacks counts as received.
  // `is_timeout`: the watch times out; otherwise it is closed.
  bool may_send_late(bool is_timeout, std::vector<Outcome> outcomes, TimePoint change,
                     Duration counts_after) {
    TimePoint now = kStart;
    lease_.current_as_of(now);  // the last heartbeat of the watch
    TimePoint lost_at = is_timeout ? now + kHeartbeatTimeout : now;
    if (!is_timeout)
      lease_.watch_closed(now);
    schedule_.watch_lost(lost_at, draw());
    bool has_change = false;
    for (; now < kStart + 60s; now += 5ms) {
      if (!has_change && now > std::max(change, kStart) + counts_after + kGrace &&
          lease_.valid(now - kMaxWriteDelay))
        return true;
      has_change = simulate_step(now, outcomes) || has_change;
    }
    return false;
  }

 private:
  struct Call {
    TimePoint started_at;
    TimePoint ends_at;
    Outcome outcome;
  };
  double draw() { return std::uniform_real_distribution<double>()(random_); }

  // Whether the list is received in this step.
  bool simulate_step(TimePoint now, std::vector<Outcome>& outcomes) {
    auto next = schedule_.next_call(calls_.size());
    if (next && *next <= now) {
      if (calls_.size() >= schedule_.max_open_calls())
        calls_.pop_front();
      schedule_.call_began(now, draw());
      Outcome outcome = outcomes.empty() ? Outcome::successful : outcomes.back();
      if (!outcomes.empty())
        outcomes.pop_back();
      calls_.push_back({now, now + call_duration(outcome), outcome});
    }
    for (auto call = calls_.begin(); call != calls_.end(); ++call) {
      if (call->ends_at > now)
        continue;
      bool has_list = call->outcome == Outcome::successful || call->outcome == Outcome::slow;
      calls_.erase(call);
      if (!has_list)
        return false;
      lease_.current_as_of(now);
      schedule_.watch_established();
      return true;
    }
    return false;
  }
  static Duration call_duration(Outcome outcome) {
    switch (outcome) {
      case Outcome::rejected_immediately:
        return 1ms;
      case Outcome::rejected_late:
        return 2s;
      case Outcome::reset:
        return 20ms;
      case Outcome::hangs:
        return 1h;
      case Outcome::slow:
        return 1500ms;
      case Outcome::successful:
        break;
    }
    return 50ms;
  }

  CallSchedule schedule_;
  ListLease lease_;
  std::mt19937& random_;
  std::deque<Call> calls_;
};

class ListLeaseOfFleets : public testing::TestWithParam<int> {};  // number of configured processes
INSTANTIATE_TEST_SUITE_P(Sizes, ListLeaseOfFleets,
                         testing::Values(5, 16, 30, 56, 100, 200, 300, 450, 600, 750, 900),
                         [](const auto& size) { return std::to_string(size.param); });

TEST_P(ListLeaseOfFleets, NoSequenceOfFailuresAllowsALateSend) {
  std::mt19937 random(static_cast<unsigned>(GetParam()));
  for (int run = 0; run < 300; ++run) {
    bool is_pushed = run % 2 == 1;
    bool is_timeout = random() % 2 == 0;
    Process process({.pushed = is_pushed, .processes = GetParam()}, is_pushed ? kPushed : kPolled,
                    random);
    std::vector<Outcome> outcomes(random() % 12);
    for (Outcome& outcome : outcomes)
      outcome = static_cast<Outcome>(random() % 5);
    TimePoint change = kStart + std::chrono::milliseconds(random() % 8000);
    Duration counts_after = is_pushed && !is_timeout ? Duration::zero() : kListDeadline;
    ASSERT_FALSE(process.may_send_late(is_timeout, std::move(outcomes), change, counts_after))
        << "run " << run;
  }
}

}  // namespace
}  // namespace keelflow::discovery
