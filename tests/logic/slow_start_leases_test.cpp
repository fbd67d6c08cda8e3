/// Tests of SlowStartLeases: with any network and node faults, all dispatchers together send no
/// more than the budget to an endpoint that is warming up.
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

// Safe fraction of the work that overloads the endpoint; kBudgetMargin in scheduler/slow_start.cpp.
constexpr double kSafeFraction = 0.62;

/// Faults and load of a simulated fleet.
struct Faults {
  unsigned lost_percent = 0;
  unsigned duplicated_percent = 0;
  int max_delay_ms = 20;
  int muted_nodes = 0;  // nodes whose messages are all lost; they still receive messages
  bool restarts = false;
  bool stalls = false;
  unsigned jobs_per_1000_steps = 10;  // of each busy node
  std::size_t busy_nodes = 30;        // nodes that receive jobs
};

/// A simulated fleet. Messages may be late, duplicated, reordered or lost. Nodes may stall for 3 s
/// and then read all messages together, or restart without state.
struct SimulatedFleet {
  SimulatedFleet(int count, unsigned seed, const Faults& faults_of_run)
      : settings(fleet_settings(count)), random(seed), faults(faults_of_run) {
    for (int n = 0; n < count; ++n)
      nodes.push_back(std::make_unique<Node>(settings, n, kStartedAt - 1));
    stalled_until.resize(nodes.size());
    for (now = kStartedAt; now < kStartedAt + 20000; now += 5)
      step();
  }

  void step() {
    for (; !in_flight.empty() && in_flight.begin()->first <= now;
         in_flight.erase(in_flight.begin())) {
      auto [from, to, bytes] = in_flight.begin()->second;
      if (stalled_until[to] > now)
        in_flight.emplace(stalled_until[to], std::tuple(from, to, bytes));
      else
        at(to).harness.handle(PeerMessage{static_cast<int>(from), bytes});
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (stalled_until[n] > now)
        continue;
      if (faults.restarts && random() % 4000 == 0)
        nodes[n] = std::make_unique<Node>(settings, static_cast<int>(n), now);
      if (faults.stalls && random() % 4000 == 0)
        stalled_until[n] = now + 3000;
      if (n < faults.busy_nodes && random() % 1000 < faults.jobs_per_1000_steps && at(n).play_job())
        sent.emplace_back(now, kJobMs);
      for (const SendPeerMessage& message : at(n).messages())
        post(n, message);
    }
  }

  Node& at(std::size_t n) {
    nodes[n]->harness.now = now;
    return *nodes[n];
  }

  void post(std::size_t from, const SendPeerMessage& message) {
    ++messages;
    if (static_cast<int>(from) < faults.muted_nodes || random() % 100 < faults.lost_percent)
      return;
    for (unsigned copies = 1 + (random() % 100 < faults.duplicated_percent); copies > 0; --copies)
      in_flight.emplace(now + 1 + random() % static_cast<unsigned>(faults.max_delay_ms),
                        std::tuple(from, static_cast<std::size_t>(message.peer), message.bytes));
  }

  // The most work sent within any window, as a fraction of the work that overloads the endpoint.
  double max_window_fraction() const {
    double most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
      double sum = 0;
      for (std::size_t i = first;
           i < sent.size() && sent[i].first <= sent[first].first + settings.overload_window_ms; ++i)
        sum += sent[i].second;
      most = std::max(most, sum);
    }
    return most / (settings.overload_multiple * settings.overload_window_ms);
  }
  // The mean work sent per window, as a fraction of the work that overloads the endpoint.
  double mean_window_fraction() const {
    return static_cast<double>(sent.size()) * kJobMs / 20000 * settings.overload_window_ms /
           (settings.overload_multiple * settings.overload_window_ms);
  }

  Settings settings;
  std::mt19937 random;
  Faults faults;
  Time now = 0;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Time> stalled_until;
  std::multimap<Time, std::tuple<std::size_t, std::size_t, std::string>> in_flight;
  std::vector<std::pair<Time, double>> sent;
  std::uint64_t messages = 0;
};

