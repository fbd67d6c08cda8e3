#include "dispatcher_day.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "fleet/subsets.h"
#include "fleet/turns.h"

namespace keelflow::replay {
namespace {

using reedlb::Actions;
using reedlb::EndpointEntry;
using reedlb::EndpointId;
using reedlb::EndpointState;
using reedlb::Event;
using reedlb::RequestId;

constexpr int kZones = 3;
constexpr int kKinds = 2;
constexpr double kMeanWork = 80;
constexpr double kStart = 50000;  // the clock's time when the day begins

struct EndpointModel {
  EndpointEntry entry;
  double slowness = 1;
  double fail = 0, reject = 0, hang = 0;  // probabilities for each attempt
  int running = 0;
  int cores = 4;
};

struct AttemptModel {
  std::size_t endpoint = 0;
  bool ended = false;
};

struct Node {
  std::unique_ptr<reedlb::Dispatcher> dispatcher;
  std::optional<fleet::Homes> homes;
  std::optional<fleet::Turns> turns;
  std::uint64_t timer = 0;  // the latest
  std::map<RequestId, std::vector<AttemptModel>> attempts;
  std::map<RequestId, double> work;
};

/// Something that is to happen: an event for one Dispatcher, or a change of the world.
struct Happening {
  double when = 0;
  std::uint64_t order = 0;
  int node = 0;
  enum class Kind : std::uint8_t {
    event,
    arrival,
    attempt_end,
    endpoint_change,
    node_change
  } kind = Kind::event;
  Event event;
  bool operator>(const Happening& o) const {
    return when != o.when ? when > o.when : order > o.order;
  }
};

class Day {
 public:
  Day(const DayPlan& plan, Recording& recording)
      : plan_(plan), recording_(recording), draw_(plan.seed) {}

  void play() {
    draw_settings();
    draw_endpoints();
    for (int rank = 0; rank < count(); ++rank)
      start_node(rank);
    for (int rank = 0; rank < plan_.dispatchers; ++rank)
      schedule_arrival(rank);
    schedule(now_ + 500, 0, Happening::Kind::endpoint_change);
    schedule(now_ + 700, 0, Happening::Kind::node_change);
    while (!queue_.empty() && queue_.top().when <= kStart + plan_.length_ms) {
      Happening next = queue_.top();
      queue_.pop();
      now_ = std::max(now_, next.when);
      happen(next);
    }
    for (Node& node : nodes_)
      recording_.line("end " + text_of(Event(node.dispatcher->knowledge(now_))));
  }

 private:
  // A sibling is one process more, with the rank of the first.
  int count() const { return plan_.dispatchers + (plan_.sibling ? 1 : 0); }
  int rank_of(int node) const { return node < plan_.dispatchers ? node : 0; }

  void draw_settings() {
    settings_.dispatchers = plan_.dispatchers;
    settings_.zones = kZones;
    settings_.kinds = kKinds;
    settings_.tick_ms = 2;
    settings_.ask_list = plan_.poll_list;
    settings_.cancel = plan_.cancel;
    settings_.peers = plan_.peers;
    settings_.parallel_tries = plan_.parallel_attempts;
    settings_.retry_after = plan_.retry_after;
    settings_.max_retry_after_ms = plan_.retry_after ? 400 : 0;
    settings_.try_limit = plan_.attempts;
    settings_.tells_start = plan_.start_reports;
    settings_.cold_from = 0.15;
    settings_.cold_ms = 6000;
    settings_.fall_multiple = 3;
    settings_.fall_ms = 1500;
    settings_.drain_grace_ms = 500;
    settings_.over_share_worth = plan_.tenants ? 0.3 : 1;
    if (plan_.tenants)
      settings_.tenant_quota = {8, 20, 60};
    settings_.classes.resize(plan_.several_classes ? 4 : 1);
    for (reedlb::ClassSettings& c : settings_.classes) {
      c.target_ms = draw_.between(200, 800);
      c.stretch = draw_.between(1, 3);
      c.value = draw_.between(0.5, 2);
    }
    if (!plan_.several_classes)
      return;
    settings_.classes[1].effect = reedlb::Effect::keyed;
    settings_.classes[1].scope = static_cast<reedlb::Scope>(draw_.below(3));
    settings_.classes[1].window_ms = draw_.between(300, 3000);
    settings_.classes[2].effect = reedlb::Effect::unsafe;
    settings_.classes[3].kind = 1;
  }

