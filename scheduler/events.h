/// The events that a Dispatcher handles, one per call.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "scheduler/learned_state.h"
#include "scheduler/settings.h"

namespace keelflow::scheduler {

using RequestId = std::uint32_t;

/// The state of an endpoint according to discovery; only ready endpoints receive new requests.
enum class EndpointState : std::uint8_t { gone, ready, draining };

/// One endpoint as discovery lists it.
struct EndpointEntry {
  EndpointId endpoint = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;  ///< number of a group of endpoints, see DeduplicationScope
  EndpointState state = EndpointState::ready;
  double nominal_capacity = 1;
  Time started_at = 0;  ///< start of the current incarnation; 0: long ago
};

/// What an endpoint list contains: all endpoints from a cache, nothing because the poll failed,
/// only changes, or all endpoints.
enum class ListScope : std::uint8_t { cached, failed, delta, full };

/// The endpoint list or changes to it.
struct EndpointList {
  ListScope scope = ListScope::full;
  std::vector<EndpointEntry> entries;
};

/// A client has sent a request.
struct RequestArrived {
  RequestId request = 0;
  int class_index = 0;
  int tenant = 0;
  std::uint64_t key = 0;         ///< requests with the same key share data at endpoints; 0: none
  double client_timeout_ms = 0;  ///< time until the client gives up
  double hint = 0;               ///< expected running time on a standard core, in ms; 0: no hint
  double slots = 1;
  double memory = 0;
  double queue_weight = 1;       ///< factor on the hint for the queue order only
  bool is_client_retry = false;  ///< the client marked the request as a retry
};

/// The response to a request has begun to stream, so the request cannot be sent again.
struct ResponseStreamStarted {
  RequestId request = 0;
};

/// An endpoint has started to run an attempt.
struct AttemptStarted {
  RequestId request = 0;
  int attempt = 0;  ///< number of the attempt, see SendAttempt
};

/// The client of a request has disconnected, so the request needs no answer.
struct ClientDisconnected {
  RequestId request = 0;
  /// The request moves unsent to another Dispatcher with the same TenantQuotas, which takes a quota
  /// token for it again.
  bool is_rerouted = false;
};

/// The timer with this id has fired; ids other than that of the last timer set are ignored.
struct TimerFired {
  std::uint64_t id = 0;
};

/// Another dispatcher has sent a message.
struct PeerMessage {
  int peer = 0;  ///< the sender's rank; this dispatcher's own rank: the sibling process
  std::string bytes;
};

/// The load reported by an endpoint; Settings::report defines the meaning of each value.
struct LoadReport {
  int count = 0;
  float values[4] = {};
};

/// The answer to SendHealthCheck, or its failure.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  bool ok = false;
  double elapsed_ms = 0;
  LoadReport report;
};

/// The outcome of an attempt, as far as the node can tell.
enum class AttemptResult : std::uint8_t {
  ok,
  error,
  rejected,  ///< the endpoint refused the attempt and has not run it
  timeout,
  connect_failed,
  reset,
  cancelled,
  withheld,  ///< nothing was sent to the endpoint
};

/// An attempt has ended. Occurs exactly once for each attempt sent.
struct AttemptFinished {
  RequestId request = 0;
  int attempt = 0;  ///< number of the attempt, see SendAttempt
  AttemptResult result = AttemptResult::ok;
  double elapsed_ms = 0;
  bool request_finished = false;  ///< the request ended with this attempt or earlier
  LoadReport report;
};

/// Replaces the settings; `validate` must have accepted them. Requests in progress keep their
/// class, so a class number used by any of them must denote the same class as before, and no list
/// may be shorter than before. Learned state is kept.
struct SettingsChanged {
  Settings settings;
  /// For each class, its previous number (equal to the new one if unchanged), or -1 for a new
  /// class.
  std::vector<int> learned_from;
};

/// Allows or forbids sending; sending is allowed until the first such event. Requests are queued
/// while it is forbidden.
struct SendPermission {
  bool is_allowed = true;
};

/// Whether another process of this node schedules concurrently. Each process notifies the other of
/// what it sends (SendPeerMessage to its own rank), and counts the other's work against its
/// slow-start budgets.
struct SiblingProcess {
  bool is_present = false;
};

/// Which dispatchers are alive, by rank; all are until the first such event. Tenants' quotas are
/// split among the live dispatchers.
struct MembershipChanged {
  std::vector<bool> is_alive;
};

/// The dispatchers whose subsets include an endpoint.
struct SubsetEntry {
  EndpointId endpoint = 0;
  bool is_own = false;     ///< the endpoint is in this dispatcher's subset
  std::vector<int> peers;  ///< ranks of the other dispatchers whose subsets include it
};

/// The subset of endpoints that this Dispatcher prefers, and the dispatchers it shares them with.
/// For endpoints that are warming up, SlowStartShares applies instead. Until the first such event,
/// all endpoints belong to the subset.
struct SubsetChanged {
  std::vector<SubsetEntry> endpoints;
  bool shares_load = false;  ///< dispatchers that share an endpoint notify one another of its load
};

/// The share of an endpoint's slow-start budget that this Dispatcher may spend.
struct SlowStartShare {
  SubsetEntry subset;   ///< applies while the endpoint is warming up
  Time started_at = 0;  ///< identifies the incarnation; ignored for any other one
  double fraction = 0;  ///< fraction of the budget of all dispatchers
};

/// The shares of this Dispatcher in the slow-start budgets. The budget of an endpoint covers the
/// work that all dispatchers send to it. Each dispatcher has a share, which is an even split until
/// this event sets it.
struct SlowStartShares {
  std::vector<SlowStartShare> endpoints;
};

/// A transfer of slow-start budget between dispatchers. A received grant allows `work_ms` of
/// another dispatcher's share to be sent before `until` and replaces the remainder of an earlier
/// grant. A grant given to another dispatcher counts against this dispatcher's share as work sent
/// at `until`; negative work is returned budget.
struct SlowStartGrant {
  EndpointId endpoint = 0;
  Time started_at = 0;
  double work_ms = 0;
  Time until = 0;
  bool is_received = false;
};

using Event =
    std::variant<EndpointList, RequestArrived, ResponseStreamStarted, AttemptStarted,
                 ClientDisconnected, TimerFired, PeerMessage, HealthCheckResult, AttemptFinished,
                 SettingsChanged, LearnedState, SiblingProcess, MembershipChanged, SubsetChanged,
                 SlowStartShares, SlowStartGrant, SendPermission>;

}  // namespace keelflow::scheduler
