/// Compares the decisions of membership, routing and discovery in random call sequences with
/// recordings.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "discovery/call_schedule.h"
#include "discovery/list_lease.h"
#include "fleet/membership.h"
#include "fleet/subsets.h"
#include "recording.h"
#include "routes/router.h"

namespace keelflow::replay {
namespace {

std::string text_of(discovery::TimePoint when) {
  return std::to_string(when.time_since_epoch().count());
}
std::string text_of(const std::optional<discovery::TimePoint>& when) {
  return when ? text_of(*when) : std::string("never");
}

/// A simulated network of members that loses, delays and duplicates datagrams while members stop,
/// stall and restart.
class MembershipScenario {
 public:
  MembershipScenario(int members, std::uint64_t seed, Recording& recording)
      : rng_(seed), recording_(recording) {
    nodes_.resize(static_cast<std::size_t>(members));
    for (int i = 0; i < members; ++i)
      start(i);
  }

  void run_to_end() {
    for (now_ = kStartMs; now_ < kStartMs + 12000; now_ += 5) {
      deliver();
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        run(i);
      if (rng_.chance(0.01))
        inject_fault();
    }
    for (const Node& node : nodes_)
      describe(node);
  }

 private:
  static constexpr double kStartMs = 1000000;
  struct Node {
    std::unique_ptr<fleet::Membership> membership;  // null while the member is not running
    double stalled_until = 0;
  };
  struct Datagram {
    std::size_t to = 0;
    int from = 0;
    std::string bytes;
  };

  void start(int i) {
    fleet::Membership::Settings settings{.members = static_cast<int>(nodes_.size()), .self = i};
    auto incarnation = static_cast<std::uint32_t>(now_ / 1000);
    nodes_[static_cast<std::size_t>(i)].membership =
        std::make_unique<fleet::Membership>(settings, now_, incarnation);
  }

  void deliver() {
    while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
      Datagram datagram = in_transit_.begin()->second;
      in_transit_.erase(in_transit_.begin());
      Node& node = nodes_[datagram.to];
      if (!node.membership || now_ < node.stalled_until)
        continue;
      fleet::Membership::Output out;
      bool is_known = node.membership->on_datagram(now_, datagram.from, datagram.bytes, out);
      recording_.line("heard " + std::to_string(datagram.to) + " " + std::to_string(is_known));
      record_and_send(datagram.to, out);
    }
  }

  void run(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.membership || now_ < node.stalled_until || now_ < node.membership->next())
      return;
    fleet::Membership::Output out;
    node.membership->tick(now_, out);
    record_and_send(i, out);
    recording_.line("next " + std::to_string(i) + " " + replay::text_of(node.membership->next()));
  }

  void record_and_send(std::size_t from, const fleet::Membership::Output& out) {
    for (const auto& change : out.changes)
      recording_.line("change " + std::to_string(from) + " " + std::to_string(change.member) + " " +
                      std::to_string(static_cast<int>(change.from)) + " " +
                      std::to_string(static_cast<int>(change.to)) + " " +
                      std::to_string(change.incarnation));
    for (const auto& message : out.messages) {
      recording_.line("letter " + std::to_string(from) + " " + std::to_string(message.to) + " " +
                      hex_of(message.bytes));
      int copies = rng_.chance(0.1) ? 0 : rng_.chance(0.05) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy)
        in_transit_.emplace(
            now_ + rng_.between(1, rng_.chance(0.05) ? 300 : 12),
            Datagram{static_cast<std::size_t>(message.to), static_cast<int>(from), message.bytes});
    }
  }

  void inject_fault() {
    int i = rng_.below(static_cast<int>(nodes_.size()));
    Node& node = nodes_[static_cast<std::size_t>(i)];
    if (!node.membership)
      return start(i);
    switch (rng_.below(3)) {
      case 0:
        node.membership.reset();
        return;
      case 1:
        node.stalled_until = now_ + rng_.between(100, 3000);
        return;
      default:
        fleet::Membership::Output out;
        node.membership->leave(now_, out);
        record_and_send(static_cast<std::size_t>(i), out);
        node.membership.reset();
    }
  }

  void describe(const Node& node) {
    if (!node.membership)
      return recording_.line("none");
    std::string line = "living " + std::to_string(node.membership->alive_count()) + " health " +
                       std::to_string(node.membership->health());
    for (int m = 0; m < node.membership->members(); ++m)
      line += " " + std::to_string(static_cast<int>(node.membership->at(m).state));
    recording_.line(line);
  }

  Rng rng_;
  Recording& recording_;
  double now_ = kStartMs;
  std::vector<Node> nodes_;
  std::multimap<double, Datagram> in_transit_;
};