  void draw_endpoints() {
    for (int i = 0; i < plan_.endpoints; ++i) {
      EndpointModel e;
      e.entry = {static_cast<EndpointId>(1000 + 37 * i),
                 i % kZones,
                 draw_.chance(0.7) ? 0 : 1,
                 i / 4,
                 EndpointState::ready,
                 1.0 + draw_.below(4),
                 0};
      e.slowness = draw_.between(0.7, 1.6);
      e.cores = static_cast<int>(e.entry.nominal) + 1;
      if (plan_.bad_endpoints && draw_.chance(0.25)) {
        e.fail = draw_.between(0.1, 0.9);
        e.hang = draw_.between(0, 0.2);
      }
      if (plan_.bad_endpoints && draw_.chance(0.25))
        e.reject = draw_.between(0.1, 0.6);
      endpoints_.push_back(e);
    }
  }

  reedlb::EndpointList whole_list(reedlb::ListScope scope) const {
    reedlb::EndpointList list;
    list.scope = scope;
    for (const EndpointModel& e : endpoints_)
      if (e.entry.state != EndpointState::gone)
        list.entries.push_back(e.entry);
    return list;
  }

  void start_node(int index) {
    reedlb::Settings own = settings_;
    own.rank = rank_of(index);
    if (static_cast<std::size_t>(index) >= nodes_.size())
      nodes_.emplace_back();
    Node& node = nodes_[static_cast<std::size_t>(index)];
    node.dispatcher =
        std::make_unique<reedlb::Dispatcher>(own, plan_.seed + static_cast<std::uint64_t>(index));
    node.homes.emplace(own);
    node.turns.emplace(own, now_);
    if (plan_.sibling && rank_of(index) == 0)
      give(index, reedlb::Twin{true});
    give(index, whole_list(plan_.poll_list ? reedlb::ListScope::cached : reedlb::ListScope::full));
  }

  void schedule(double when, int node, Happening::Kind kind, Event event = reedlb::Timer{}) {
    queue_.push({when, ++order_, node, kind, std::move(event)});
  }

  void schedule_arrival(int node) {
    double capacity = 0;
    for (const EndpointModel& e : endpoints_)
      capacity += e.cores / e.slowness;
    double gap = kMeanWork * plan_.dispatchers / (capacity * plan_.load);
    schedule(now_ - gap * std::log(1 - draw_.unit()), node, Happening::Kind::arrival);
  }

  void happen(Happening& next) {
    switch (next.kind) {
      case Happening::Kind::event:
        return deliver(next.node, std::move(next.event));
      case Happening::Kind::arrival:
        return arrive(next.node);
      case Happening::Kind::attempt_end:
        return end_attempt(next.node, std::get<reedlb::Outcome>(next.event));
      case Happening::Kind::endpoint_change:
        return change_endpoint();
      case Happening::Kind::node_change:
        return change_nodes();
    }
  }

  void deliver(int node, Event event) {
    if (const auto* timer = std::get_if<reedlb::Timer>(&event)) {
      // Now and then an old timer comes too: it has to be passed over.
      if (timer->name != nodes_[static_cast<std::size_t>(node)].timer && !draw_.chance(0.1))
        return;
    }
    if (const auto* started = std::get_if<reedlb::Started>(&event)) {
      auto& attempts = nodes_[static_cast<std::size_t>(node)].attempts[started->request];
      auto place = static_cast<std::size_t>(started->attempt);
      if (place >= attempts.size() || attempts[place].ended)
        return;
    }
    give(node, std::move(event));
  }

  // One event for one Dispatcher, with what stands beside it, and then what it wants done.
  void give(int index, Event event) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    Actions actions;
    std::string head = text_of(now_) + " " + std::to_string(index) + " ";
    recording_.line(head + text_of(event));
    node.dispatcher->handle(now_, event, actions);
    std::vector<Event> told;
    if (auto homes = node.homes->after(event))
      told.push_back(std::move(*homes));
    node.turns->after(now_, event, *node.dispatcher, told, actions);
    for (const Event& one : told) {
      recording_.line(head + "told " + text_of(one));
      node.dispatcher->handle(now_, one, actions);
    }
    for (const reedlb::Action& action : actions) {
      recording_.line(head + "> " + text_of(action));
      std::visit([&](const auto& a) { carry_out(index, a); }, action);
    }
  }

