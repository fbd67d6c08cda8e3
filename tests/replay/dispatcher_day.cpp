/// Runs random scenarios with simulated endpoints, clients and peer network.
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

constexpr EndpointId kFirstEndpointId = 1000;
constexpr EndpointId kEndpointIdStep = 37;
constexpr int kZones = 3;
constexpr int kKinds = 2;
constexpr double kMeanWorkMs = 80;
constexpr double kStartMs = 50000;  // time at the beginning of the scenario

/// A simulated endpoint; the probabilities are per attempt.
struct EndpointModel {
  EndpointEntry entry;
  double slowness = 1;
  double fail_probability = 0;
  double reject_probability = 0;
  double hang_probability = 0;
  int running = 0;
  int cores = 4;
};

/// An attempt at a simulated endpoint, given by its index.
struct AttemptModel {
  std::size_t endpoint = 0;
  bool has_ended = false;
};

/// A Dispatcher with the fleet components of its process, and its requests.
struct Node {
  std::unique_ptr<scheduler::Dispatcher> dispatcher;
  std::optional<fleet::Subsets> subsets;
  std::optional<fleet::SlowStartLeases> slow_start_leases;
  std::uint64_t timer = 0;  // id of the last timer that was set
  std::map<RequestId, std::vector<AttemptModel>> attempts;
  std::map<RequestId, double> work;
};

/// A scheduled event for one Dispatcher, or a change of the simulated environment.
struct ScheduledEvent {
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
  bool operator>(const ScheduledEvent& other) const {
    return when != other.when ? when > other.when : order > other.order;
  }
};

/// Runs one scenario as a discrete event simulation.
class Scenario {
 public:
  Scenario(const ScenarioOptions& options, Recording& recording)
      : options_(options), recording_(recording), rng_(options.seed) {}

  void run_to_end() {
    draw_settings();
    draw_endpoints();
    for (int rank = 0; rank < count(); ++rank)
      start_node(rank);
    for (int rank = 0; rank < options_.dispatchers; ++rank)
      schedule_arrival(rank);
    schedule(now_ + 500, 0, ScheduledEvent::Kind::endpoint_change);
    schedule(now_ + 700, 0, ScheduledEvent::Kind::node_change);
    while (!queue_.empty() && queue_.top().when <= kStartMs + options_.length_ms) {
      ScheduledEvent next = queue_.top();
      queue_.pop();
      now_ = std::max(now_, next.when);
      process(next);
    }
    for (Node& node : nodes_)
      recording_.line("end " + text_of(Event(node.dispatcher->learned_state(now_))));
  }

 private:
  // A sibling is one additional process with the rank of the first node.
  int count() const { return options_.dispatchers + (options_.sibling ? 1 : 0); }
  int rank_of(int node) const { return node < options_.dispatchers ? node : 0; }

  void draw_settings() {
    settings_.dispatchers = options_.dispatchers;
    settings_.zones = kZones;
    settings_.kinds = kKinds;
    settings_.tick_ms = 2;
    settings_.polls_list = options_.polls_list;
    settings_.cancel = options_.cancel;
    settings_.peers = options_.peers;
    settings_.concurrent_attempts = options_.parallel_attempts;
    settings_.retry_after = options_.retry_after;
    settings_.max_retry_after_ms = options_.retry_after ? 400 : 0;
    settings_.max_attempts = options_.attempts;
    settings_.reports_start = options_.start_reports;
    settings_.slow_start_initial_fraction = 0.15;
    settings_.slow_start_ms = 6000;
    settings_.overload_multiple = 3;
    settings_.overload_window_ms = 1500;
    settings_.drain_grace_ms = 500;
    settings_.over_quota_weight = options_.tenants ? 0.3 : 1;
    if (options_.tenants)
      settings_.tenant_quota = {8, 20, 60};
    settings_.classes.resize(options_.several_classes ? 4 : 1);
    for (scheduler::ClassSettings& class_settings : settings_.classes) {
      class_settings.latency_objective_ms = rng_.between(200, 800);
      class_settings.objective_runtime_factor = rng_.between(1, 3);
      class_settings.priority_weight = rng_.between(0.5, 2);
    }
    if (!options_.several_classes)
      return;
    settings_.classes[1].idempotency = scheduler::Idempotency::idempotent_with_key;
    settings_.classes[1].deduplication_scope =
        static_cast<scheduler::DeduplicationScope>(rng_.below(3));
    settings_.classes[1].deduplication_window_ms = rng_.between(300, 3000);
    settings_.classes[2].idempotency = scheduler::Idempotency::non_idempotent;
    settings_.classes[3].kind = 1;
  }

