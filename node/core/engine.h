/// Joins the schedulers of all pools to the ports: requests come in, attempts go out, answers go
/// back. It enforces the protocol's limits, decides nothing and knows no wire.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt_tracker.h"
#include "core/counters.h"
#include "core/endpoint_port.h"
#include "core/peer_sender.h"
#include "core/pool_dispatchers.h"
#include "core/pool_selector.h"
#include "core/request_filter.h"
#include "core/request_table.h"
#include "core/response_sink.h"
#include "core/timer_port.h"
#include "invariants/monitor.h"
#include "operation_guard/operation_guard.h"

namespace keelflow {

/// The way of each request through the node. Single-threaded; it is called on the event loop, and
/// all references and pointers that it is given must outlive it. Nothing here fails: faults of the
/// outside come in as the end of an attempt.
class Engine {
 public:
  struct Limits {
    std::size_t most_held = 20000;  ///< Open requests; one more is rejected.
    Duration tick{};                ///< The least time between two timers of one pool.
  };

  Engine(const scheduler::Settings& settings, std::uint64_t seed, Limits limits, TimerPort& timers,
         const UnixClock& clock, Counters& counters);
  void set_endpoints(EndpointPort& endpoints) { endpoints_ = &endpoints; }
  void set_monitor(invariants::Monitor* monitor) { monitor_ = monitor; }
  /// Null: messages to peers are dropped.
  void set_peers(PeerSender* peers) { peers_ = peers; }
  /// Null: all requests go to pool 0.
  void set_selector(PoolSelector* routes) { selector_ = routes; }
  /// Adds pools until there are so many. Each has a Dispatcher that sees its endpoints and its
  /// requests only. There is one from the start.
  void ensure_pools(int count) { pools_.grow(count); }
  /// Null: requests go to the scheduler at once.
  void set_filter(RequestFilter* filter) { filter_ = filter; }
  /// The decision that RequestFilter::decide did not return at once.
  void on_filter_decision(RequestId id, const RequestFilter::Decision& decision);
  /// By class number: the name under which the figures of its requests are counted.
  void name_classes(const std::vector<std::string>& names);
  /// Another process of this node: what the schedulers notify one another of goes through `send`.
  /// Null: it has gone.
  void set_sibling(std::function<void(const std::string&)> send);
  std::vector<scheduler::LearnedState> learned_state() const { return pools_.learned_state(); }
  void restore(const std::vector<scheduler::LearnedState>& learned) { pools_.restore(learned); }
  /// Settings that a running node takes over. Class numbers in use keep their meaning;
  /// `previous_classes`: see scheduler::SettingsChanged.
  void change_settings(const scheduler::Settings& settings,
                       const std::vector<int>& previous_classes, Limits limits);
  bool is_class_in_use(int class_index) const { return requests_.is_class_in_use(class_index); }
  /// While the endpoint list may not be used for sending, requests are queued and nothing is sent.
  void allow_sends(bool allowed) { pools_.allow_sends(allowed); }
  /// Whether its client still waits for its final answer.
  bool is_client_waiting(RequestId id) const;
  const operation_guard::RefusalCounts& refusals() const { return refusals_; }
  void count_refusal(operation_guard::Operation operation, operation_guard::Reason reason) {
    refusals_.count(operation, reason);
  }
  /// Routes again all requests of that pool for which no attempt was made.
  void reroute(int pool);

  /// From the inbound side: admits a request. `sink` gets its final answer, perhaps before this
  /// returns, and must live until then or until on_client_disconnected. Empty: an open request has
  /// that id already.
  std::optional<RequestId> submit(Job job, ResponseSink& sink);
  void on_client_disconnected(RequestId id);
  /// The process ends after that: it is the latest deadline of requests taken from now on.
  void set_last_answer(TimePoint last) { last_answer_ = last; }

  /// From the outbound side. Reports of an attempt that has ended are ignored.
  void on_attempt_started(AttemptRef ref);
  void on_attempt_progress(AttemptRef ref, double share);
  void on_attempt_ended(AttemptRef ref, AttemptEnd end);
  void on_health_check_result(EndpointId endpoint, bool ok, Duration elapsed,
                              const scheduler::LoadReport& report);

  /// Which nodes of the tier are alive, by rank.
  void on_membership_changed(const std::vector<bool>& alive) { pools_.change_membership(alive); }
  /// From another node of the tier: to every pool, as each knows its own endpoints only.
  void on_peer_message(int peer, const std::string& bytes);
  /// From discovery.
  void on_endpoint_list(scheduler::EndpointList list, int pool = 0);

  void for_each_subset_entry(
      const std::function<void(int pool, const scheduler::SubsetEntry&)>& visit) const {
    pools_.for_each_subset_entry(visit);
  }
  void for_each_lease(
      const std::function<void(int pool, const fleet::SlowStartLeases::EndpointLease&,
                               const scheduler::SlowStartBudget&)>& visit) const {
    pools_.for_each_lease(visit);
  }
  fleet::SlowStartLeases::Statistics lease_statistics() const { return pools_.lease_statistics(); }
  /// Whether nodes lease one another parts of their slow-start budgets; else each keeps its own.
  void enable_leases(bool enabled) { pools_.enable_leases(enabled); }

  /// Requests whose client still waits for its answer.
  std::size_t pending_requests() const { return pending_; }
  /// Whether some pool has ejected it at present.
  bool is_ejected(EndpointId endpoint) const { return pools_.is_ejected(endpoint); }
  std::size_t open_requests() const { return requests_.size(); }
  std::size_t open_attempts() const { return attempts_.open_attempts(); }
  /// Requests that are queued in that pool.
  std::size_t queued_requests(int pool) const {
    return pools_.at(pool).dispatcher().queued_requests();
  }

 private:
  const scheduler::Settings& settings() const { return pools_.settings(); }
  ClassFigures& figures_of(const Job& job) {
    return *figures_.at(static_cast<std::size_t>(job.class_index));
  }
  void execute(const scheduler::Action& action);
  void on_handled(const scheduler::Event& event);
  void reject_at_once(const Job& job, ResponseSink& sink);
  void admit(RequestId id, Request& request);
  void send(const scheduler::SendAttempt& send);
  void send_to_peer(const scheduler::SendPeerMessage& message);
  void cancel(AttemptRef ref, bool has_timed_out);
  void fail(RequestId id);
  void finish(RequestId id, FinalAnswer answer);
  void count_answer(const Job& job, FinalAnswer::Kind kind);
  void report_end(const Request& request, RequestOutcome outcome);

  Limits limits_;
  TimerPort& timers_;
  Counters& counters_;
  PoolDispatchers pools_;
  RequestTable requests_;
  AttemptTracker attempts_;
  std::vector<ClassFigures*> figures_;  // by class number
  PoolSelector* selector_ = nullptr;
  RequestFilter* filter_ = nullptr;
  EndpointPort* endpoints_ = nullptr;
  invariants::Monitor* monitor_ = nullptr;
  PeerSender* peers_ = nullptr;
  std::function<void(const std::string&)> send_to_sibling_;
  operation_guard::RefusalCounts refusals_;
  TimePoint last_answer_ = TimePoint::max();
  std::size_t pending_ = 0;
};

}  // namespace keelflow
