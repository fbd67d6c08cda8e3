// SlowStartLeases: whatever the network and the nodes do, all together send an endpoint that is
// warming up no more than its budget.
#include "fleet/slow_start_leases.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "slow_start_leases_world.h"

namespace keelflow::fleet {
namespace {

using namespace keelflow::scheduler;

constexpr double kMargin = 0.62;  // of what makes it fall over, as scheduler/decide.cpp has it

struct Faults {
  unsigned lost = 0, doubled = 0;  // of 100 messages
  int most_delay = 20;             // ms
  int unheard_nodes = 0;           // so many nodes receive all, and nobody receives theirs
  bool restarts = false, stalls = false;
  unsigned jobs = 10;     // of 1000 steps of a node
  std::size_t busy = 30;  // nodes that have any
};

// Messages arrive late, doubled, out of order or never; nodes stall for 3 s and read everything at
// once then, or start again and know nothing.
struct World {
  World(int count, unsigned seed, const Faults& f) : s(many(count)), random(seed), faults(f) {
    for (int n = 0; n < count; ++n)
      nodes.push_back(std::make_unique<Node>(s, n, kStartedAt - 1));
    asleep.resize(nodes.size());
    for (now = kStartedAt; now < kStartedAt + 20000; now += 5)
      step();
  }

  void step() {
    for (; !in_flight.empty() && in_flight.begin()->first <= now;
         in_flight.erase(in_flight.begin())) {
      auto [from, to, bytes] = in_flight.begin()->second;
      if (asleep[to] > now)
        in_flight.emplace(asleep[to], std::tuple(from, to, bytes));
      else
        at(to).bench.play(PeerMessage{static_cast<int>(from), bytes});
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (asleep[n] > now)
        continue;
      if (faults.restarts && random() % 4000 == 0)
        nodes[n] = std::make_unique<Node>(s, static_cast<int>(n), now);
      if (faults.stalls && random() % 4000 == 0)
        asleep[n] = now + 3000;
      if (n < faults.busy && random() % 1000 < faults.jobs && at(n).job())
        sent.emplace_back(now, kJob);
      for (const SendPeerMessage& message : at(n).messages())
        post(n, message);
    }
  }

  Node& at(std::size_t n) {
    nodes[n]->bench.now = now;
    return *nodes[n];
  }

  void post(std::size_t from, const SendPeerMessage& message) {
    ++messages;
    if (static_cast<int>(from) < faults.unheard_nodes || random() % 100 < faults.lost)
      return;
    for (unsigned copies = 1 + (random() % 100 < faults.doubled); copies > 0; --copies)
      in_flight.emplace(now + 1 + random() % static_cast<unsigned>(faults.most_delay),
                        std::tuple(from, static_cast<std::size_t>(message.peer), message.bytes));
  }

  double fullest() const {  // of what makes it fall over
    double most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
      double sum = 0;
      for (std::size_t i = first;
           i < sent.size() && sent[i].first <= sent[first].first + s.overload_window_ms; ++i)
        sum += sent[i].second;
      most = std::max(most, sum);
    }
    return most / (s.overload_multiple * s.overload_window_ms);
  }
  double used() const {
    return static_cast<double>(sent.size()) * kJob / 20000 * s.overload_window_ms /
           (s.overload_multiple * s.overload_window_ms);
  }

