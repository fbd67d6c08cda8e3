/// Tests that 100 dispatchers together stay within the slow start budget of an endpoint, both when
/// they notify their peers and when their messages are lost.
#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "dispatcher_harness.h"
#include "sent_work.h"

namespace keelflow::scheduler {
namespace {

constexpr EndpointId kEndpoints = 60;
constexpr EndpointId kWarmingUp = 36;  // endpoints 0 to 35, all started at the same time
constexpr int kDispatchers = 100;
constexpr Time kStartedAt = 5000;
constexpr Time kStepMs = 5;
constexpr double kRuntimeFactor =
    2.5;  // the latency objective is 500 ms plus this multiple of the hint

/// Parameters of a simulated fleet.
struct FleetOptions {
  unsigned seed = 1;
  bool notifies_peers = false;
  unsigned lost_percent = 0;  ///< percentage of all messages
  std::size_t nodes_with_lost_messages =
      0;                        ///< the messages of this number of first nodes are lost
  unsigned arrival_steps = 67;  ///< mean number of steps between arrivals at a node
};

/// The arrival time and cost hint of a client request.
struct ClientRequest {
  Time arrived_at = 0;
  double hint = 0;
};

/// A simulated fleet of 100 dispatchers with three requests per second each, and 60 endpoints with
/// two cores and a FIFO queue, 36 of them started at the same time. One request in ten is eight
/// times as large as the others. Messages take 2 to 21 ms. The constructor runs the simulation.
class LargeFleet {
 public:
  explicit LargeFleet(const FleetOptions& options) : options_(options), random_(options.seed) {
    settings_.dispatchers = kDispatchers;
    settings_.concurrent_attempts = false;
    settings_.classes[0].objective_runtime_factor = kRuntimeFactor;
    settings_.peers = options.notifies_peers;
    start_nodes();
    for (Time now = kStartedAt; now < kStartedAt + settings_.slow_start_ms; now += kStepMs) {
      play_events_until(now);
      for (std::size_t rank = 0; rank < nodes_.size(); ++rank)
        step(rank, now);
    }
    nodes_.clear();
  }

  double max_budget_fraction() const {
    return max_window_fraction(settings_, warming_up_,
                               [&](Time when) { return 2 * capacity_fraction(when); });
  }
  double fraction_in_time() const { return 1.0 * in_time_count_ / arrived_; }
  // The mean work of endpoints that are warming up, relative to the others. Their mean capacity is
  // 0.6 of that of the others.
  double relative_use_of_warming_up() const {
    return mean(warming_up_, kWarmingUp) / mean(warmed_up_, kEndpoints - kWarmingUp);
  }

 private:
  void start_nodes() {
    EndpointList list;
    for (EndpointId id = 0; id < kEndpoints; ++id)
      list.entries.push_back(
          {.endpoint = id, .nominal_capacity = 2, .started_at = id < kWarmingUp ? kStartedAt : 0});
    for (settings_.rank = 0; settings_.rank < settings_.dispatchers; ++settings_.rank) {
      nodes_.push_back(std::make_unique<DispatcherHarness>(settings_, random_()));
      nodes_.back()->now = kStartedAt;
      nodes_.back()->handle(list);
    }
  }

  void play_events_until(Time now) {
    while (!pending_events_.empty() && pending_events_.begin()->first <= now) {
      pending_events_.begin()->second();
      pending_events_.erase(pending_events_.begin());
    }
  }

  void step(std::size_t rank, Time now) {
    DispatcherHarness& node = *nodes_[rank];
    node.advance(now);
    if (random_() % options_.arrival_steps == 0)
      arrive(node, now);
    for (const SendAttempt& send : std::exchange(node.sends, {}))
      run(node, send, now);
    for (SendPeerMessage& message : std::exchange(node.peer_messages, {}))
      deliver(rank, message, now);
  }

  void arrive(DispatcherHarness& node, Time now) {
    RequestId id = static_cast<RequestId>(++arrived_);
    double hint = random_() % 10 == 0 ? 1600 : 200;
    requests_[id] = {now, hint};
    node.arrive(id, hint);
  }

