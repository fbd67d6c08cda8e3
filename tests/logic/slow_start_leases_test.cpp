// SlowStartLeases: whatever the network and the nodes do, all together send a cold endpoint no more
// than its budget.
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

constexpr double kMargin = 0.62;  // of what makes it fall over, as src/decide.cpp has it

struct Faults {
  unsigned lost = 0, doubled = 0;  // of 100 words
  int most_delay = 20;             // ms
  int mute = 0;                    // so many nodes hear all and are heard by nobody
  bool restarts = false, stalls = false;
  unsigned jobs = 10;     // of 1000 steps of a node
  std::size_t busy = 30;  // nodes that have any
};

// Words come late, doubled, out of order or never; nodes stop for 3 s and find everything at once
// when they wake, or start again and know nothing.
struct World {
  World(int count, unsigned seed, const Faults& f) : s(many(count)), random(seed), faults(f) {
    for (int n = 0; n < count; ++n)
      nodes.push_back(std::make_unique<Node>(s, n, kBorn - 1));
    asleep.resize(nodes.size());
    for (now = kBorn; now < kBorn + 20000; now += 5)
      step();
  }

  void step() {
    for (; !coming.empty() && coming.begin()->first <= now; coming.erase(coming.begin())) {
      auto [from, to, bytes] = coming.begin()->second;
      if (asleep[to] > now)
        coming.emplace(asleep[to], std::tuple(from, to, bytes));
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
      for (const SendPeerMessage& word : at(n).words())
        post(n, word);
    }
  }

  Node& at(std::size_t n) {
    nodes[n]->bench.now = now;
    return *nodes[n];
  }

