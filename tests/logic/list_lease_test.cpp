// The lease of the list, in virtual time: whatever becomes of the calls, at any size of the fleet,
// nothing is sent by a list once a change that it misses counts as received.
#include "discovery/list_lease.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "discovery/call_schedule.h"
#include "discovery/outage_presumption.h"

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

constexpr Duration kGrace = 500ms, kHeldUp = 150ms;
const LeaseTerms kAsked{.pushed = false, .drain_grace = kGrace, .ask_within = 30s};
const LeaseTerms kPushed{.pushed = true, .drain_grace = kGrace, .ask_within = 30s};
const TimePoint kStart{1h};

TEST(ListLease, BeforeAnythingIsHeardNothingIsSentByTheListFromBefore) {
  for (const LeaseTerms& terms : {kAsked, kPushed})
    EXPECT_FALSE(ListLease(terms).valid(TimePoint{}));
}

TEST(ListLease, RunsOutBeforeAChangeThatIsMissedCounts) {
  ListLease lease(kAsked);
  lease.current_as_of(kStart);
  EXPECT_TRUE(lease.valid(kStart + 5s));
  EXPECT_LE(lease.until() + kHeldUp, kStart + kListDeadline);
}

TEST(ListLease, AnOlderProofDoesNotShortenIt) {
  ListLease lease(kAsked);
  lease.current_as_of(kStart);
  TimePoint until = lease.until();
  lease.current_as_of(kStart - 3s);
  EXPECT_EQ(lease.until(), until);
}

TEST(ListLease, GoesOnWhileDiscoveryTakesNoConnection) {
  ListLease lease(kAsked);
  lease.current_as_of(kStart);
  for (TimePoint now = kStart; now < kStart + 60s; now += 2s) {
    lease.unreachable_as_of(now);
    EXPECT_TRUE(lease.valid(now));
  }
}

TEST(ListLease, WhereListsArePushedItEndsWithTheWatchWithinTheGrace) {
  ListLease lease(kPushed);
  lease.current_as_of(kStart);
  lease.watch_closed(kStart + 1s);
  EXPECT_LE(lease.until() + kHeldUp, kStart + 1s + kGrace);
}

TEST(ListLease, AnAgentThatAnswersAgainEndsWhatItsSilenceHadGranted) {
  ListLease lease(kPushed);
  lease.current_as_of(kStart);
  lease.unreachable_as_of(kStart + 10s);
  lease.answered_without_list(kStart + 11s);
  EXPECT_LE(lease.until() + kHeldUp, kStart + 11s + kGrace);
  ListLease asked(kAsked);
  asked.current_as_of(kStart);
  asked.answered_without_list(kStart + 1s);
  EXPECT_TRUE(asked.valid(kStart + 5s)) << "asked for, it has six seconds to tell";
}

TEST(ListLease, WithoutAWatchItEndsWithinTheTimeThatTheSettingsGiveForAsking) {
  ListLease lease({.pushed = false, .drain_grace = kGrace, .ask_within = 2s});
  lease.current_as_of(kStart);
  lease.watch_closed(kStart + 1s);
  EXPECT_LE(lease.until(), kStart + 2s);
}

TEST(ListLease, ANewConfigurationEndsItWithinFourSeconds) {
  ListLease lease(kAsked);
  lease.current_as_of(kStart);
  lease.discovery_moved(kStart);
  EXPECT_LE(lease.until() + kHeldUp, kStart + 4s);
}

TEST(ListLease, ARevokedOneNeedsANewProof) {
  ListLease lease(kAsked);
  lease.current_as_of(kStart);
  lease.revoke();
  EXPECT_FALSE(lease.valid(kStart));
  lease.current_as_of(kStart + 1s);
  EXPECT_TRUE(lease.valid(kStart + 1s));
}

// What becomes of one call.
enum class Fate { refused_at_once, refused_late, reset, hangs, slow, good };

// One process with its watch, its calls and its lease, in a fleet of a configured size. The watch
// is lost, calls fail as drawn, and a change is made meanwhile that only a good call brings.
class Process {
 public:
  Process(const CallPolicy& policy, const LeaseTerms& terms, std::mt19937& random)
      : schedule_(policy), lease_(terms), random_(random) {}

  // Whether at some moment it could send although the change counted. `silent`: the watch falls
  // silent, else it is closed.
  bool sends_late(bool silent, std::vector<Fate> fates, TimePoint change, Duration counts_after) {
    TimePoint now = kStart;
    lease_.current_as_of(now);  // the last word of the watch
    TimePoint lost = silent ? now + kHeartbeatTimeout : now;
    if (!silent)
      lease_.watch_closed(now);
    schedule_.watch_lost(lost, draw());
    bool knows = false;
    for (; now < kStart + 60s; now += 5ms) {
      if (!knows && now > std::max(change, kStart) + counts_after + kGrace &&
          lease_.valid(now - kHeldUp))
        return true;
      knows = play(now, fates) || knows;
    }
    return false;
  }

