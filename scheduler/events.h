/// What a Dispatcher is notified of: one event a call.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "scheduler/learned_state.h"
#include "scheduler/settings.h"

namespace keelflow::scheduler {

using RequestId = std::uint32_t;

/// What discovery says of an endpoint: only ready ones are sent new requests.
enum class EndpointState : std::uint8_t { gone, ready, draining };

/// One endpoint as discovery lists it.
struct EndpointEntry {
  EndpointId endpoint = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  EndpointState state = EndpointState::ready;
  double nominal_capacity = 1;
  Time started_at = 0;  ///< of its present incarnation; 0: long ago
};

/// How much a list says: all from a cache, nothing as the poll failed, what has changed, or all.
enum class ListScope : std::uint8_t { cached, failed, delta, full };

/// The endpoint list, or what has changed of it.
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
  double client_timeout_ms = 0;  ///< until the client gives up
  double hint = 0;               ///< expected running time on a standard core; 0: none given
  double slots = 1;
  double memory = 0;
  double queue_weight = 1;       ///< times the hint: what it is queued by; nothing else counts it
  bool is_client_retry = false;  ///< the client marks it as its own retry
};

/// The response of a request has begun to stream: it cannot be sent again any more.
struct ResponseStreamStarted {
  RequestId request = 0;
};

/// An endpoint has begun to run an attempt.
struct AttemptStarted {
  RequestId request = 0;
  int attempt = 0;
};

/// The client of a request has gone: it needs no answer any more.
struct ClientDisconnected {
  RequestId request = 0;
  /// Unsent, it goes to another Dispatcher with the same TenantQuotas, which asks for its quota
  /// anew.
  bool is_rerouted = false;
};

/// The timer of that id is due; any but the one set last is passed over.
struct TimerFired {
  std::uint64_t id = 0;
};

/// Another dispatcher has sent a message.
struct PeerMessage {
  int peer = 0;  ///< the sender's rank; the own one: the sibling process
  std::string bytes;
};

/// What an endpoint reports of its load; the meaning of each value stands in the settings.
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

/// How an attempt ended, as far as the node can tell.
enum class AttemptResult : std::uint8_t {
  ok,
  error,
  rejected,  ///< by the endpoint, which has not run it
  timeout,
  connect_failed,
  reset,
  cancelled,
  withheld,  ///< nothing of it was sent
};

/// An attempt has ended. It comes once for each that was sent.
struct AttemptFinished {
  RequestId request = 0;
  int attempt = 0;
  AttemptResult result = AttemptResult::ok;
  double elapsed_ms = 0;
  bool request_finished = false;  ///< the request has ended, with this attempt or before
  LoadReport report;
};

/// New settings, which `validate` must have passed. Requests under way keep their class: a number
/// that some of them have must stand for the same class as before, and no list may be shorter. What
/// was learned stays.
struct SettingsChanged {
  Settings settings;
  /// By class: the number it learned under until now (its own: the same class), or -1: it is new.
  std::vector<int> learned_from;
};

/// Whether anything may be sent at present; until the first one comes it may. While not, requests
/// are queued.
struct SendPermission {
  bool is_allowed = true;
};

/// Another process of this same node schedules beside this one. Each is notified (SendPeerMessage,
/// to the own rank) of what the other sends, and counts it as its own where the budgets do.
struct SiblingProcess {
  bool is_present = false;
};

/// Which of all dispatchers are alive, by rank; until the first one comes all are. The living ones
/// split tenants' quotas.
struct MembershipChanged {
  std::vector<bool> is_alive;
};

/// Whose subset an endpoint belongs to.
struct SubsetEntry {
  EndpointId endpoint = 0;
  bool is_own = false;     ///< this dispatcher's
  std::vector<int> peers;  ///< the ranks of the others'
};

/// The subset of endpoints that this Dispatcher prefers, and whom it shares them with. An endpoint
/// that is warming up follows its SlowStartShares instead. Until the first one comes all belong to
/// the subset.
struct SubsetChanged {
  std::vector<SubsetEntry> endpoints;
  bool shares_load = false;  ///< dispatchers that share an endpoint notify one another of its load
};

/// The part of an endpoint's slow-start budget that this Dispatcher may spend.
struct SlowStartShare {
  SubsetEntry subset;   ///< while it is warming up
  Time started_at = 0;  ///< of another incarnation it says nothing
  double fraction = 0;  ///< of the budget of all dispatchers
};

/// The budget of an endpoint that is warming up holds for what all dispatchers send it. Each has a
/// part; until it is notified of it, an even one.
struct SlowStartShares {
  std::vector<SlowStartShare> endpoints;
};

/// Work that may be sent to an endpoint that is warming up until that time, of another dispatcher's
/// part (received: in place of what such a grant had left); or that another one was granted of the
/// own part, which counts as sent then (less than 0: it gave that back).
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
