/// Tests of Membership: the instances of many nodes run on one simulated network with injected
/// faults, and the test checks that all views agree.
#include "fleet/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace keelflow::fleet {
namespace {

TEST(MembershipMessage, RoundTripsAndRejectsOtherBytes) {
  MembershipMessage message{.kind = MembershipMessage::Kind::indirect_probe,
                            .number = 513,
                            .incarnation = 0xfedcba98,
                            .digest = 7,
                            .subject = 299,
                            .updates = {}};
  for (int i = 0; i < static_cast<int>(kMaxUpdates); ++i)
    message.updates.push_back({i, MemberState::suspect, 5u + static_cast<unsigned>(i), 298});
  std::string bytes = encode(message);
  EXPECT_LE(bytes.size(), kMaxMessageBytes);
  ASSERT_EQ(decode_membership_message(bytes), message);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    EXPECT_FALSE(decode_membership_message(bytes.substr(0, cut)));
  EXPECT_FALSE(decode_membership_message(bytes + "x"));
  EXPECT_FALSE(decode_membership_message("12345678"));  // a load update of an earlier release
  bytes[1] = 2;                                         // a later version
  EXPECT_FALSE(decode_membership_message(bytes));
  std::mt19937 random(1);
  for (int i = 0; i < 20'000; ++i) {  // random bytes are either decoded or rejected
    std::string noise(random() % 300, 'x');
    for (char& c : noise)
      c = static_cast<char>(random());
    if (noise.size() > 4)
      noise.replace(0, 4,
                    {'\xfe', 1, static_cast<char>(random() % 6), static_cast<char>(random() % 28)});
    if (auto decoded = decode_membership_message(noise)) {
      EXPECT_EQ(encode(*decoded), noise);
    }
  }
}

/// A tier of nodes on a simulated network with loss, duplication, delay and partitions.
struct Tier {
  explicit Tier(int count, unsigned seed = 1, double loss_fraction = 0)
      : nodes(static_cast<std::size_t>(count)), loss(loss_fraction), random(seed) {
    for (int i = 0; i < count; ++i)
      start(i);
  }
  struct Node {
    std::unique_ptr<Membership> membership;  // null: killed
    Time stalled_until = 0;
    std::vector<std::pair<int, std::string>> unread;
  };
  struct Event {
    Time at = 0;
    int node = 0;
    int from = 0;
    int member = 0;
    MemberState state = MemberState::alive;
  };

  void start(int i) {
    Membership::Settings settings{.members = static_cast<int>(nodes.size()), .self = i};
    nodes[at(i)].membership =
        std::make_unique<Membership>(settings, now, static_cast<std::uint32_t>(1000 + now));
    nodes[at(i)].unread.clear();
  }
  void kill(int i) { nodes[at(i)].membership.reset(); }
  void stall(int i, Time duration) { nodes[at(i)].stalled_until = now + duration; }

  void run(Time duration) {
    for (Time until = now + duration; now < until; now += 5) {
      while (!in_flight.empty() && in_flight.begin()->first <= now) {
        auto [to, from, bytes] = in_flight.begin()->second;
        in_flight.erase(in_flight.begin());
        if (nodes[at(to)].membership)
          nodes[at(to)].unread.emplace_back(from, bytes);
      }
      for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
        Node& node = nodes[at(i)];
        if (!node.membership || now < node.stalled_until)
          continue;
        Membership::Output out;
        for (auto& [from, bytes] : std::exchange(node.unread, {}))
          node.membership->on_datagram(now, from, bytes, out);
        if (now >= node.membership->next()) {
          node.membership->tick(now, out);
          EXPECT_GT(node.membership->next(), now) << "next() did not advance";
        }
        send_all(i, out);
        for (int to = 0; sends_load_updates && static_cast<int>(now / 5) % 20 == i % 20 &&
                         to < static_cast<int>(nodes.size());
             ++to)
          if (to != i && std::generate_canonical<double, 32>(random) >= loss)
            in_flight.emplace(now + 3, std::tuple(to, i, std::string("12345678")));
      }
    }
  }
  void send_all(int from, Membership::Output& out) {
    for (const auto& message : out.messages) {
      EXPECT_LE(message.bytes.size(), kMaxMessageBytes);
      EXPECT_NE(message.to, from);
      ++messages;
      if (is_cut && is_cut(from, message.to))
        continue;
      for (int copies = is_duplicating && random() % 3 == 0 ? 2 : 1; copies > 0; --copies)
        if (std::generate_canonical<double, 32>(random) >= loss)
          in_flight.emplace(now + 1 + static_cast<Time>(random() % 12),
                            std::tuple(message.to, from, message.bytes));
    }
    for (const auto& change : out.changes)
      if (change.to == MemberState::dead || change.from == MemberState::dead)
        events.push_back({now, from, from, change.member, change.to});
  }
  // Whether all nodes of `among` consider exactly the members of `alive` alive.
  bool agree(const std::vector<int>& among, const std::vector<int>& alive) const {
    for (int i : among)
      for (int m = 0; m < static_cast<int>(nodes.size()); ++m)
        if (m != i && nodes[at(i)].membership->is_alive(m) !=
                          (std::find(alive.begin(), alive.end(), m) != alive.end()))
          return false;
    return true;
  }
  std::vector<int> all_but(const std::vector<int>& gone) const {
    std::vector<int> out;
    for (int i = 0; i < static_cast<int>(nodes.size()); ++i)
      if (std::find(gone.begin(), gone.end(), i) == gone.end())
        out.push_back(i);
    return out;
  }
  // Runs until the nodes agree. Returns the time that took, or -1 after `timeout`.
  Time time_to_agreement(const std::vector<int>& among, const std::vector<int>& alive,
                         Time timeout = 20'000) {
    Time begin = now;
    while (now < begin + timeout) {
      if (agree(among, alive))
        return now - begin;
      run(10);
    }
    return -1;
  }
  int deaths_of(int member) const {
    return static_cast<int>(std::count_if(events.begin(), events.end(), [&](const Event& event) {
      return event.member == member && event.state == MemberState::dead;
    }));
  }
  int deaths() const {
    return static_cast<int>(std::count_if(events.begin(), events.end(), [](const Event& event) {
      return event.state == MemberState::dead;
    }));
  }
  static std::size_t at(int i) { return static_cast<std::size_t>(i); }