 private:
  struct Call {
    TimePoint began, ends;
    Fate fate;
  };
  double draw() { return std::uniform_real_distribution<double>()(random_); }

  // True: the list has come.
  bool play(TimePoint now, std::vector<Fate>& fates) {
    auto next = schedule_.next_call(calls_.size());
    if (next && *next <= now) {
      if (calls_.size() >= schedule_.most_calls())
        calls_.pop_front();
      schedule_.call_began(now, draw());
      Fate fate = fates.empty() ? Fate::good : fates.back();
      if (!fates.empty())
        fates.pop_back();
      calls_.push_back({now, now + lasts(fate), fate});
    }
    for (auto call = calls_.begin(); call != calls_.end(); ++call) {
      if (call->ends > now)
        continue;
      bool good = call->fate == Fate::good || call->fate == Fate::slow;
      calls_.erase(call);
      if (!good)
        return false;
      lease_.current_as_of(now);
      schedule_.watch_established();
      return true;
    }
    return false;
  }
  static Duration lasts(Fate fate) {
    switch (fate) {
      case Fate::refused_at_once:
        return 1ms;
      case Fate::refused_late:
        return 2s;
      case Fate::reset:
        return 20ms;
      case Fate::hangs:
        return 1h;
      case Fate::slow:
        return 1500ms;
      case Fate::good:
        break;
    }
    return 50ms;
  }

  CallSchedule schedule_;
  ListLease lease_;
  std::mt19937& random_;
  std::deque<Call> calls_;
};

class ListLeaseOfFleets : public testing::TestWithParam<int> {};  // configured processes
INSTANTIATE_TEST_SUITE_P(Sizes, ListLeaseOfFleets,
                         testing::Values(5, 16, 30, 56, 100, 200, 300, 450, 600, 750, 900),
                         [](const auto& size) { return std::to_string(size.param); });

TEST_P(ListLeaseOfFleets, NoSequenceOfFailuresLetsALateSendThrough) {
  std::mt19937 random(static_cast<unsigned>(GetParam()));
  for (int run = 0; run < 300; ++run) {
    bool pushed = run % 2 == 1, silent = random() % 2 == 0;
    Process process({.pushed = pushed, .processes = GetParam()}, pushed ? kPushed : kAsked, random);
    std::vector<Fate> fates(random() % 12);
    for (Fate& fate : fates)
      fate = static_cast<Fate>(random() % 5);
    TimePoint change = kStart + std::chrono::milliseconds(random() % 8000);
    Duration counts_after = pushed && !silent ? Duration::zero() : kListDeadline;
    ASSERT_FALSE(process.sends_late(silent, std::move(fates), change, counts_after))
        << "run " << run;
  }
}

TEST(OutagePresumption, NeedsRefusedCallsAndPeersWithoutWatch) {
  OutagePresumption outage;
  EXPECT_FALSE(outage.until(kStart));
  outage.call_refused(kStart - 2s, kStart);
  EXPECT_FALSE(outage.until(kStart)) << "silence of the peers presumes nothing";
  outage.peer_has_none(kStart);
  EXPECT_TRUE(outage.until(kStart));
  EXPECT_FALSE(outage.until(kStart + 3s)) << "the peers have fallen silent";
}

TEST(OutagePresumption, ARefusalAtOnceSaysNothing) {
  OutagePresumption outage;
  outage.peer_has_none(kStart);
  outage.call_refused(kStart - 10ms, kStart);
  EXPECT_FALSE(outage.until(kStart));
}

TEST(OutagePresumption, OnePeerWithAWatchEndsIt) {
  OutagePresumption outage;
  outage.call_refused(kStart - 2s, kStart);
  outage.peer_has_none(kStart);
  outage.peer_has_watch(kStart);
  outage.peer_has_none(kStart + 1s);
  EXPECT_FALSE(outage.until(kStart + 1s));
  outage.call_refused(kStart + 1s, kStart + 3s);
  outage.peer_has_none(kStart + 3s);
  EXPECT_TRUE(outage.until(kStart + 3s)) << "a further outage";
}

TEST(WatchMessage, IsReadAsItWasWrittenAndNothingElseIs) {
  using Kind = WatchMessage::Kind;
  for (Kind kind : {Kind::question, Kind::has_watch, Kind::has_none}) {
    std::string bytes = encode({kind});
    ASSERT_TRUE(decode_watch_message(bytes));
    EXPECT_EQ(decode_watch_message(bytes)->kind, kind);
    EXPECT_FALSE(decode_watch_message(bytes + "x"));
    EXPECT_FALSE(decode_watch_message(bytes.substr(1)));
  }
  EXPECT_FALSE(decode_watch_message(std::string("\x57\x01\x04", 3)));
  EXPECT_FALSE(decode_watch_message(std::string("\x57\x02\x01", 3)));
}

}  // namespace
}  // namespace keelflow::discovery