TEST(RecordedLogic, MembershipMatchesTheRecording) {
  for (int members : {3, 12, 40}) {
    Recording recording("membership-" + std::to_string(members));
    MembershipScenario(members, static_cast<std::uint64_t>(members), recording).run_to_end();
    expect_recorded(recording);
  }
}

TEST(RecordedLogic, SubsetsMatchTheRecording) {
  Recording recording("subsets");
  Rng rng(31);
  for (int i = 0; i < 60; ++i) {
    std::vector<scheduler::EndpointId> endpoints;
    for (int e = 1 + rng.below(120); e > 0; --e)
      endpoints.push_back(static_cast<scheduler::EndpointId>(rng.bits()));
    std::vector<int> dispatchers;
    for (int d = 0, all = 1 + rng.below(60); d < all; ++d)
      if (rng.chance(0.9))
        dispatchers.push_back(d);
    int each = 1 + rng.below(12);
    for (const auto& at : fleet::subsets(endpoints, dispatchers, each)) {
      std::string line = "at";
      for (int d : at)
        line += " " + std::to_string(d);
      recording.line(line);
    }
  }
  expect_recorded(recording);
}

/// A Router whose endpoint lists, weights and pools change between requests.
class RouterScenario {
 public:
  RouterScenario(std::uint64_t seed, Recording& recording)
      : rng_(seed), recording_(recording), router_(spec(), names(), classes(), {6000, 1500}, 64) {}

  void run_to_end() {
    for (int step = 0; step < 3000; ++step) {
      now_ += rng_.between(0, 20);
      if (auto due = router_.next_due(); due && *due <= now_)
        write(router_.due(now_));
      switch (rng_.below(20)) {
        case 0:
          split();
          break;
        case 1:
          router_.shift(0, 0, 1, rng_.unit());
          break;
        case 2:
          if (rng_.chance(0.1))
            replace();
          break;
        default:
          choose();
      }
    }
    recording_.line("forgotten " + std::to_string(router_.keys_forgotten()) + " " +
                    std::to_string(router_.unassigned()));
  }

 private:
  routes::Spec spec() {
    routes::Spec spec;
    spec.pools = {{"new", {}, {}, {"host1", "host2"}, {}},
                  {"old", {"east", "west"}, {}, {}, {}},
                  {"slow", {}, {"slow"}, {}, {1, 2}}};
    if (rng_.chance(0.5))
      spec.pools.push_back({"spare", {}, {}, {}, {}});
    routes::RouteSpec first{
        "sales",         {"sale"}, {}, {"/sale"}, {{"new", rng_.unit() + 0.1}, {"old", 1}},
        rng_.chance(0.5)};
    routes::RouteSpec last{"all", {}, {}, {}, {{"old", 1}, {"new", rng_.unit()}, {"slow", 0.5}},
                           false};
    spec.routes = {first, last};
    return spec;
  }
  static routes::NameLists names() {
    return {{"price", "hold", "sale"}, {"river", "main"}, {"east", "west"}, {"fast", "slow"}};
  }
  static std::vector<scheduler::ClassSettings> classes() {
    std::vector<scheduler::ClassSettings> out(3);
    out[1].idempotency = scheduler::Idempotency::idempotent_with_key;
    out[1].deduplication_window_ms = 5000;
    out[2].idempotency = scheduler::Idempotency::non_idempotent;
    return out;
  }