  void arrive(int index) {
    schedule_arrival(index);
    Node& node = nodes_[static_cast<std::size_t>(index)];
    reedlb::Arrival a;
    a.request = ++last_request_;
    a.cls = draw_.below(static_cast<int>(settings_.classes.size()));
    a.tenant = plan_.tenants ? draw_.below(4) - 1 : 0;
    a.key = plan_.keys && draw_.chance(0.7)
                ? 1 + static_cast<std::uint64_t>(40 * draw_.unit() * draw_.unit())
                : 0;
    a.ttl_ms = draw_.between(100, 3000);
    double work = kMeanWork * draw_.between(0.1, 1) * (draw_.chance(0.1) ? 5 : 1);
    a.hint = draw_.chance(0.1) ? 0 : work * draw_.between(0.5, 2);
    a.slots = draw_.chance(0.1) ? 2 : 1;
    a.weigh = draw_.chance(0.1) ? 0.5 : 1;
    node.work[a.request] = work;
    schedule(now_ + a.ttl_ms, index, Happening::Kind::event, reedlb::ClientGone{a.request});
    if (plan_.clients_leave && draw_.chance(0.15))
      schedule(now_ + draw_.between(0, a.ttl_ms), index, Happening::Kind::event,
               reedlb::ClientGone{a.request, draw_.chance(0.3)});
    if (draw_.chance(0.05))
      schedule(now_ + draw_.between(0, 400), index, Happening::Kind::event,
               reedlb::StreamBegun{a.request});
    give(index, a);
  }

  void carry_out(int index, const reedlb::Send& send) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    auto& attempts = node.attempts[send.request];
    auto place = static_cast<std::size_t>((send.endpoint - 1000) / 37);
    EndpointModel& e = endpoints_[place];
    attempts.push_back({place, false});
    int attempt = static_cast<int>(attempts.size()) - 1;
    reedlb::Outcome outcome;
    outcome.request = send.request;
    outcome.attempt = attempt;
    double travel = draw_.between(0.3, 3);
    double run = node.work[send.request] * e.slowness * draw_.between(0.8, 1.3);
    double queued = e.running < e.cores ? 0 : run * (1 + e.running - e.cores) / e.cores;
    ++e.running;
    bool present = e.entry.state != EndpointState::gone;
    double ended = now_ + travel;
    if (!present || draw_.chance(0.01)) {
      outcome.result = reedlb::Result::connect_failed;
    } else if (draw_.chance(e.reject)) {
      outcome.result = reedlb::Result::full;
    } else if (draw_.chance(e.hang)) {
      return;  // nothing is heard of it until it is called off or the client leaves
    } else if (draw_.chance(e.fail)) {
      outcome.result = draw_.chance(0.5) ? reedlb::Result::error : reedlb::Result::reset;
      ended += draw_.between(0, 30);
    } else {
      if (plan_.start_reports)
        schedule(now_ + travel + queued, index, Happening::Kind::event,
                 reedlb::Started{send.request, attempt});
      outcome.result = draw_.chance(0.01) ? reedlb::Result::moot : reedlb::Result::ok;
      ended += queued + run;
    }
    outcome.elapsed_ms = ended - now_;
    schedule(ended, index, Happening::Kind::attempt_end, outcome);
  }