  void deliver(std::size_t rank, SendPeerMessage& message, Time now) {
    if (rank < options_.nodes_with_lost_messages || random_() % 100 < options_.lost_percent)
      return;
    DispatcherHarness& receiver = *nodes_[static_cast<std::size_t>(message.peer)];
    PeerMessage received{static_cast<int>(rank), std::move(message.bytes)};
    pending_events_.emplace(now + 2 + random_() % 20,
                            [&receiver, received] { receiver.handle(received); });
  }

  void run(DispatcherHarness& node, const SendAttempt& send, Time now) {
    const ClientRequest request = requests_[send.request];
    const bool is_warming_up = send.endpoint < kWarmingUp;
    (is_warming_up ? warming_up_ : warmed_up_)[send.endpoint].push_back({now, request.hint});
    auto& cores = free_at_[send.endpoint];
    Time& core = *std::min_element(cores.begin(), cores.end());
    const Time start = std::max(core, now);
    const Time end = start + request.hint / (is_warming_up ? capacity_fraction(start) : 1);
    core = end;
    pending_events_.emplace(start + 1, [&node, id = send.request] {
      node.handle(AttemptStarted{id, 0});
    });
    pending_events_.emplace(end + 1, [this, &node, id = send.request, request, end] {
      node.outcome(id, 0, AttemptResult::ok, true);
      in_time_count_ += end - request.arrived_at < 500 + kRuntimeFactor * request.hint;
    });
  }

  double capacity_fraction(Time when) const {
    const double least = settings_.slow_start_initial_fraction;
    return std::min(1.0, least + (1 - least) * (when - kStartedAt) / settings_.slow_start_ms);
  }

  static double mean(const SentWorkByEndpoint& sends, EndpointId endpoints) {
    double sum = 0;
    for (const auto& [endpoint, all] : sends)
      for (const SentWork& attempt : all)
        sum += attempt.work_ms;
    return sum / endpoints;
  }

  FleetOptions options_;
  std::mt19937 random_;
  Settings settings_ = basic_settings();
  std::vector<std::unique_ptr<DispatcherHarness>> nodes_;
  SentWorkByEndpoint warming_up_;
  SentWorkByEndpoint warmed_up_;
  std::map<EndpointId, std::array<Time, 2>> free_at_;  // when each core becomes free
  std::map<RequestId, ClientRequest> requests_;
  std::multimap<Time, std::function<void()>> pending_events_;
  int in_time_count_ = 0;
  int arrived_ = 0;
};

TEST(SlowStartBudget, AHundredDispatchersUseWarmingUpEndpointsWithinTheirBudget) {
  for (unsigned seed : {1u, 2u, 3u}) {
    LargeFleet silent({.seed = seed});
    LargeFleet notifying({.seed = seed, .notifies_peers = true});
    LargeFleet cut_off({.seed = seed, .notifies_peers = true, .lost_percent = 100});
    LargeFleet lossy({.seed = seed, .notifies_peers = true, .lost_percent = 20});
    // Dispatchers receive 0.62 of the overload threshold in total, and a request counts as at least
    // nine tenths of its hint, so the maximum is 0.69.
    for (const LargeFleet* fleet : {&silent, &notifying, &cut_off, &lossy})
      EXPECT_LE(fleet->max_budget_fraction(), 0.70) << "seed " << seed;
    // Fails if a dispatcher's share depends on received messages: the use was 0.18 then.
    EXPECT_GT(silent.relative_use_of_warming_up(), 0.25) << "seed " << seed;
    EXPECT_GT(notifying.relative_use_of_warming_up(), 0.35) << "seed " << seed;
    EXPECT_GT(lossy.relative_use_of_warming_up(), 0.31) << "seed " << seed;
    EXPECT_GT(notifying.fraction_in_time(), silent.fraction_in_time() + 0.12) << "seed " << seed;
  }
}

// Twice the usual traffic, with the messages of 90 nodes lost. Fails if a dispatcher's share
// depends on received messages: the fraction was 0.98 then.
TEST(SlowStartBudget, StaysWithinTheBudgetAtDoubleTrafficWithMessagesOfNinetyNodesLost) {
  LargeFleet fleet(
      {.seed = 3, .notifies_peers = true, .nodes_with_lost_messages = 90, .arrival_steps = 30});
  EXPECT_LE(fleet.max_budget_fraction(), 0.70);
}

}  // namespace
}  // namespace keelflow::scheduler