  void draw_endpoints() {
    for (int i = 0; i < options_.endpoints; ++i) {
      EndpointModel endpoint;
      endpoint.entry = {kFirstEndpointId + kEndpointIdStep * static_cast<EndpointId>(i),
                        i % kZones,
                        rng_.chance(0.7) ? 0 : 1,
                        i / 4,
                        EndpointState::ready,
                        1.0 + rng_.below(4),
                        0};
      endpoint.slowness = rng_.between(0.7, 1.6);
      endpoint.cores = static_cast<int>(endpoint.entry.nominal_capacity) + 1;
      if (options_.faulty_endpoints && rng_.chance(0.25)) {
        endpoint.fail_probability = rng_.between(0.1, 0.9);
        endpoint.hang_probability = rng_.between(0, 0.2);
      }
      if (options_.faulty_endpoints && rng_.chance(0.25))
        endpoint.reject_probability = rng_.between(0.1, 0.6);
      endpoints_.push_back(endpoint);
    }
  }

  scheduler::EndpointList whole_list(scheduler::ListScope scope) const {
    scheduler::EndpointList list;
    list.scope = scope;
    for (const EndpointModel& endpoint : endpoints_)
      if (endpoint.entry.state != EndpointState::gone)
        list.entries.push_back(endpoint.entry);
    return list;
  }

  void start_node(int index) {
    scheduler::Settings own = settings_;
    own.rank = rank_of(index);
    if (static_cast<std::size_t>(index) >= nodes_.size())
      nodes_.emplace_back();
    Node& node = nodes_[static_cast<std::size_t>(index)];
    node.dispatcher = std::make_unique<scheduler::Dispatcher>(
        own, options_.seed + static_cast<std::uint64_t>(index));
    node.subsets.emplace(own);
    node.slow_start_leases.emplace(own, now_);
    if (options_.sibling && rank_of(index) == 0)
      handle_event(index, scheduler::SiblingProcess{true});
    handle_event(index, whole_list(options_.polls_list ? scheduler::ListScope::cached
                                                       : scheduler::ListScope::full));
  }

  void schedule(double when, int node, ScheduledEvent::Kind kind,
                Event event = scheduler::TimerFired{}) {
    queue_.push({when, ++order_, node, kind, std::move(event)});
  }

  void schedule_arrival(int node) {
    double capacity = 0;
    for (const EndpointModel& endpoint : endpoints_)
      capacity += endpoint.cores / endpoint.slowness;
    double mean_gap_ms = kMeanWorkMs * options_.dispatchers / (capacity * options_.load);
    schedule(now_ - mean_gap_ms * std::log(1 - rng_.unit()), node, ScheduledEvent::Kind::arrival);
  }

  void process(ScheduledEvent& next) {
    switch (next.kind) {
      case ScheduledEvent::Kind::event:
        return deliver(next.node, std::move(next.event));
      case ScheduledEvent::Kind::arrival:
        return arrive(next.node);
      case ScheduledEvent::Kind::attempt_end:
        return end_attempt(next.node, std::get<scheduler::AttemptFinished>(next.event));
      case ScheduledEvent::Kind::endpoint_change:
        return change_endpoint();
      case ScheduledEvent::Kind::node_change:
        return change_nodes();
    }
  }