  void end_attempt(int index, reedlb::Outcome outcome) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    auto& attempts = node.attempts[outcome.request];
    auto place = static_cast<std::size_t>(outcome.attempt);
    if (place >= attempts.size() || std::exchange(attempts[place].ended, true))
      return;
    --endpoints_[attempts[place].endpoint].running;
    outcome.final = outcome.result == reedlb::Result::ok;
    give(index, outcome);
  }

  void carry_out(int index, const reedlb::Recall& recall) {
    reedlb::Outcome outcome;
    outcome.request = recall.request;
    outcome.attempt = recall.attempt;
    outcome.result = draw_.chance(0.1) ? reedlb::Result::timeout : reedlb::Result::cancelled;
    outcome.elapsed_ms = 1;
    schedule(now_ + draw_.between(0.5, 5), index, Happening::Kind::attempt_end, outcome);
  }

  void carry_out(int index, const reedlb::SetTimer& timer) {
    nodes_[static_cast<std::size_t>(index)].timer = timer.name;
    schedule(std::max(timer.when, now_), index, Happening::Kind::event, reedlb::Timer{timer.name});
  }

  void carry_out(int index, const reedlb::Tell& tell) {
    bool to_sibling = tell.peer == rank_of(index);
    int to = tell.peer;
    if (to_sibling) {
      if (!plan_.sibling || to != 0)
        return;
      to = index == 0 ? plan_.dispatchers : 0;
    } else if (tell.peer >= plan_.dispatchers) {
      return;
    }
    if (!to_sibling && draw_.chance(0.1))
      return;  // lost
    schedule(now_ + draw_.between(0.2, 4), to, Happening::Kind::event,
             reedlb::PeerMessage{rank_of(index), tell.bytes});
  }

  void carry_out(int index, const reedlb::Subscribe&) {
    bool fails = draw_.chance(0.3);
    schedule(now_ + draw_.between(1, 200), index, Happening::Kind::event,
             whole_list(fails ? reedlb::ListScope::failed : reedlb::ListScope::full));
  }

  void carry_out(int, const reedlb::Refuse&) {}
  void carry_out(int, const reedlb::Fail&) {}
  void carry_out(int, const reedlb::Probe&) {}

  void change_endpoint() {
    schedule(now_ + draw_.between(300, 1500), 0, Happening::Kind::endpoint_change);
    EndpointModel& e = endpoints_[static_cast<std::size_t>(draw_.below(plan_.endpoints))];
    if (e.entry.state == EndpointState::ready) {
      e.entry.state = draw_.chance(0.5) ? EndpointState::draining : EndpointState::gone;
      if (plan_.cold_starts && draw_.chance(0.5)) {
        e.entry.state = EndpointState::ready;
        e.entry.started_at = now_;
      }
    } else {
      e.entry.state = EndpointState::ready;
      if (plan_.cold_starts)
        e.entry.started_at = now_;
    }
    reedlb::EndpointList list;
    list.scope = draw_.chance(0.3) ? reedlb::ListScope::full : reedlb::ListScope::delta;
    if (list.scope == reedlb::ListScope::full)
      list = whole_list(list.scope);
    else
      list.entries.push_back(e.entry);
    for (int node = 0; node < count(); ++node)
      schedule(now_ + draw_.between(1, 60), node, Happening::Kind::event, list);
  }

  void change_nodes() {
    schedule(now_ + draw_.between(400, 2000), 0, Happening::Kind::node_change);
    int index = draw_.below(count());
    if (plan_.sends_forbidden) {
      give(index, reedlb::SendPermission{false});
      schedule(now_ + draw_.between(20, 600), index, Happening::Kind::event,
               reedlb::SendPermission{true});
    }
    if (plan_.members_change) {
      reedlb::Members members;
      for (int rank = 0; rank < plan_.dispatchers; ++rank)
        members.lives.push_back(!draw_.chance(0.2));
      for (int node = 0; node < count(); ++node)
        give(node, members);
    }
    if (plan_.restarts && draw_.chance(0.3))
      restart(index);
    if (plan_.settings_change && draw_.chance(0.3))
      change_settings();
    if (draw_.chance(0.2)) {
      auto& endpoint = endpoints_[static_cast<std::size_t>(draw_.below(plan_.endpoints))];
      give(index, reedlb::ProbeResult{endpoint.entry.endpoint, draw_.chance(0.5), 3, {}});
    }
  }

  // What was out at the former process is forgotten; its requests are its own.
  void restart(int index) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    reedlb::Knowledge knowledge = node.dispatcher->knowledge(now_);
    for (auto& [request, attempts] : node.attempts)
      for (AttemptModel& attempt : attempts)
        if (!std::exchange(attempt.ended, true))
          --endpoints_[attempt.endpoint].running;
    node.attempts.clear();
    recording_.line("restart " + std::to_string(index));
    start_node(index);
    give(index, knowledge);
  }

  void change_settings() {
    settings_.try_limit = 1 + draw_.below(5);
    settings_.tick_ms = draw_.chance(0.5) ? 2 : 5;
    settings_.cold_ms = draw_.between(3000, 8000);
    for (reedlb::ClassSettings& c : settings_.classes)
      c.target_ms = draw_.between(200, 800);
    std::vector<int> from;
    for (std::size_t i = 0; i < settings_.classes.size(); ++i)
      from.push_back(draw_.chance(0.2) ? -1 : static_cast<int>(i));
    for (int node = 0; node < count(); ++node) {
      reedlb::Settings own = settings_;
      own.rank = rank_of(node);
      give(node, reedlb::Retune{own, from});
    }
  }

  const DayPlan& plan_;
  Recording& recording_;
  Draw draw_;
  reedlb::Settings settings_;
  std::vector<EndpointModel> endpoints_;
  std::vector<Node> nodes_;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> queue_;
  double now_ = kStart;
  std::uint64_t order_ = 0;
  RequestId last_request_ = 0;
};

}  // namespace

void play_day(const DayPlan& plan, Recording& recording) {
  Day(plan, recording).play();
}

}  // namespace keelflow::replay