  std::vector<Node> nodes;
  std::multimap<Time, std::tuple<int, int, std::string>> in_flight;
  std::vector<Event> events;
  std::function<bool(int from, int to)> is_cut;
  Time now = 1'000'000;
  double loss;
  bool is_duplicating = false;
  bool sends_load_updates = false;  // each node sends one to every other ten times a second
  std::uint64_t messages = 0;
  std::mt19937 random;
};

double p99(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(0.99 * static_cast<double>(values.size() - 1))];
}

TEST(Membership, AllNodesDetectADeathWithinTwoSecondsDespiteLoss) {
  for (int count : {4, 16, 40})
    for (double loss : {0.0, 0.1, 0.3}) {
      std::vector<double> took;
      int false_deaths = 0;
      for (unsigned seed = 1; seed <= (count == 40 ? 20u : 60u); ++seed) {
        Tier tier(count, seed, loss);
        tier.is_duplicating = seed % 2 == 0;
        tier.run(3000 + seed * 17);
        int victim = static_cast<int>(seed) % count;
        false_deaths += tier.deaths();
        tier.kill(victim);
        took.push_back(tier.time_to_agreement(tier.all_but({victim}), tier.all_but({victim})));
        EXPECT_GE(took.back(), 0);
        tier.run(1000);
        EXPECT_TRUE(tier.agree(tier.all_but({victim}), tier.all_but({victim})) || loss > 0);
        false_deaths += tier.deaths() - tier.deaths_of(victim);
      }
      std::printf(
          "%2d nodes, %2.0f %% lost: p50 %4.0f p99 %4.0f ms, %d false deaths\n", count, 100 * loss,
          [&] {
            auto t = took;
            std::sort(t.begin(), t.end());
            return t[t.size() / 2];
          }(),
          p99(took), false_deaths);
      EXPECT_LT(p99(took), 2000) << count << " nodes, loss " << loss;
      EXPECT_EQ(false_deaths, 0) << count << " nodes, loss " << loss;
    }
}

TEST(Membership, NobodyIsSuspectedInTenMinutesWithoutFaults) {
  for (int count : {2, 4, 16}) {
    Tier tier(count);
    tier.run(600'000);
    EXPECT_TRUE(tier.events.empty());
    for (const auto& n : tier.nodes)
      EXPECT_EQ(n.membership->statistics().suspicions, 0u);
    double rate = static_cast<double>(tier.messages) / count / 600;
    EXPECT_LT(rate, 9) << "messages a second and node";  // four probes and four acks
  }
}

// Load updates between all nodes make probes unnecessary, but member updates must still spread.
TEST(Membership, AllNodesDetectADeathWithinTwoSecondsDespiteLoadUpdates) {
  std::vector<double> took;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Tier tier(40, seed, 0.1);
    tier.sends_load_updates = true;
    tier.run(3000 + seed * 17);
    tier.kill(7);
    took.push_back(tier.time_to_agreement(tier.all_but({7}), tier.all_but({7})));
    EXPECT_GE(took.back(), 0);
  }
  EXPECT_LT(p99(took), 2000);
}