TEST(SlowStartLeases, NeverExceedsTheBudgetUnderNetworkAndNodeFaults) {
  const std::map<const char*, Faults> kinds = {
      {"none", {}},
      {"a rush", {.jobs_per_1000_steps = 60}},
      {"lost",
       {.lost_percent = 30,
        .duplicated_percent = 20,
        .max_delay_ms = 400,
        .jobs_per_1000_steps = 60}},
      {"late", {.duplicated_percent = 50, .max_delay_ms = 3000, .jobs_per_1000_steps = 60}},
      {"one mute", {.muted_nodes = 1, .jobs_per_1000_steps = 60}},
      {"a third mute", {.muted_nodes = 10, .jobs_per_1000_steps = 60}},
      {"all but one mute", {.muted_nodes = 29, .jobs_per_1000_steps = 60}},
      {"stalls",
       {.lost_percent = 10, .duplicated_percent = 30, .stalls = true, .jobs_per_1000_steps = 60}},
      {"restarts",
       {.lost_percent = 10, .duplicated_percent = 30, .restarts = true, .jobs_per_1000_steps = 60}},
      {"everything",
       {.lost_percent = 20,
        .duplicated_percent = 50,
        .max_delay_ms = 1000,
        .muted_nodes = 5,
        .restarts = true,
        .stalls = true,
        .jobs_per_1000_steps = 60}},
  };
  for (const auto& [name, faults] : kinds)
    for (unsigned seed : {1u, 2u, 3u}) {
      SimulatedFleet fleet(30, seed, faults);
      EXPECT_LE(fleet.max_window_fraction(), kSafeFraction + 1e-9) << name << ", seed " << seed;
      RecordProperty(std::string(name) + " " + std::to_string(seed),
                     std::to_string(fleet.max_window_fraction()) + " used " +
                         std::to_string(fleet.mean_window_fraction()));
    }
}

TEST(SlowStartLeases, LeasesLetBusyNodesUsePartsOfIdleOwners) {
  for (unsigned seed : {1u, 2u, 3u}) {
    SimulatedFleet alone(30, seed,
                         {.lost_percent = 100, .jobs_per_1000_steps = 60, .busy_nodes = 6});
    SimulatedFleet together(30, seed, {.jobs_per_1000_steps = 60, .busy_nodes = 6});
    SimulatedFleet lossy(30, seed,
                         {.lost_percent = 30, .jobs_per_1000_steps = 60, .busy_nodes = 6});
    EXPECT_GT(together.mean_window_fraction(), 1.5 * alone.mean_window_fraction())
        << "seed " << seed;
    EXPECT_GT(lossy.mean_window_fraction(), 1.2 * alone.mean_window_fraction()) << "seed " << seed;
    RecordProperty("seed " + std::to_string(seed),
                   std::to_string(alone.mean_window_fraction()) + " " +
                       std::to_string(together.mean_window_fraction()) + " " +
                       std::to_string(lossy.mean_window_fraction()));
  }
}

TEST(SlowStartLeases, FractionsOfAllDispatchersAddUpToOne) {
  for (int nodes : {1, 2, 3, 7, 8, 9, 100, 1000}) {
    double sum = 0;
    for (int place = 0; place < nodes; ++place)
      sum += fraction_at(place, nodes);
    EXPECT_NEAR(sum, 1, 1e-9) << nodes;
  }
}

/// An owner and a borrower without a part of the slow-start budget, in a fleet of 20 in which no
/// other node is alive.
struct OwnerAndBorrower {
  OwnerAndBorrower() {
    is_alive.assign(20, false);
    order = order_at({kWarmingEndpoint, 0, 0, 0, EndpointState::ready, 1, kStartedAt}, 20);
    is_alive[at(0)] = is_alive[at(10)] = true;
    owner.emplace(settings, order[0], kStartedAt - 1, is_alive);
    borrower.emplace(settings, order[10], kStartedAt - 1, is_alive);
  }
  std::size_t at(std::size_t place) const { return static_cast<std::size_t>(order[place]); }
  void set_time(Time now) { owner->harness.now = borrower->harness.now = now; }
  // Returns the lease request that a job causes, or an empty string.
  std::string request() {
    borrower->play_job();
    auto messages = borrower->messages();
    return messages.empty() ? std::string() : messages.back().bytes;
  }
  // Returns the grant for a request, or an empty string.
  std::string grant(const std::string& request) {
    owner->harness.handle(PeerMessage{order[10], request});
    auto messages = owner->messages();
    return messages.empty() ? std::string() : messages.back().bytes;
  }
  void receive(const std::string& grant) { borrower->harness.handle(PeerMessage{order[0], grant}); }

  Settings settings = fleet_settings(20);
  std::vector<bool> is_alive;
  std::vector<int> order;
  std::optional<Node> owner;
  std::optional<Node> borrower;
};

