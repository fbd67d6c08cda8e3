#include "dispatcher_day.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"

namespace keelflow::replay {
namespace {

using scheduler::Actions;
using scheduler::EndpointEntry;
using scheduler::EndpointId;
using scheduler::EndpointState;
using scheduler::Event;
using scheduler::RequestId;

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
  std::unique_ptr<scheduler::Dispatcher> dispatcher;
  std::optional<fleet::Subsets> homes;
  std::optional<fleet::SlowStartLeases> turns;
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
      recording_.line("end " + text_of(Event(node.dispatcher->learned_state(now_))));
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
    settings_.polls_list = plan_.poll_list;
    settings_.cancel = plan_.cancel;
    settings_.peers = plan_.peers;
    settings_.concurrent_attempts = plan_.parallel_attempts;
    settings_.retry_after = plan_.retry_after;
    settings_.max_retry_after_ms = plan_.retry_after ? 400 : 0;
    settings_.max_attempts = plan_.attempts;
    settings_.reports_start = plan_.start_reports;
    settings_.slow_start_initial_fraction = 0.15;
    settings_.slow_start_ms = 6000;
    settings_.overload_multiple = 3;
    settings_.overload_window_ms = 1500;
    settings_.drain_grace_ms = 500;
    settings_.over_quota_weight = plan_.tenants ? 0.3 : 1;
    if (plan_.tenants)
      settings_.tenant_quota = {8, 20, 60};
    settings_.classes.resize(plan_.several_classes ? 4 : 1);
    for (scheduler::ClassSettings& c : settings_.classes) {
      c.latency_objective_ms = draw_.between(200, 800);
      c.objective_runtime_factor = draw_.between(1, 3);
      c.priority_weight = draw_.between(0.5, 2);
    }
    if (!plan_.several_classes)
      return;
    settings_.classes[1].idempotency = scheduler::Idempotency::idempotent_with_key;
    settings_.classes[1].deduplication_scope =
        static_cast<scheduler::DeduplicationScope>(draw_.below(3));
    settings_.classes[1].deduplication_window_ms = draw_.between(300, 3000);
    settings_.classes[2].idempotency = scheduler::Idempotency::non_idempotent;
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
      e.cores = static_cast<int>(e.entry.nominal_capacity) + 1;
      if (plan_.bad_endpoints && draw_.chance(0.25)) {
        e.fail = draw_.between(0.1, 0.9);
        e.hang = draw_.between(0, 0.2);
      }
      if (plan_.bad_endpoints && draw_.chance(0.25))
        e.reject = draw_.between(0.1, 0.6);
      endpoints_.push_back(e);
    }
  }

  scheduler::EndpointList whole_list(scheduler::ListScope scope) const {
    scheduler::EndpointList list;
    list.scope = scope;
    for (const EndpointModel& e : endpoints_)
      if (e.entry.state != EndpointState::gone)
        list.entries.push_back(e.entry);
    return list;
  }

  void start_node(int index) {
    scheduler::Settings own = settings_;
    own.rank = rank_of(index);
    if (static_cast<std::size_t>(index) >= nodes_.size())
      nodes_.emplace_back();
    Node& node = nodes_[static_cast<std::size_t>(index)];
    node.dispatcher = std::make_unique<scheduler::Dispatcher>(
        own, plan_.seed + static_cast<std::uint64_t>(index));
    node.homes.emplace(own);
    node.turns.emplace(own, now_);
    if (plan_.sibling && rank_of(index) == 0)
      give(index, scheduler::SiblingProcess{true});
    give(index,
         whole_list(plan_.poll_list ? scheduler::ListScope::cached : scheduler::ListScope::full));
  }

  void schedule(double when, int node, Happening::Kind kind,
                Event event = scheduler::TimerFired{}) {
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
        return end_attempt(next.node, std::get<scheduler::AttemptFinished>(next.event));
      case Happening::Kind::endpoint_change:
        return change_endpoint();
      case Happening::Kind::node_change:
        return change_nodes();
    }
  }

  void deliver(int node, Event event) {
    if (const auto* timer = std::get_if<scheduler::TimerFired>(&event)) {
      // Now and then an old timer comes too: it has to be passed over.
      if (timer->id != nodes_[static_cast<std::size_t>(node)].timer && !draw_.chance(0.1))
        return;
    }
    if (const auto* started = std::get_if<scheduler::AttemptStarted>(&event)) {
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
    for (const scheduler::Action& action : actions) {
      recording_.line(head + "> " + text_of(action));
      std::visit([&](const auto& a) { carry_out(index, a); }, action);
    }
  }

  void arrive(int index) {
    schedule_arrival(index);
    Node& node = nodes_[static_cast<std::size_t>(index)];
    scheduler::RequestArrived a;
    a.request = ++last_request_;
    a.class_index = draw_.below(static_cast<int>(settings_.classes.size()));
    a.tenant = plan_.tenants ? draw_.below(4) - 1 : 0;
    a.key = plan_.keys && draw_.chance(0.7)
                ? 1 + static_cast<std::uint64_t>(40 * draw_.unit() * draw_.unit())
                : 0;
    a.client_timeout_ms = draw_.between(100, 3000);
    double work = kMeanWork * draw_.between(0.1, 1) * (draw_.chance(0.1) ? 5 : 1);
    a.hint = draw_.chance(0.1) ? 0 : work * draw_.between(0.5, 2);
    a.slots = draw_.chance(0.1) ? 2 : 1;
    a.queue_weight = draw_.chance(0.1) ? 0.5 : 1;
    node.work[a.request] = work;
    schedule(now_ + a.client_timeout_ms, index, Happening::Kind::event,
             scheduler::ClientDisconnected{a.request});
    if (plan_.clients_leave && draw_.chance(0.15))
      schedule(now_ + draw_.between(0, a.client_timeout_ms), index, Happening::Kind::event,
               scheduler::ClientDisconnected{a.request, draw_.chance(0.3)});
    if (draw_.chance(0.05))
      schedule(now_ + draw_.between(0, 400), index, Happening::Kind::event,
               scheduler::ResponseStreamStarted{a.request});
    give(index, a);
  }

  void carry_out(int index, const scheduler::SendAttempt& send) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    auto& attempts = node.attempts[send.request];
    auto place = static_cast<std::size_t>((send.endpoint - 1000) / 37);
    EndpointModel& e = endpoints_[place];
    attempts.push_back({place, false});
    int attempt = static_cast<int>(attempts.size()) - 1;
    scheduler::AttemptFinished outcome;
    outcome.request = send.request;
    outcome.attempt = attempt;
    double travel = draw_.between(0.3, 3);
    double run = node.work[send.request] * e.slowness * draw_.between(0.8, 1.3);
    double queued = e.running < e.cores ? 0 : run * (1 + e.running - e.cores) / e.cores;
    ++e.running;
    bool present = e.entry.state != EndpointState::gone;
    double ended = now_ + travel;
    if (!present || draw_.chance(0.01)) {
      outcome.result = scheduler::AttemptResult::connect_failed;
    } else if (draw_.chance(e.reject)) {
      outcome.result = scheduler::AttemptResult::rejected;
    } else if (draw_.chance(e.hang)) {
      return;  // nothing is heard of it until it is called off or the client leaves
    } else if (draw_.chance(e.fail)) {
      outcome.result =
          draw_.chance(0.5) ? scheduler::AttemptResult::error : scheduler::AttemptResult::reset;
      ended += draw_.between(0, 30);
    } else {
      if (plan_.start_reports)
        schedule(now_ + travel + queued, index, Happening::Kind::event,
                 scheduler::AttemptStarted{send.request, attempt});
      outcome.result =
          draw_.chance(0.01) ? scheduler::AttemptResult::withheld : scheduler::AttemptResult::ok;
      ended += queued + run;
    }
    outcome.elapsed_ms = ended - now_;
    schedule(ended, index, Happening::Kind::attempt_end, outcome);
  }

  void end_attempt(int index, scheduler::AttemptFinished outcome) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    auto& attempts = node.attempts[outcome.request];
    auto place = static_cast<std::size_t>(outcome.attempt);
    if (place >= attempts.size() || std::exchange(attempts[place].ended, true))
      return;
    --endpoints_[attempts[place].endpoint].running;
    outcome.request_finished = outcome.result == scheduler::AttemptResult::ok;
    give(index, outcome);
  }

  void carry_out(int index, const scheduler::CancelAttempt& recall) {
    scheduler::AttemptFinished outcome;
    outcome.request = recall.request;
    outcome.attempt = recall.attempt;
    outcome.result =
        draw_.chance(0.1) ? scheduler::AttemptResult::timeout : scheduler::AttemptResult::cancelled;
    outcome.elapsed_ms = 1;
    schedule(now_ + draw_.between(0.5, 5), index, Happening::Kind::attempt_end, outcome);
  }

  void carry_out(int index, const scheduler::SetTimer& timer) {
    nodes_[static_cast<std::size_t>(index)].timer = timer.id;
    schedule(std::max(timer.when, now_), index, Happening::Kind::event,
             scheduler::TimerFired{timer.id});
  }

  void carry_out(int index, const scheduler::SendPeerMessage& tell) {
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
             scheduler::PeerMessage{rank_of(index), tell.bytes});
  }

  void carry_out(int index, const scheduler::PollEndpointList&) {
    bool fails = draw_.chance(0.3);
    schedule(now_ + draw_.between(1, 200), index, Happening::Kind::event,
             whole_list(fails ? scheduler::ListScope::failed : scheduler::ListScope::full));
  }

  void carry_out(int, const scheduler::RejectRequest&) {}
  void carry_out(int, const scheduler::FailRequest&) {}
  void carry_out(int, const scheduler::SendHealthCheck&) {}

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
    scheduler::EndpointList list;
    list.scope = draw_.chance(0.3) ? scheduler::ListScope::full : scheduler::ListScope::delta;
    if (list.scope == scheduler::ListScope::full)
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
      give(index, scheduler::SendPermission{false});
      schedule(now_ + draw_.between(20, 600), index, Happening::Kind::event,
               scheduler::SendPermission{true});
    }
    if (plan_.members_change) {
      scheduler::MembershipChanged members;
      for (int rank = 0; rank < plan_.dispatchers; ++rank)
        members.is_alive.push_back(!draw_.chance(0.2));
      for (int node = 0; node < count(); ++node)
        give(node, members);
    }
    if (plan_.restarts && draw_.chance(0.3))
      restart(index);
    if (plan_.settings_change && draw_.chance(0.3))
      change_settings();
    if (draw_.chance(0.2)) {
      auto& endpoint = endpoints_[static_cast<std::size_t>(draw_.below(plan_.endpoints))];
      give(index, scheduler::HealthCheckResult{endpoint.entry.endpoint, draw_.chance(0.5), 3, {}});
    }
  }

  // What was out at the former process is forgotten; its requests are its own.
  void restart(int index) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    scheduler::LearnedState knowledge = node.dispatcher->learned_state(now_);
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
    settings_.max_attempts = 1 + draw_.below(5);
    settings_.tick_ms = draw_.chance(0.5) ? 2 : 5;
    settings_.slow_start_ms = draw_.between(3000, 8000);
    for (scheduler::ClassSettings& c : settings_.classes)
      c.latency_objective_ms = draw_.between(200, 800);
    std::vector<int> from;
    for (std::size_t i = 0; i < settings_.classes.size(); ++i)
      from.push_back(draw_.chance(0.2) ? -1 : static_cast<int>(i));
    for (int node = 0; node < count(); ++node) {
      scheduler::Settings own = settings_;
      own.rank = rank_of(node);
      give(node, scheduler::SettingsChanged{own, from});
    }
  }

  const DayPlan& plan_;
  Recording& recording_;
  Draw draw_;
  scheduler::Settings settings_;
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