TEST(Membership, DatagramsThatAreNoMembershipMessageOrNotFromAnotherMemberChangeNothing) {
  Tier tier(4);
  tier.run(2000);
  Membership::Output out;
  EXPECT_FALSE(tier.nodes[0].membership->on_datagram(tier.now, 1, "12345678", out));
  EXPECT_FALSE(tier.nodes[0].membership->on_datagram(tier.now, 9, encode({}), out));  // no member
  EXPECT_FALSE(tier.nodes[0].membership->on_datagram(tier.now, 0, encode({}), out));  // itself
  EXPECT_TRUE(out.changes.empty());
}

TEST(Membership, ANodeOfAnEarlierReleaseCountsAsAliveWithAndWithoutLoadUpdates) {
  Tier tier(3);
  tier.kill(2);  // it never sends a message of this kind
  tier.run(10'000);
  EXPECT_TRUE(tier.agree({0, 1}, {0, 1, 2}));
  Membership::Output out;
  tier.nodes[0].membership->on_datagram(tier.now, 2, "12345678", out);
  EXPECT_EQ(tier.nodes[0].membership->at(2).state, MemberState::alive);
}

TEST(Membership, TheLastOfFourNodesDetectsThreeDeathsWithinThreeSeconds) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Tier tier(4, seed);
    tier.run(3000 + seed * 31);
    for (int i : {0, 1, 3})
      tier.kill(i);
    Time took = tier.time_to_agreement({2}, {2});
    EXPECT_GE(took, 0);
    EXPECT_LT(took, 3000) << seed;
  }
}

TEST(Membership, ARestartedNodeIsSeenWithItsNewIncarnation) {
  Tier tier(8);
  tier.run(3000);
  tier.kill(3);
  tier.run(50);
  tier.start(3);
  tier.run(5000);
  EXPECT_TRUE(tier.agree(tier.all_but({}), tier.all_but({})));
  EXPECT_EQ(tier.deaths(), 0);
  EXPECT_GT(tier.nodes[0].membership->at(3).incarnation, 4000u + 1'000'000u - 1);
}

TEST(Membership, AStalledNodeDeclaresNobodyDeadWhenItResumes) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Tier tier(8, seed);
    tier.run(3000 + seed * 23);
    tier.stall(5, 3000);
    tier.run(2500);
    EXPECT_TRUE(tier.agree(tier.all_but({5}), tier.all_but({5})))
        << "all other members consider member 5 dead";
    tier.run(500);
    Time back = tier.time_to_agreement(tier.all_but({}), tier.all_but({}));
    EXPECT_GE(back, 0);
    EXPECT_LT(back, 1500);
    tier.run(3000);
    EXPECT_EQ(tier.deaths(), tier.deaths_of(5)) << "the stalled node declared a member dead";
  }
}

TEST(Membership, AnIsolatedNodeAccusesNobodyToTheOthers) {
  for (int isolated : {1, 5, 15}) {  // isolated nodes of sixteen: one, a third, all but one
    Tier tier(16);
    tier.run(3000);
    tier.is_cut = [&](int, int to) {
      return to < isolated;
    };
    tier.run(10'000);
    std::map<std::pair<int, int>, int> deaths_seen;  // by observer and dead member
    for (const auto& event : tier.events) {
      if (event.node < isolated)
        continue;
      EXPECT_LT(event.member, isolated)
          << "n" << event.node << " accepted the accusation of an isolated node against n"
          << event.member;
      int& times = deaths_seen[std::pair(event.node, event.member)];
      EXPECT_LE(times += event.state == MemberState::dead, 1) << "the state flaps";
    }
    tier.is_cut = nullptr;
    Time took = tier.time_to_agreement(tier.all_but({}), tier.all_but({}));
    EXPECT_GE(took, 0);
    EXPECT_LT(took, 3000) << isolated;
  }
}

TEST(Membership, EachSideOfAPartitionAgreesAndBothMergeWhenItHeals) {
  for (int half : {1, 8})  // one against the rest, and halves
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Tier tier(16, seed);
      tier.run(3000 + seed * 37);
      tier.is_cut = [&](int from, int to) {
        return (from < half) != (to < half);
      };
      std::vector<int> one;
      std::vector<int> other;
      for (int i = 0; i < 16; ++i)
        (i < half ? one : other).push_back(i);
      EXPECT_GE(tier.time_to_agreement(other, other), 0);
      EXPECT_GE(tier.time_to_agreement(one, one), 0);
      tier.run(5000);
      EXPECT_TRUE(tier.agree(one, one) && tier.agree(other, other));
      tier.is_cut = nullptr;
      Time took = tier.time_to_agreement(tier.all_but({}), tier.all_but({}));
      EXPECT_GE(took, 0);
      EXPECT_LT(took, 4000);
      tier.run(3000);
      EXPECT_TRUE(tier.agree(tier.all_but({}), tier.all_but({})));
    }
}