  void post(std::size_t from, const SendPeerMessage& word) {
    ++words;
    if (static_cast<int>(from) < faults.mute || random() % 100 < faults.lost)
      return;
    for (unsigned copies = 1 + (random() % 100 < faults.doubled); copies > 0; --copies)
      coming.emplace(now + 1 + random() % static_cast<unsigned>(faults.most_delay),
                     std::tuple(from, static_cast<std::size_t>(word.peer), word.bytes));
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
  std::multimap<Time, std::tuple<std::size_t, std::size_t, std::string>> coming;
  std::vector<std::pair<Time, double>> sent;
  std::uint64_t words = 0;
};

TEST(Turns, TheSumHoldsWhateverTheNetworkAndTheNodesDo) {
  const std::map<const char*, Faults> kinds = {
      {"none", {}},
      {"a rush", {.jobs = 60}},
      {"lost", {.lost = 30, .doubled = 20, .most_delay = 400, .jobs = 60}},
      {"late", {.doubled = 50, .most_delay = 3000, .jobs = 60}},
      {"one mute", {.mute = 1, .jobs = 60}},
      {"a third mute", {.mute = 10, .jobs = 60}},
      {"all but one mute", {.mute = 29, .jobs = 60}},
      {"stalls", {.lost = 10, .doubled = 30, .stalls = true, .jobs = 60}},
      {"restarts", {.lost = 10, .doubled = 30, .restarts = true, .jobs = 60}},
      {"everything",
       {.lost = 20,
        .doubled = 50,
        .most_delay = 1000,
        .mute = 5,
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

TEST(Turns, GrantsMakePartsOfUseToThoseWhoHaveTheTraffic) {
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

TEST(Turns, PartsAddUpToOne) {
  for (int nodes : {1, 2, 3, 7, 8, 9, 100, 1000}) {
    double sum = 0;
    for (int place = 0; place < nodes; ++place)
      sum += share_at(place, nodes);
    EXPECT_NEAR(sum, 1, 1e-9) << nodes;
  }
}

// The owner and one that has no part, of many; nobody else lives.
struct Pair {
  Pair() {
    lives.assign(20, false);
    order = order_at({kCold, 0, 0, 0, EndpointState::ready, 1, kBorn}, 20);
    lives[at(0)] = lives[at(10)] = true;
    owner.emplace(s, order[0], kBorn - 1, lives);
    asker.emplace(s, order[10], kBorn - 1, lives);
  }
  std::size_t at(std::size_t place) const { return static_cast<std::size_t>(order[place]); }
  void to(Time now) { owner->bench.now = asker->bench.now = now; }
  std::string ask() {  // the word, or none
    asker->job();
    auto words = asker->words();
    return words.empty() ? std::string() : words.back().bytes;
  }
  std::string grant(const std::string& ask) {
    owner->bench.play(PeerMessage{order[10], ask});
    auto words = owner->words();
    return words.empty() ? std::string() : words.back().bytes;
  }
  void hear(const std::string& grant) { asker->bench.play(PeerMessage{order[0], grant}); }

  Settings s = many(20);
  std::vector<bool> lives;
  std::vector<int> order;
  std::optional<Node> owner, asker;
};

TEST(Turns, AGrantEndsAtTheAskersClockBeforeTheOwnersAndIsUsedOnce) {
  Pair p;
  p.to(kBorn + 100);
  std::string ask = p.ask();
  ASSERT_FALSE(ask.empty());
  double before = p.owner->room().own;
  std::string grant = p.grant(ask);
  ASSERT_FALSE(grant.empty());
  double work = decode_slow_start_message(grant)->work;
  EXPECT_DOUBLE_EQ(p.owner->room().own, before - work);
  EXPECT_TRUE(p.grant(ask).empty()) << "a doubled ask is not granted twice";
  p.hear(grant);
  EXPECT_DOUBLE_EQ(p.asker->room().granted, work);
  EXPECT_TRUE(p.asker->job());
  EXPECT_DOUBLE_EQ(p.asker->room().granted, work - kJob);
  p.hear(grant);
  EXPECT_DOUBLE_EQ(p.asker->room().granted, work - kJob) << "a doubled grant is nothing new";
  double length = p.asker->bench.turns.length();
  p.to(kBorn + 100 + length);
  EXPECT_FALSE(p.asker->job()) << "its end has come";
  p.to(kBorn + 100 + (1 + kDrift) * length + p.s.overload_window_ms - 1);
  EXPECT_DOUBLE_EQ(p.owner->room().own, before - work)
      << "it may have been used up to its end, and fills the window from there";
  p.to(kBorn + 100 + (1 + kDrift) * length + p.s.overload_window_ms + 1);
  EXPECT_DOUBLE_EQ(p.owner->room().own, before);
}

TEST(Turns, AGrantThatComesLateIsNone) {
  Pair p;
  p.to(kBorn + 100);
  std::string ask = p.ask();
  p.to(kBorn + 100 + p.asker->bench.turns.length());
  std::string grant = p.grant(ask);  // the ask was on its way all the time; the owner cannot know
  ASSERT_FALSE(grant.empty());
  p.hear(grant);
  EXPECT_EQ(p.asker->room().granted, 0);
  EXPECT_EQ(p.asker->bench.turns.figures().late, 1u);
}

TEST(Turns, WhatIsNotUsedComesBackOnce) {
  Pair p;
  p.to(kBorn + 100);
  double before = p.owner->room().own;
  p.hear(p.grant(p.ask()));
  ASSERT_TRUE(p.asker->job());
  double left = p.asker->room().granted;
  ASSERT_GT(left, 0);
  p.to(kBorn + 100 + 0.9 * p.asker->bench.turns.length());
  p.asker->bench.play(ClientDisconnected{});  // any event
  auto words = p.asker->words();
  ASSERT_EQ(words.size(), 1u);
  for (int twice = 0; twice < 2; ++twice)
    p.owner->bench.play(PeerMessage{p.order[10], words[0].bytes});
  EXPECT_DOUBLE_EQ(p.owner->room().own, before - kJob);
  EXPECT_EQ(p.asker->room().granted, 0) << "what was given back is not used any more";
}

TEST(Turns, ANewLifeWaitsOutWhatTheFormerOneMayHaveSentAndGranted) {
  Pair p;
  p.to(kBorn + 3000);
  p.owner.emplace(p.s, p.order[0], kBorn + 3000, p.lives);
  EXPECT_FALSE(p.owner->job());
  EXPECT_TRUE(p.grant(p.ask()).empty());
  double waits = p.s.overload_window_ms + (1 + kDrift) * p.owner->bench.turns.length();
  p.to(kBorn + 3000 + waits - 1);
  EXPECT_FALSE(p.owner->job());
  p.to(kBorn + 3000 + waits + 1);
  p.owner->job();  // with it comes the news
  EXPECT_TRUE(p.owner->job());
  // Nobody can have sent anything to an endpoint that started later.
  Settings s = many(1);
  EXPECT_TRUE(Node(s, 0, kBorn - 1).job());
  EXPECT_FALSE(Node(s, 0, kBorn).job());
}

TEST(Turns, WhoTakesOverFromAnElderWaitsOutItsGrantsWhereNodesMayTalk) {
  for (bool talk : {true, false}) {
    Settings s = many(1);
    s.peers = talk;
    Node elder(s, 0, kBorn - 1), younger(s, 0, kBorn + 100);
    EXPECT_FALSE(younger.job());
    // The elder may have granted until now.
    younger.bench.now = kBorn + 2000;
    younger.bench.play(elder.bench.d.learned_state(kBorn + 2000));
    younger.bench.now = kBorn + 2000 + s.overload_window_ms;
    younger.job();
    EXPECT_EQ(younger.job(), !talk);
    younger.bench.now += (1 + kDrift) * younger.bench.turns.length() + 1;
    younger.job();
    EXPECT_TRUE(younger.job());
  }
}

TEST(Turns, AnExecutorThatBecomesReadyIsAskedForAndOneThatDrainsIsNot) {
  Pair p;
  for (auto [state, asks] :
       {std::pair(EndpointState::draining, false), std::pair(EndpointState::ready, true)}) {
    p.to(kBorn + (asks ? 300 : 100));
    EndpointList list;
    list.entries = {{kCold, 0, 0, 0, state, 1, kBorn}};
    p.asker->bench.play(list);
    EXPECT_EQ(!p.ask().empty(), asks);
  }
}

TEST(Turns, ForeignWordsChangeNothing) {
  Pair p;
  p.to(kBorn + 100);
  std::string ask = p.ask();
  double before = p.owner->room().own;
  for (std::size_t size = 0; size < ask.size(); ++size)
    EXPECT_TRUE(p.grant(ask.substr(0, size)).empty());
  for (std::size_t i : {0u, 1u, 2u, 7u, 11u}) {  // mark, version, kind, endpoint, its life
    std::string other = ask;
    other[i] = static_cast<char>(other[i] ^ 0x55);
    EXPECT_TRUE(p.grant(other).empty()) << "byte " << i;
  }
  EXPECT_TRUE(p.grant(ask + "x").empty());
  EXPECT_DOUBLE_EQ(p.owner->room().own, before);
  p.hear(encode({SlowStartMessage::Kind::grant, kCold, decode_slow_start_message(ask)->life,
                 decode_slow_start_message(ask)->asker, decode_slow_start_message(ask)->number + 1,
                 5000, 0}));
  EXPECT_EQ(p.asker->room().granted, 0) << "nothing was asked with that number";
}

TEST(Turns, WhereGrantsAreOffNobodyAsksAndNobodyGrants) {
  Pair p;
  p.to(kBorn + 100);
  std::string ask = p.ask();
  p.owner->bench.turns.grants(false);
  EXPECT_TRUE(p.grant(ask).empty());
  p.to(kBorn + 2000);
  p.asker->bench.turns.grants(false);
  EXPECT_TRUE(p.ask().empty());
}

TEST(Turns, OwnersThatAreDeadOrSilentAreNotAskedAgainAtOnce) {
  Settings s = many(20);
  auto order = order_at({kCold, 0, 0, 0, EndpointState::ready, 1, kBorn}, 20);
  std::vector<bool> lives(20, true);
  lives[static_cast<std::size_t>(order[0])] = false;
  Node asker(s, order[10], kBorn - 1, lives);
  std::map<int, int> asked;
  for (Time t = 100; t < 900; t += 100) {
    asker.bench.now = kBorn + t;
    asker.job();
    for (const SendPeerMessage& word : asker.words())
      ++asked[word.peer];
  }
  EXPECT_EQ(asked.count(order[0]), 0u);
  EXPECT_EQ(asked.size(), 7u) << "each of the others in turn";
}

}  // namespace
}  // namespace keelflow::fleet