TEST(SlowStartLeases, ALeaseEndsAtTheBorrowerBeforeTheOwnerAndIsUsedOnce) {
  OwnerAndBorrower pair;
  pair.set_time(kStartedAt + 100);
  std::string request = pair.request();
  ASSERT_FALSE(request.empty());
  double before = pair.owner->budget().own;
  std::string grant = pair.grant(request);
  ASSERT_FALSE(grant.empty());
  double work = decode_slow_start_message(grant)->work_ms;
  EXPECT_DOUBLE_EQ(pair.owner->budget().own, before - work);
  EXPECT_TRUE(pair.grant(request).empty()) << "a duplicated request is not granted twice";
  pair.receive(grant);
  EXPECT_DOUBLE_EQ(pair.borrower->budget().granted, work);
  EXPECT_TRUE(pair.borrower->play_job());
  EXPECT_DOUBLE_EQ(pair.borrower->budget().granted, work - kJobMs);
  pair.receive(grant);
  EXPECT_DOUBLE_EQ(pair.borrower->budget().granted, work - kJobMs)
      << "a duplicated grant has no effect";
  double lease_length_ms = pair.borrower->harness.slow_start_leases.lease_length_ms();
  pair.set_time(kStartedAt + 100 + lease_length_ms);
  EXPECT_FALSE(pair.borrower->play_job()) << "the lease has ended";
  pair.set_time(kStartedAt + 100 + (1 + kMaxClockDrift) * lease_length_ms +
                pair.settings.overload_window_ms - 1);
  EXPECT_DOUBLE_EQ(pair.owner->budget().own, before - work)
      << "the lease may have been used until its end, and counts for one window from there";
  pair.set_time(kStartedAt + 100 + (1 + kMaxClockDrift) * lease_length_ms +
                pair.settings.overload_window_ms + 1);
  EXPECT_DOUBLE_EQ(pair.owner->budget().own, before);
}

TEST(SlowStartLeases, AGrantThatArrivesLateBeginsNoLease) {
  OwnerAndBorrower pair;
  pair.set_time(kStartedAt + 100);
  std::string request = pair.request();
  pair.set_time(kStartedAt + 100 + pair.borrower->harness.slow_start_leases.lease_length_ms());
  // The request was in flight all that time; the owner cannot detect that.
  std::string grant = pair.grant(request);
  ASSERT_FALSE(grant.empty());
  pair.receive(grant);
  EXPECT_EQ(pair.borrower->budget().granted, 0);
  EXPECT_EQ(pair.borrower->harness.slow_start_leases.statistics().late, 1u);
}

TEST(SlowStartLeases, TheUnusedRestIsReturnedOnce) {
  OwnerAndBorrower pair;
  pair.set_time(kStartedAt + 100);
  double before = pair.owner->budget().own;
  pair.receive(pair.grant(pair.request()));
  ASSERT_TRUE(pair.borrower->play_job());
  double left = pair.borrower->budget().granted;
  ASSERT_GT(left, 0);
  pair.set_time(kStartedAt + 100 +
                0.9 * pair.borrower->harness.slow_start_leases.lease_length_ms());
  pair.borrower->harness.handle(ClientDisconnected{});  // any event
  auto messages = pair.borrower->messages();
  ASSERT_EQ(messages.size(), 1u);
  for (int copy = 0; copy < 2; ++copy)
    pair.owner->harness.handle(PeerMessage{pair.order[10], messages[0].bytes});
  EXPECT_DOUBLE_EQ(pair.owner->budget().own, before - kJobMs);
  EXPECT_EQ(pair.borrower->budget().granted, 0) << "returned work is no longer available";
}

TEST(SlowStartLeases, ANewIncarnationWaitsUntilEarlierSendsAndGrantsAreOutOfTheWindow) {
  OwnerAndBorrower pair;
  pair.set_time(kStartedAt + 3000);
  pair.owner.emplace(pair.settings, pair.order[0], kStartedAt + 3000, pair.is_alive);
  EXPECT_FALSE(pair.owner->play_job());
  EXPECT_TRUE(pair.grant(pair.request()).empty());
  double wait_ms = pair.settings.overload_window_ms +
                   (1 + kMaxClockDrift) * pair.owner->harness.slow_start_leases.lease_length_ms();
  pair.set_time(kStartedAt + 3000 + wait_ms - 1);
  EXPECT_FALSE(pair.owner->play_job());
  pair.set_time(kStartedAt + 3000 + wait_ms + 1);
  pair.owner->play_job();  // this event notifies the Dispatcher of its part
  EXPECT_TRUE(pair.owner->play_job());
  // No earlier incarnation can have sent anything to an endpoint that started after this process.
  Settings settings = fleet_settings(1);
  EXPECT_TRUE(Node(settings, 0, kStartedAt - 1).play_job());
  EXPECT_FALSE(Node(settings, 0, kStartedAt).play_job());
}