TEST(Membership, ALeavingNodeIsDeadAtOnceAndItsLaterMessagesDoNotReviveIt) {
  Tier tier(8);
  tier.run(3000);
  Membership::Output out;
  tier.nodes[4].membership->leave(tier.now, out);
  tier.send_all(4, out);
  EXPECT_LT(tier.time_to_agreement(tier.all_but({4}), tier.all_but({4})), 300);
  tier.run(1500);  // the node still answers
  EXPECT_TRUE(tier.agree(tier.all_but({4}), tier.all_but({4})));
  tier.kill(4);
  tier.start(4);
  EXPECT_LT(tier.time_to_agreement(tier.all_but({}), tier.all_but({})), 2000);
}

/// One Membership without a network; the test supplies every datagram.
struct SingleNode {
  SingleNode() : node({.members = 8, .self = 0}, now, 1000) {
    for (int from = 1; from < 8; ++from)
      receive(from, {});
  }
  void receive(int from, std::vector<MemberUpdate> updates) {
    Membership::Output out;
    node.on_datagram(now, from,
                     encode({.kind = MembershipMessage::Kind::gossip,
                             .number = 0,
                             .incarnation = 1000,
                             .digest = 0,
                             .subject = from,
                             .updates = std::move(updates)}),
                     out);
  }
  void receive_load_update(int from) {
    Membership::Output out;
    node.on_datagram(now, from, "12345678", out);
  }
  void run_without_datagrams(Time duration) {
    Membership::Output out;
    Time until = now + duration;
    while (node.next() < until)
      node.tick(now = std::max(now, node.next()), out);
    now = until;
  }
  Time now = 1'000'000;
  Membership node;
};

TEST(Membership, AStallDoesNotCountTowardsSuspicionTimeouts) {
  SingleNode single;
  single.receive(1, {{3, MemberState::suspect, 1000, 1}});
  single.now += 3000;  // the node was stalled, and its timer fires late
  Membership::Output out;
  single.node.tick(single.now, out);
  EXPECT_EQ(single.node.at(3).state, MemberState::suspect);
  EXPECT_GT(single.node.health(), 0);
}

TEST(Membership, TheFirstDatagramAfterIsolationRevertsDeathsDeclaredMeanwhile) {
  SingleNode single;
  single.run_without_datagrams(6000);
  EXPECT_EQ(single.node.alive_count(), 1);
  single.receive(1, {});
  EXPECT_EQ(single.node.alive_count(), 8);
}

TEST(Membership, LoadUpdatesReviveANodeOfAnEarlierReleaseButNotOneThatHasLeft) {
  SingleNode single;
  single.now += 10;
  single.receive(1, {{2, MemberState::dead, 1000, 2}});  // node 2 announces its shutdown
  single.receive(1, {{3, MemberState::suspect, 1000, 1},
                     {3, MemberState::suspect, 1000, 4},
                     {3, MemberState::suspect, 1000, 5},
                     {3, MemberState::suspect, 1000, 6}});
  for (int i = 0; i < 40; ++i) {
    single.run_without_datagrams(40);
    single.receive(1, {});
    single.receive(4, {});
  }
  ASSERT_EQ(single.node.at(3).state, MemberState::dead);
  single.now += 1500;
  single.receive_load_update(2);
  single.receive_load_update(3);
  EXPECT_EQ(single.node.at(2).state, MemberState::dead);
  EXPECT_EQ(single.node.at(3).state, MemberState::alive);
}

TEST(Membership, AFleetOfThreeHundredDetects210DeathsAndTheirReturn) {
  Tier tier(300);
  tier.run(3000);
  std::vector<int> gone;
  for (int i = 0; i < 300; ++i)
    if (i % 10 < 7) {
      gone.push_back(i);
      tier.kill(i);
    }
  Time took = tier.time_to_agreement(tier.all_but(gone), tier.all_but(gone));
  std::printf("210 of 300 die: known to all after %.0f ms\n", took);
  EXPECT_GE(took, 0);
  EXPECT_EQ(tier.deaths(), 90 * 210);
  for (int i : gone)
    tier.start(i);
  Time back = tier.time_to_agreement(tier.all_but({}), tier.all_but({}));
  std::printf("210 restart: known to all after %.0f ms\n", back);
  EXPECT_GE(back, 0);
}

}  // namespace
}  // namespace keelflow::fleet
