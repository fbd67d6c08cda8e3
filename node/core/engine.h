/// Connects the schedulers of all pools to the ports for requests, attempts and answers. It
/// enforces the protocol's limits, makes no scheduling decisions and is independent of the wire
/// format.
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

/// Processes each request from its arrival to its final answer. Single-threaded: it is called on
/// the event loop. All referenced objects must outlive it. It reports no errors: external faults
/// arrive as the end of an attempt.
class Engine {
 public:
  /// Limits that the Engine enforces itself.
  struct Limits {
    std::size_t max_open_requests = 20000;  ///< Further requests are rejected.
    Duration tick{};                        ///< Minimum time between two timers of one pool.
  };

  Engine(const scheduler::Settings& settings, std::uint64_t seed, Limits limits, TimerPort& timers,
         const UnixClock& clock, Counters& counters);
  void set_endpoints(EndpointPort& endpoints) { endpoints_ = &endpoints; }
  void set_monitor(invariants::Monitor* monitor) { monitor_ = monitor; }
  /// With null, messages to peers are dropped.
  void set_peers(PeerSender* peers) { peers_ = peers; }
  /// With null, all requests go to pool 0.
  void set_selector(PoolSelector* routes) { selector_ = routes; }
  /// Adds pools until there are `count`. Each has a Dispatcher that handles only its endpoints and
  /// requests. The constructor creates the first pool.
  void ensure_pools(int count) { pools_.grow(count); }
  /// With null, requests go to the scheduler immediately.
  void set_filter(RequestFilter* filter) { filter_ = filter; }
  /// Delivers a decision that RequestFilter::decide did not return.
  void on_filter_decision(RequestId id, const RequestFilter::Decision& decision);
  /// Sets the names, by class number, under which answers are counted.
  void name_classes(const std::vector<std::string>& names);
  /// Sets the function that sends the schedulers' messages to another process of this node. Null
  /// means that the process has ended.
  void set_sibling(std::function<void(const std::string&)> send);
  std::vector<scheduler::LearnedState> learned_state() const { return pools_.learned_state(); }
  void restore(const std::vector<scheduler::LearnedState>& learned) { pools_.restore(learned); }
  /// Applies new settings at run time. Class numbers in use keep their meaning. For
  /// `previous_classes` see scheduler::SettingsChanged.
  void change_settings(const scheduler::Settings& settings,
                       const std::vector<int>& previous_classes, Limits limits);
  bool is_class_in_use(int class_index) const { return requests_.is_class_in_use(class_index); }
  /// While the endpoint list may not be used for sending, requests are queued and nothing is sent.
  void allow_sends(bool allowed) { pools_.allow_sends(allowed); }
  /// Whether the client still waits for the final answer.
  bool is_client_waiting(RequestId id) const;
  const operation_guard::RefusalCounts& refusals() const { return refusals_; }
  void count_refusal(operation_guard::Operation operation, operation_guard::Reason reason) {
    refusals_.count(operation, reason);
  }
  /// Selects a pool again for all requests of `pool` for which no attempt was made.
  void reroute(int pool);

  /// Called by the inbound side to submit a request. `sink` gets the final answer, possibly before
  /// this returns, and must live until then or until on_client_disconnected. Returns nothing if an
  /// open request already has the same id.
  std::optional<RequestId> submit(Job job, ResponseSink& sink);
  void on_client_disconnected(RequestId id);
  /// Sets the time after which the process ends. It is the latest deadline of requests that are
  /// submitted from now on.
  void set_shutdown_deadline(TimePoint deadline) { shutdown_deadline_ = deadline; }

  /// Called by the outbound side. Reports of an attempt that has ended are ignored.
  void on_attempt_started(AttemptRef ref);
  void on_attempt_progress(AttemptRef ref, double share);
  void on_attempt_ended(AttemptRef ref, AttemptEnd end);
  void on_health_check_result(EndpointId endpoint, bool ok, Duration elapsed,
                              const scheduler::LoadReport& report);

  /// Reports which nodes of the tier are alive, by rank.
  void on_membership_changed(const std::vector<bool>& alive) { pools_.change_membership(alive); }
  /// Passes a message of another node to every pool, since each pool knows only its own endpoints.
  void on_peer_message(int peer, const std::string& bytes);
  /// Passes an endpoint list from discovery to a pool.
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
  /// Sets whether nodes lease parts of their slow-start budgets to one another. Otherwise each node
  /// keeps its own budget.
  void enable_leases(bool enabled) { pools_.enable_leases(enabled); }

  /// Number of requests whose client still waits for the answer.
  std::size_t pending_requests() const { return pending_; }
  /// Whether any pool currently ejects the endpoint.
  bool is_ejected(EndpointId endpoint) const { return pools_.is_ejected(endpoint); }
  std::size_t open_requests() const { return requests_.size(); }
  std::size_t open_attempts() const { return attempts_.open_attempts(); }
  /// Number of requests queued in a pool.
  std::size_t queued_requests(int pool) const {
    return pools_.at(pool).dispatcher().queued_requests();
  }

 private:
  const scheduler::Settings& settings() const { return pools_.settings(); }
  ClassAnswerCounts& answer_counts_of(const Job& job) {
    return *answer_counts_.at(static_cast<std::size_t>(job.class_index));
  }
  void execute(const scheduler::Action& action);
  void on_handled(const scheduler::Event& event);
  void complete_reroute(RequestId id);
  void reject_at_once(const Job& job, ResponseSink& sink);
  void admit(RequestId id, Request& request);
  void send(const scheduler::SendAttempt& send);
  void send_to_peer(const scheduler::SendPeerMessage& message);
  void cancel(AttemptRef ref, bool has_timed_out);
  void fail(RequestId id);
  void finish(RequestId id, FinalAnswer answer);
  void count_answer(const Job& job, FinalAnswer::Kind kind);
  void report_outcome(const Request& request, RequestOutcome outcome);

  Limits limits_;
  TimerPort& timers_;
  Counters& counters_;
  PoolDispatchers pools_;
  RequestTable requests_;
  AttemptTracker attempts_;
  std::vector<ClassAnswerCounts*> answer_counts_;  // by class number
  PoolSelector* selector_ = nullptr;
  RequestFilter* filter_ = nullptr;
  EndpointPort* endpoints_ = nullptr;
  invariants::Monitor* monitor_ = nullptr;
  PeerSender* peers_ = nullptr;
  std::function<void(const std::string&)> send_to_sibling_;
  operation_guard::RefusalCounts refusals_;
  TimePoint shutdown_deadline_ = TimePoint::max();
  std::size_t pending_ = 0;
};

}  // namespace keelflow