  void deliver(int node, Event event) {
    if (const auto* timer = std::get_if<scheduler::TimerFired>(&event)) {
      // Stale timers are sometimes delivered; the Dispatcher must ignore them.
      if (timer->id != nodes_[static_cast<std::size_t>(node)].timer && !rng_.chance(0.1))
        return;
    }
    if (const auto* started = std::get_if<scheduler::AttemptStarted>(&event)) {
      auto& attempts = nodes_[static_cast<std::size_t>(node)].attempts[started->request];
      auto position = static_cast<std::size_t>(started->attempt);
      if (position >= attempts.size() || attempts[position].has_ended)
        return;
    }
    handle_event(node, std::move(event));
  }

  // Passes an event to one Dispatcher and its fleet components, then performs the actions.
  void handle_event(int index, Event event) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    Actions actions;
    std::string head = text_of(now_) + " " + std::to_string(index) + " ";
    recording_.line(head + text_of(event));
    node.dispatcher->handle(now_, event, actions);
    std::vector<Event> notifications;
    if (auto subsets = node.subsets->after(event))
      notifications.push_back(std::move(*subsets));
    node.slow_start_leases->after(now_, event, *node.dispatcher, notifications, actions);
    for (const Event& notification : notifications) {
      recording_.line(head + "told " + text_of(notification));
      node.dispatcher->handle(now_, notification, actions);
    }
    for (const scheduler::Action& action : actions) {
      recording_.line(head + "> " + text_of(action));
      std::visit([&](const auto& typed_action) { carry_out(index, typed_action); }, action);
    }
  }

  void arrive(int index) {
    schedule_arrival(index);
    Node& node = nodes_[static_cast<std::size_t>(index)];
    scheduler::RequestArrived arrival;
    arrival.request = ++last_request_;
    arrival.class_index = rng_.below(static_cast<int>(settings_.classes.size()));
    arrival.tenant = options_.tenants ? rng_.below(4) - 1 : 0;
    arrival.key = options_.keys && rng_.chance(0.7)
                      ? 1 + static_cast<std::uint64_t>(40 * rng_.unit() * rng_.unit())
                      : 0;
    arrival.client_timeout_ms = rng_.between(100, 3000);
    double work = kMeanWorkMs * rng_.between(0.1, 1) * (rng_.chance(0.1) ? 5 : 1);
    arrival.hint = rng_.chance(0.1) ? 0 : work * rng_.between(0.5, 2);
    arrival.slots = rng_.chance(0.1) ? 2 : 1;
    arrival.queue_weight = rng_.chance(0.1) ? 0.5 : 1;
    node.work[arrival.request] = work;
    schedule(now_ + arrival.client_timeout_ms, index, ScheduledEvent::Kind::event,
             scheduler::ClientDisconnected{arrival.request});
    if (options_.clients_disconnect && rng_.chance(0.15)) {
      // The order of evaluation of arguments is unspecified; the recordings have this draw first.
      const bool is_rerouted = rng_.chance(0.3);
      schedule(now_ + rng_.between(0, arrival.client_timeout_ms), index,
               ScheduledEvent::Kind::event,
               scheduler::ClientDisconnected{arrival.request, is_rerouted});
    }
    if (rng_.chance(0.05))
      schedule(now_ + rng_.between(0, 400), index, ScheduledEvent::Kind::event,
               scheduler::ResponseStreamStarted{arrival.request});
    handle_event(index, arrival);
  }

  void carry_out(int index, const scheduler::SendAttempt& send) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    auto& attempts = node.attempts[send.request];
    auto position = static_cast<std::size_t>((send.endpoint - kFirstEndpointId) / kEndpointIdStep);
    EndpointModel& endpoint = endpoints_[position];
    attempts.push_back({position, false});
    int attempt = static_cast<int>(attempts.size()) - 1;
    scheduler::AttemptFinished outcome;
    outcome.request = send.request;
    outcome.attempt = attempt;
    double travel_ms = rng_.between(0.3, 3);
    double run_ms = node.work[send.request] * endpoint.slowness * rng_.between(0.8, 1.3);
    double queued_ms = endpoint.running < endpoint.cores
                           ? 0
                           : run_ms * (1 + endpoint.running - endpoint.cores) / endpoint.cores;
    ++endpoint.running;
    bool is_listed = endpoint.entry.state != EndpointState::gone;
    double ends_at = now_ + travel_ms;
    if (!is_listed || rng_.chance(0.01)) {
      outcome.result = scheduler::AttemptResult::connect_failed;
    } else if (rng_.chance(endpoint.reject_probability)) {
      outcome.result = scheduler::AttemptResult::rejected;
    } else if (rng_.chance(endpoint.hang_probability)) {
      return;  // no outcome until the attempt is cancelled or the client disconnects
    } else if (rng_.chance(endpoint.fail_probability)) {
      outcome.result =
          rng_.chance(0.5) ? scheduler::AttemptResult::error : scheduler::AttemptResult::reset;
      ends_at += rng_.between(0, 30);
    } else {
      if (options_.start_reports)
        schedule(now_ + travel_ms + queued_ms, index, ScheduledEvent::Kind::event,
                 scheduler::AttemptStarted{send.request, attempt});
      outcome.result =
          rng_.chance(0.01) ? scheduler::AttemptResult::withheld : scheduler::AttemptResult::ok;
      ends_at += queued_ms + run_ms;
    }
    outcome.elapsed_ms = ends_at - now_;
    schedule(ends_at, index, ScheduledEvent::Kind::attempt_end, outcome);
  }

  void end_attempt(int index, scheduler::AttemptFinished outcome) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    auto& attempts = node.attempts[outcome.request];
    auto position = static_cast<std::size_t>(outcome.attempt);
    if (position >= attempts.size() || std::exchange(attempts[position].has_ended, true))
      return;
    --endpoints_[attempts[position].endpoint].running;
    outcome.request_finished = outcome.result == scheduler::AttemptResult::ok;
    handle_event(index, outcome);
  }

  void carry_out(int index, const scheduler::CancelAttempt& cancel) {
    scheduler::AttemptFinished outcome;
    outcome.request = cancel.request;
    outcome.attempt = cancel.attempt;
    outcome.result =
        rng_.chance(0.1) ? scheduler::AttemptResult::timeout : scheduler::AttemptResult::cancelled;
    outcome.elapsed_ms = 1;
    schedule(now_ + rng_.between(0.5, 5), index, ScheduledEvent::Kind::attempt_end, outcome);
  }

  void carry_out(int index, const scheduler::SetTimer& timer) {
    nodes_[static_cast<std::size_t>(index)].timer = timer.id;
    schedule(std::max(timer.when, now_), index, ScheduledEvent::Kind::event,
             scheduler::TimerFired{timer.id});
  }

  void carry_out(int index, const scheduler::SendPeerMessage& message) {
    bool is_to_sibling = message.peer == rank_of(index);
    int to = message.peer;
    if (is_to_sibling) {
      if (!options_.sibling || to != 0)
        return;
      to = index == 0 ? options_.dispatchers : 0;
    } else if (message.peer >= options_.dispatchers) {
      return;
    }
    if (!is_to_sibling && rng_.chance(0.1))
      return;  // the message is lost
    schedule(now_ + rng_.between(0.2, 4), to, ScheduledEvent::Kind::event,
             scheduler::PeerMessage{rank_of(index), message.bytes});
  }

  void carry_out(int index, const scheduler::PollEndpointList&) {
    bool has_failed = rng_.chance(0.3);
    schedule(now_ + rng_.between(1, 200), index, ScheduledEvent::Kind::event,
             whole_list(has_failed ? scheduler::ListScope::failed : scheduler::ListScope::full));
  }

  void carry_out(int, const scheduler::RejectRequest&) {}
  void carry_out(int, const scheduler::FailRequest&) {}
  void carry_out(int, const scheduler::SendHealthCheck&) {}

  void change_endpoint() {
    schedule(now_ + rng_.between(300, 1500), 0, ScheduledEvent::Kind::endpoint_change);
    EndpointModel& endpoint = endpoints_[static_cast<std::size_t>(rng_.below(options_.endpoints))];
    if (endpoint.entry.state == EndpointState::ready) {
      endpoint.entry.state = rng_.chance(0.5) ? EndpointState::draining : EndpointState::gone;
      if (options_.endpoint_restarts && rng_.chance(0.5)) {
        endpoint.entry.state = EndpointState::ready;
        endpoint.entry.started_at = now_;
      }
    } else {
      endpoint.entry.state = EndpointState::ready;
      if (options_.endpoint_restarts)
        endpoint.entry.started_at = now_;
    }
    scheduler::EndpointList list;
    list.scope = rng_.chance(0.3) ? scheduler::ListScope::full : scheduler::ListScope::delta;
    if (list.scope == scheduler::ListScope::full)
      list = whole_list(list.scope);
    else
      list.entries.push_back(endpoint.entry);
    for (int node = 0; node < count(); ++node)
      schedule(now_ + rng_.between(1, 60), node, ScheduledEvent::Kind::event, list);
  }

  void change_nodes() {
    schedule(now_ + rng_.between(400, 2000), 0, ScheduledEvent::Kind::node_change);
    int index = rng_.below(count());
    if (options_.sends_forbidden) {
      handle_event(index, scheduler::SendPermission{false});
      schedule(now_ + rng_.between(20, 600), index, ScheduledEvent::Kind::event,
               scheduler::SendPermission{true});
    }
    if (options_.members_change) {
      scheduler::MembershipChanged members;
      for (int rank = 0; rank < options_.dispatchers; ++rank)
        members.is_alive.push_back(!rng_.chance(0.2));
      for (int node = 0; node < count(); ++node)
        handle_event(node, members);
    }
    if (options_.dispatcher_restarts && rng_.chance(0.3))
      restart(index);
    if (options_.settings_change && rng_.chance(0.3))
      change_settings();
    if (rng_.chance(0.2)) {
      auto& endpoint = endpoints_[static_cast<std::size_t>(rng_.below(options_.endpoints))];
      handle_event(index,
                   scheduler::HealthCheckResult{endpoint.entry.endpoint, rng_.chance(0.5), 3, {}});
    }
  }

  // Attempts of the former process are discarded; the new process does not know its requests.
  void restart(int index) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    scheduler::LearnedState learned = node.dispatcher->learned_state(now_);
    for (auto& [request, attempts] : node.attempts)
      for (AttemptModel& attempt : attempts)
        if (!std::exchange(attempt.has_ended, true))
          --endpoints_[attempt.endpoint].running;
    node.attempts.clear();
    recording_.line("restart " + std::to_string(index));
    start_node(index);
    handle_event(index, learned);
  }

  void change_settings() {
    settings_.max_attempts = 1 + rng_.below(5);
    settings_.tick_ms = rng_.chance(0.5) ? 2 : 5;
    settings_.slow_start_ms = rng_.between(3000, 8000);
    for (scheduler::ClassSettings& class_settings : settings_.classes)
      class_settings.latency_objective_ms = rng_.between(200, 800);
    std::vector<int> from;
    for (std::size_t i = 0; i < settings_.classes.size(); ++i)
      from.push_back(rng_.chance(0.2) ? -1 : static_cast<int>(i));
    for (int node = 0; node < count(); ++node) {
      scheduler::Settings own = settings_;
      own.rank = rank_of(node);
      handle_event(node, scheduler::SettingsChanged{own, from});
    }
  }

  const ScenarioOptions& options_;
  Recording& recording_;
  Rng rng_;
  scheduler::Settings settings_;
  std::vector<EndpointModel> endpoints_;
  std::vector<Node> nodes_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> queue_;
  double now_ = kStartMs;
  std::uint64_t order_ = 0;
  RequestId last_request_ = 0;
};

}  // namespace

void run_scenario(const ScenarioOptions& options, Recording& recording) {
  Scenario(options, recording).run_to_end();
}

}  // namespace keelflow::replay