  void split() {
    scheduler::EndpointList list;
    list.scope = rng_.chance(0.3) ? scheduler::ListScope::full : scheduler::ListScope::delta;
    for (int i = 0; i < 20; ++i)
      if (rng_.chance(list.scope == scheduler::ListScope::full ? 0.8 : 0.1))
        list.entries.push_back({static_cast<scheduler::EndpointId>(i), i % 2, i % 3 == 0, i / 4,
                                static_cast<scheduler::EndpointState>(rng_.below(3)), 1.0 + i % 3,
                                rng_.chance(0.3) ? now_ - rng_.between(0, 8000) : 0});
    hosts_.clear();
    for (int i = 0; i < 20; ++i)
      hosts_.push_back("host" + std::to_string(i));
    write(router_.split(
        list, [this](scheduler::EndpointId id) { return std::string_view(hosts_[id]); }, now_));
  }

  void replace() {
    auto lists = router_.replace(spec(), now_);
    recording_.line(lists ? "replaced" : "no numbers left");
    if (lists)
      write(*lists);
  }

  void choose() {
    std::string key = rng_.chance(0.5) ? "key" + std::to_string(rng_.below(200)) : "";
    std::string id = std::to_string(rng_.bits());
    routes::Query query;
    query.class_index = rng_.below(3);
    query.tenant = rng_.below(2);
    query.path = rng_.chance(0.5) ? "/sale/x" : "/other";
    query.object = rng_.chance(0.5) ? 1 + static_cast<std::uint64_t>(rng_.below(100)) : 0;
    query.idempotency_key = key;
    query.id = id;
    query.remaining_timeout_ms = rng_.between(100, 3000);
    routes::Choice choice = router_.choose(query, now_);
    recording_.line("choice " + std::to_string(choice.pool) + " " + std::to_string(choice.route) +
                    " " + std::to_string(choice.spilled) + " " + std::to_string(choice.kept) + " " +
                    replay::text_of(router_.weight(choice.route, choice.pool)));
  }

  void write(const routes::Router::Lists& lists) {
    for (const auto& [pool, list] : lists)
      recording_.line("pool " + std::to_string(pool) + " " + replay::text_of(list));
  }

  Rng rng_;
  Recording& recording_;
  double now_ = 100000;
  std::vector<std::string> hosts_;
  routes::Router router_;
};

TEST(RecordedLogic, RouterMatchesTheRecording) {
  for (std::uint64_t seed : {41, 42, 43}) {
    Recording recording("router-" + std::to_string(seed));
    RouterScenario(seed, recording).run_to_end();
    expect_recorded(recording);
  }
}

TEST(RecordedLogic, CallScheduleAndLeaseMatchTheRecording) {
  Recording recording("discovery");
  Rng rng(51);
  for (int fleet = 0; fleet < 40; ++fleet) {
    discovery::CallPolicy policy{.pushed = rng.chance(0.5), .processes = 1 + rng.below(400)};
    discovery::CallSchedule schedule(policy);
    discovery::LeaseTerms terms{.pushed = policy.pushed,
                                .drain_grace = std::chrono::milliseconds(rng.below(2000)),
                                .poll_deadline = std::chrono::milliseconds(rng.below(9000))};
    discovery::ListLease lease(terms);
    discovery::TimePoint now{std::chrono::seconds(1000)};
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::microseconds(rng.below(400000));
      switch (rng.below(14)) {
        case 0:
          schedule.watch_lost(now, rng.unit());
          break;
        case 1:
          schedule.call_now(now);
          break;
        case 2:
        case 3:
        case 4:
          schedule.call_began(now, rng.unit());
          break;
        case 5:
          schedule.watch_established();
          break;
        case 6:
          lease.current_as_of(now - std::chrono::milliseconds(rng.below(300)));
          break;
        case 7:
          lease.unreachable_as_of(now);
          break;
        case 8:
          lease.watch_closed(now);
          break;
        case 9:
          lease.answered_without_list(now);
          break;
        case 10:
          rng.chance(0.5) ? lease.discovery_moved(now) : lease.revoke();
          break;
        case 11:
          rng.below(3000);  // draws that keep the rest of the recorded sequence
          break;
        default:
          rng.unit();
      }
      auto open_calls = static_cast<std::size_t>(rng.below(4));
      recording.line(text_of(now) + " next " + text_of(schedule.next_call(open_calls)) + " " +
                     std::to_string(schedule.max_open_calls()) + " lease " +
                     std::to_string(lease.valid(now)) + " " + text_of(lease.until()));
    }
  }
  expect_recorded(recording);
}

}  // namespace
}  // namespace keelflow::replay