  Settings s;
  std::mt19937 random;
  Faults faults;
  Time now = 0;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Time> asleep;
  std::multimap<Time, std::tuple<std::size_t, std::size_t, std::string>> in_flight;
  std::vector<std::pair<Time, double>> sent;
  std::uint64_t messages = 0;
};

TEST(SlowStartLeases, TheSumHoldsWhateverTheNetworkAndTheNodesDo) {
  const std::map<const char*, Faults> kinds = {
      {"none", {}},
      {"a rush", {.jobs = 60}},
      {"lost", {.lost = 30, .doubled = 20, .most_delay = 400, .jobs = 60}},
      {"late", {.doubled = 50, .most_delay = 3000, .jobs = 60}},
      {"one mute", {.unheard_nodes = 1, .jobs = 60}},
      {"a third mute", {.unheard_nodes = 10, .jobs = 60}},
      {"all but one mute", {.unheard_nodes = 29, .jobs = 60}},
      {"stalls", {.lost = 10, .doubled = 30, .stalls = true, .jobs = 60}},
      {"restarts", {.lost = 10, .doubled = 30, .restarts = true, .jobs = 60}},
      {"everything",
       {.lost = 20,
        .doubled = 50,
        .most_delay = 1000,
        .unheard_nodes = 5,
        .restarts = true,
        .stalls = true,
        .jobs = 60}},
  };
  for (const auto& [name, faults] : kinds)
    for (unsigned seed : {1u, 2u, 3u}) {
      World world(30, seed, faults);
      EXPECT_LE(world.fullest(), kMargin + 1e-9) << name << ", seed " << seed;
      RecordProperty(std::string(name) + " " + std::to_string(seed),
                     std::to_string(world.fullest()) + " used " + std::to_string(world.used()));
    }
}

TEST(SlowStartLeases, GrantsMakePartsOfUseToThoseWhoHaveTheTraffic) {
  for (unsigned seed : {1u, 2u, 3u}) {
    World alone(30, seed, {.lost = 100, .jobs = 60, .busy = 6}),
        together(30, seed, {.jobs = 60, .busy = 6}),
        lossy(30, seed, {.lost = 30, .jobs = 60, .busy = 6});
    EXPECT_GT(together.used(), 1.5 * alone.used()) << "seed " << seed;
    EXPECT_GT(lossy.used(), 1.2 * alone.used()) << "seed " << seed;
    RecordProperty("seed " + std::to_string(seed), std::to_string(alone.used()) + " " +
                                                       std::to_string(together.used()) + " " +
                                                       std::to_string(lossy.used()));
  }
}

TEST(SlowStartLeases, PartsAddUpToOne) {
  for (int nodes : {1, 2, 3, 7, 8, 9, 100, 1000}) {
    double sum = 0;
    for (int place = 0; place < nodes; ++place)
      sum += fraction_at(place, nodes);
    EXPECT_NEAR(sum, 1, 1e-9) << nodes;
  }
}

// The owner and one that has no part, of many; nobody else is alive.
struct Pair {
  Pair() {
    is_alive.assign(20, false);
    order = order_at({kWarmingUp, 0, 0, 0, EndpointState::ready, 1, kStartedAt}, 20);
    is_alive[at(0)] = is_alive[at(10)] = true;
    owner.emplace(s, order[0], kStartedAt - 1, is_alive);
    borrower.emplace(s, order[10], kStartedAt - 1, is_alive);
  }
  std::size_t at(std::size_t place) const { return static_cast<std::size_t>(order[place]); }
  void to(Time now) { owner->bench.now = borrower->bench.now = now; }
  std::string ask() {  // the message, or none
    borrower->job();
    auto messages = borrower->messages();
    return messages.empty() ? std::string() : messages.back().bytes;
  }
  std::string grant(const std::string& ask) {
    owner->bench.play(PeerMessage{order[10], ask});
    auto messages = owner->messages();
    return messages.empty() ? std::string() : messages.back().bytes;
  }
  void receive(const std::string& grant) { borrower->bench.play(PeerMessage{order[0], grant}); }

