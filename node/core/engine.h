// The Engine feeds the decision module and carries out its actions. It keeps the requests and
// attempts that are open and enforces the protocol's limits; it decides nothing and knows no wire.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/ports.h"
#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"
#include "invariants/monitor.h"
#include "operation_guard/operation_guard.h"

namespace keelflow {

class Engine {
 public:
  struct Limits {
    std::size_t most_held = 20000;
    Duration tick{};
  };

  Engine(const scheduler::Settings& settings, std::uint64_t seed, Limits limits, TimerPort& timers,
         const UnixClock& clock, Counters& counters);
  void connect(EndpointPort& endpoints) { endpoints_ = &endpoints; }
  void observe(invariants::Monitor* monitor) { monitor_ = monitor; }
  void peers(PeerSender* peers) {
    peers_ = peers;
  }  // null: what the module would tell them is dropped
  // Pools: each has a lane, a Dispatcher that sees its endpoints and its requests only. There is
  // one from the start.
  void route(PoolSelector* routes) { routes_ = routes; }
  void lanes(int count);  // at least so many
  void screen(RequestFilter* screen) {
    screen_ = screen;
  }  // null: requests go to the module at once
  void screened(RequestId id, const RequestFilter::Decision& said);
  // By class number; whose figures its requests count under.
  void name_classes(const std::vector<std::string>& names);
  // Another process of this node: what the modules tell one another goes through `tell`. Null: it
  // has gone.
  void twin(std::function<void(const std::string&)> tell);
  std::vector<scheduler::LearnedState> knowledge() const;  // by lane
  void learn(const std::vector<scheduler::LearnedState>& knowledge);
  // Settings that a running node takes over. Class numbers in use keep their meaning; `from`: see
  // scheduler::SettingsChanged.
  void retune(const scheduler::Settings& settings, std::vector<int> from, Limits limits);
  bool class_in_use(int class_index) const;
  // While the list of endpoints may not be sent by, requests are held and nothing is sent.
  void allow_sends(bool allowed);
  // Whether its client still waits for its final answer.
  bool client_waits(RequestId id) const;
  const operation_guard::Refusals& refusals() const { return refusals_; }
  void count_refusal(operation_guard::Operation operation, operation_guard::Reason reason) {
    refusals_.count(operation, reason);
  }
  // Requests of that pool that no endpoint was ever sent are routed again.
  void rehome(int pool);

  // From the inbound side. Takes the request over: `asker` hears its final answer, perhaps before
  // this returns, and must live until then or until client_gone. Empty: an open request has that id
  // already.
  std::optional<RequestId> take(Job job, ResponseSink& sink);
  void client_gone(RequestId id);
  // The node will be gone after that: to requests taken from now on it is their latest deadline.
  void answer_all_by(TimePoint last) { last_answer_ = last; }

  // From the outbound side.
  void attempt_started(AttemptRef ref);
  void attempt_progress(AttemptRef ref, double share);
  void attempt_ended(AttemptRef ref, AttemptEnd end);
  void probed(EndpointId endpoint, bool ok, Duration elapsed, const scheduler::LoadReport& report);

  // Which nodes of the tier live, by rank.
  void members(const std::vector<bool>& lives);

  void for_each_subset_entry(
      const std::function<void(int pool, const scheduler::SubsetEntry&)>& look) const;
  void for_each_lease(
      const std::function<void(int pool, const fleet::SlowStartLeases::EndpointLease&,
                               const scheduler::SlowStartBudget&)>& look) const;
  fleet::SlowStartLeases::Statistics lease_statistics() const;  // of all lanes
  void grants(bool on);  // whether nodes grant one another of their parts; else each keeps its own

  // From another node of the tier: to every lane, as each knows its own endpoints only.
  void on_peer_message(int peer, const std::string& bytes);

  // From discovery.
  void destinations(scheduler::EndpointList list, int pool = 0);

  std::size_t pending() const {
    return pending_;
  }                                            // requests whose client still waits for its answer
  bool is_ejected(EndpointId endpoint) const;  // some lane leaves it alone at present
  std::size_t open_requests() const { return by_name_.size(); }
  std::size_t open_attempts() const { return attempts_out_; }
  std::size_t held(int pool) const {
    return lanes_.at(static_cast<std::size_t>(pool))->dispatcher.queued_requests();
  }

 private:
  struct Attempt {
    EndpointId endpoint = 0;
    TimePoint sent;
    TimerId timer = 0;
    bool out = true, started = false, timed_out = false, giving_up = false,
         may_send_callbacks = false, may_have_run = false;
  };
  struct Request {
    Job job;
    ResponseSink* sink = nullptr;  // null once answered or gone
    TimePoint taken, admitted, deadline;
    int pool = 0;
    bool screening = false;  // the module has not seen it yet
    std::vector<Attempt> attempts;
    double queue_weight = 1;
    bool expired = false;  // an attempt ran into its time limit
  };

  struct Lane {
    Lane(const scheduler::Settings& settings, std::uint64_t seed,
         std::shared_ptr<scheduler::TenantQuotas> shares, double started)
        : dispatcher(settings, seed, std::move(shares)),
          homes(settings),
          turns(settings, started) {}
    scheduler::Dispatcher dispatcher;
    fleet::Subsets homes;
    fleet::SlowStartLeases turns;
    TimePoint last_bell{};
  };

  void post(int pool, scheduler::Event event);
  void after(int lane, const scheduler::Event& event);
  void ring(int pool, std::uint64_t name);
  void carry_out(int pool, const scheduler::Action& action);
  scheduler::RequestArrived arrival_of(RequestId id, const Request& request) const;
  void admit(RequestId id, Request& request);
  void tell_end(const Request& request, PoolSelector::End how);
  void count_end(const Request& request, FinalAnswer::Kind kind);
  void send(const scheduler::SendAttempt& send);
  TimePoint write_by(const Request& request) const;
  operation_guard::Verdict may_repeat(const Request& request, EndpointId endpoint) const;
  void recall(AttemptRef ref, bool timed_out);
  void finish(RequestId id, FinalAnswer answer);
  void forget_if_over(RequestId id);
  Attempt* out(AttemptRef ref);

  scheduler::Settings settings_;
  std::uint64_t seed_;
  std::shared_ptr<scheduler::TenantQuotas> shares_ = std::make_shared<scheduler::TenantQuotas>();
  std::vector<std::unique_ptr<Lane>> lanes_;
  std::vector<bool> lives_;  // by rank, as told last; empty: never
  PoolSelector* routes_ = nullptr;
  RequestFilter* screen_ = nullptr;
  Limits limits_;
  std::vector<ClassFigures*> figures_;  // by class number
  TimerPort& timers_;
  const UnixClock& clock_;
  Counters& counters_;
  EndpointPort* endpoints_ = nullptr;
  invariants::Monitor* monitor_ = nullptr;
  PeerSender* peers_ = nullptr;
  std::function<void(const std::string&)> twin_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::string, RequestId> by_name_;  // of all in requests_
  std::deque<std::pair<int, scheduler::Event>> inbox_;
  bool pumping_ = false, grants_ = true, sends_allowed_ = true;
  operation_guard::Refusals refusals_;
  TimePoint last_answer_ = TimePoint::max();
  RequestId next_id_ = 1;
  std::size_t attempts_out_ = 0, pending_ = 0;
};

}  // namespace keelflow