TEST(SlowStartLeases, ANewProcessWaitsForTheOldProcessesGrantsWherePeersAreAllowed) {
  for (bool peers_allowed : {true, false}) {
    Settings settings = fleet_settings(1);
    settings.peers = peers_allowed;
    Node old_process(settings, 0, kStartedAt - 1);
    Node new_process(settings, 0, kStartedAt + 100);
    EXPECT_FALSE(new_process.play_job());
    // The old process may have granted until now.
    new_process.harness.now = kStartedAt + 2000;
    new_process.harness.handle(old_process.harness.dispatcher.learned_state(kStartedAt + 2000));
    new_process.harness.now = kStartedAt + 2000 + settings.overload_window_ms;
    new_process.play_job();
    EXPECT_EQ(new_process.play_job(), !peers_allowed);
    new_process.harness.now +=
        (1 + kMaxClockDrift) * new_process.harness.slow_start_leases.lease_length_ms() + 1;
    new_process.play_job();
    EXPECT_TRUE(new_process.play_job());
  }
}

TEST(SlowStartLeases, RequestsLeasesAtReadyEndpointsOnly) {
  OwnerAndBorrower pair;
  for (auto [state, is_requested] :
       {std::pair(EndpointState::draining, false), std::pair(EndpointState::ready, true)}) {
    pair.set_time(kStartedAt + (is_requested ? 300 : 100));
    EndpointList list;
    list.entries = {{kWarmingEndpoint, 0, 0, 0, state, 1, kStartedAt}};
    pair.borrower->harness.handle(list);
    EXPECT_EQ(!pair.request().empty(), is_requested);
  }
}

TEST(SlowStartLeases, MalformedOrUnrelatedMessagesChangeNothing) {
  OwnerAndBorrower pair;
  pair.set_time(kStartedAt + 100);
  std::string request = pair.request();
  double before = pair.owner->budget().own;
  for (std::size_t size = 0; size < request.size(); ++size)
    EXPECT_TRUE(pair.grant(request.substr(0, size)).empty());
  for (std::size_t i : {0u, 1u, 2u, 7u, 11u}) {  // type, version, kind, endpoint, its incarnation
    std::string altered = request;
    altered[i] = static_cast<char>(altered[i] ^ 0x55);
    EXPECT_TRUE(pair.grant(altered).empty()) << "byte " << i;
  }
  EXPECT_TRUE(pair.grant(request + "x").empty());
  EXPECT_DOUBLE_EQ(pair.owner->budget().own, before);
  pair.receive(encode({SlowStartMessage::Kind::grant, kWarmingEndpoint,
                       decode_slow_start_message(request)->endpoint_incarnation,
                       decode_slow_start_message(request)->requester_incarnation,
                       decode_slow_start_message(request)->number + 1, 5000, 0}));
  EXPECT_EQ(pair.borrower->budget().granted, 0) << "no request had that number";
}

TEST(SlowStartLeases, RequestsAndGrantsNothingWhileLeasingIsDisabled) {
  OwnerAndBorrower pair;
  pair.set_time(kStartedAt + 100);
  std::string request = pair.request();
  pair.owner->harness.slow_start_leases.set_leasing_enabled(false);
  EXPECT_TRUE(pair.grant(request).empty());
  pair.set_time(kStartedAt + 2000);
  pair.borrower->harness.slow_start_leases.set_leasing_enabled(false);
  EXPECT_TRUE(pair.request().empty());
}

TEST(SlowStartLeases, DoesNotRequestDeadOwnersAndDelaysUnresponsiveOnes) {
  Settings settings = fleet_settings(20);
  auto order = order_at({kWarmingEndpoint, 0, 0, 0, EndpointState::ready, 1, kStartedAt}, 20);
  std::vector<bool> is_alive(20, true);
  is_alive[static_cast<std::size_t>(order[0])] = false;
  Node borrower(settings, order[10], kStartedAt - 1, is_alive);
  std::map<int, int> requests_by_owner;
  for (Time t = 100; t < 900; t += 100) {
    borrower.harness.now = kStartedAt + t;
    borrower.play_job();
    for (const SendPeerMessage& message : borrower.messages())
      ++requests_by_owner[message.peer];
  }
  EXPECT_EQ(requests_by_owner.count(order[0]), 0u);
  EXPECT_EQ(requests_by_owner.size(), 7u) << "one request cycle reaches each other owner";
}

}  // namespace
}  // namespace keelflow::fleet