  Settings s = many(20);
  std::vector<bool> is_alive;
  std::vector<int> order;
  std::optional<Node> owner, borrower;
};

TEST(SlowStartLeases, ALeaseEndsAtTheBorrowersClockBeforeTheOwnersAndIsUsedOnce) {
  Pair p;
  p.to(kStartedAt + 100);
  std::string ask = p.ask();
  ASSERT_FALSE(ask.empty());
  double before = p.owner->room().own;
  std::string grant = p.grant(ask);
  ASSERT_FALSE(grant.empty());
  double work = decode_slow_start_message(grant)->work_ms;
  EXPECT_DOUBLE_EQ(p.owner->room().own, before - work);
  EXPECT_TRUE(p.grant(ask).empty()) << "a doubled ask is not granted twice";
  p.receive(grant);
  EXPECT_DOUBLE_EQ(p.borrower->room().granted, work);
  EXPECT_TRUE(p.borrower->job());
  EXPECT_DOUBLE_EQ(p.borrower->room().granted, work - kJob);
  p.receive(grant);
  EXPECT_DOUBLE_EQ(p.borrower->room().granted, work - kJob) << "a doubled grant is nothing new";
  double lease_length_ms = p.borrower->bench.turns.lease_length_ms();
  p.to(kStartedAt + 100 + lease_length_ms);
  EXPECT_FALSE(p.borrower->job()) << "its end has come";
  p.to(kStartedAt + 100 + (1 + kMaxClockDrift) * lease_length_ms + p.s.overload_window_ms - 1);
  EXPECT_DOUBLE_EQ(p.owner->room().own, before - work)
      << "it may have been used up to its end, and fills the window from there";
  p.to(kStartedAt + 100 + (1 + kMaxClockDrift) * lease_length_ms + p.s.overload_window_ms + 1);
  EXPECT_DOUBLE_EQ(p.owner->room().own, before);
}

TEST(SlowStartLeases, AGrantThatArrivesLateBeginsNoLease) {
  Pair p;
  p.to(kStartedAt + 100);
  std::string ask = p.ask();
  p.to(kStartedAt + 100 + p.borrower->bench.turns.lease_length_ms());
  std::string grant =
      p.grant(ask);  // the request was on its way all the time; the owner cannot know
  ASSERT_FALSE(grant.empty());
  p.receive(grant);
  EXPECT_EQ(p.borrower->room().granted, 0);
  EXPECT_EQ(p.borrower->bench.turns.statistics().late, 1u);
}

TEST(SlowStartLeases, WhatIsNotUsedIsReturnedOnce) {
  Pair p;
  p.to(kStartedAt + 100);
  double before = p.owner->room().own;
  p.receive(p.grant(p.ask()));
  ASSERT_TRUE(p.borrower->job());
  double left = p.borrower->room().granted;
  ASSERT_GT(left, 0);
  p.to(kStartedAt + 100 + 0.9 * p.borrower->bench.turns.lease_length_ms());
  p.borrower->bench.play(ClientDisconnected{});  // any event
  auto messages = p.borrower->messages();
  ASSERT_EQ(messages.size(), 1u);
  for (int twice = 0; twice < 2; ++twice)
    p.owner->bench.play(PeerMessage{p.order[10], messages[0].bytes});
  EXPECT_DOUBLE_EQ(p.owner->room().own, before - kJob);
  EXPECT_EQ(p.borrower->room().granted, 0) << "what was given back is not used any more";
}

TEST(SlowStartLeases, ANewIncarnationWaitsOutWhatTheFormerOneMayHaveSentAndGranted) {
  Pair p;
  p.to(kStartedAt + 3000);
  p.owner.emplace(p.s, p.order[0], kStartedAt + 3000, p.is_alive);
  EXPECT_FALSE(p.owner->job());
  EXPECT_TRUE(p.grant(p.ask()).empty());
  double waits =
      p.s.overload_window_ms + (1 + kMaxClockDrift) * p.owner->bench.turns.lease_length_ms();
  p.to(kStartedAt + 3000 + waits - 1);
  EXPECT_FALSE(p.owner->job());
  p.to(kStartedAt + 3000 + waits + 1);
  p.owner->job();  // it is notified with it
  EXPECT_TRUE(p.owner->job());
  // Nobody can have sent anything to an endpoint that started later.
  Settings s = many(1);
  EXPECT_TRUE(Node(s, 0, kStartedAt - 1).job());
  EXPECT_FALSE(Node(s, 0, kStartedAt).job());
}

TEST(SlowStartLeases, ANewProcessWaitsOutTheOldOnesGrantsWherePeersAreAllowed) {
  for (bool peers_allowed : {true, false}) {
    Settings s = many(1);
    s.peers = peers_allowed;
    Node old_process(s, 0, kStartedAt - 1), new_process(s, 0, kStartedAt + 100);
    EXPECT_FALSE(new_process.job());
    // The old process may have granted until now.
    new_process.bench.now = kStartedAt + 2000;
    new_process.bench.play(old_process.bench.d.learned_state(kStartedAt + 2000));
    new_process.bench.now = kStartedAt + 2000 + s.overload_window_ms;
    new_process.job();
    EXPECT_EQ(new_process.job(), !peers_allowed);
    new_process.bench.now += (1 + kMaxClockDrift) * new_process.bench.turns.lease_length_ms() + 1;
    new_process.job();
    EXPECT_TRUE(new_process.job());
  }
}

TEST(SlowStartLeases, LeasesAreRequestedAtAReadyEndpointAndNotAtADrainingOne) {
  Pair p;
  for (auto [state, asks] :
       {std::pair(EndpointState::draining, false), std::pair(EndpointState::ready, true)}) {
    p.to(kStartedAt + (asks ? 300 : 100));
    EndpointList list;
    list.entries = {{kWarmingUp, 0, 0, 0, state, 1, kStartedAt}};
    p.borrower->bench.play(list);
    EXPECT_EQ(!p.ask().empty(), asks);
  }
}

TEST(SlowStartLeases, ForeignMessagesChangeNothing) {
  Pair p;
  p.to(kStartedAt + 100);
  std::string ask = p.ask();
  double before = p.owner->room().own;
  for (std::size_t size = 0; size < ask.size(); ++size)
    EXPECT_TRUE(p.grant(ask.substr(0, size)).empty());
  for (std::size_t i : {0u, 1u, 2u, 7u, 11u}) {  // type, version, kind, endpoint, its incarnation
    std::string other = ask;
    other[i] = static_cast<char>(other[i] ^ 0x55);
    EXPECT_TRUE(p.grant(other).empty()) << "byte " << i;
  }
  EXPECT_TRUE(p.grant(ask + "x").empty());
  EXPECT_DOUBLE_EQ(p.owner->room().own, before);
  p.receive(encode({SlowStartMessage::Kind::grant, kWarmingUp,
                    decode_slow_start_message(ask)->endpoint_incarnation,
                    decode_slow_start_message(ask)->requester_incarnation,
                    decode_slow_start_message(ask)->number + 1, 5000, 0}));
  EXPECT_EQ(p.borrower->room().granted, 0) << "nothing was asked with that number";
}

TEST(SlowStartLeases, WhereGrantsAreOffNobodyRequestsAndNobodyGrants) {
  Pair p;
  p.to(kStartedAt + 100);
  std::string ask = p.ask();
  p.owner->bench.turns.set_leasing_enabled(false);
  EXPECT_TRUE(p.grant(ask).empty());
  p.to(kStartedAt + 2000);
  p.borrower->bench.turns.set_leasing_enabled(false);
  EXPECT_TRUE(p.ask().empty());
}

TEST(SlowStartLeases, OwnersThatAreDeadOrUnresponsiveAreNotRequestedAgainAtOnce) {
  Settings s = many(20);
  auto order = order_at({kWarmingUp, 0, 0, 0, EndpointState::ready, 1, kStartedAt}, 20);
  std::vector<bool> is_alive(20, true);
  is_alive[static_cast<std::size_t>(order[0])] = false;
  Node borrower(s, order[10], kStartedAt - 1, is_alive);
  std::map<int, int> asked;
  for (Time t = 100; t < 900; t += 100) {
    borrower.bench.now = kStartedAt + t;
    borrower.job();
    for (const SendPeerMessage& message : borrower.messages())
      ++asked[message.peer];
  }
  EXPECT_EQ(asked.count(order[0]), 0u);
  EXPECT_EQ(asked.size(), 7u) << "each of the others in turn";
}

}  // namespace
}  // namespace keelflow::fleet
