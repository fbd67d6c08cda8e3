/// \file
/// The final check before a request is sent, repeated or started, or a connection is closed. Every
/// code path checks right before its system call. The scheduler decides which endpoint a request
/// goes to, whether it is retried and what is rejected; the guard can only forbid.
///
/// The check functions are pure: the caller passes typed facts and gets a typed verdict. They
/// report no errors and have no state.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::operation_guard {

/// The operations that are checked: sending a request's bytes to an endpoint, starting a further
/// attempt of a request, closing a client's connection, starting to process a request.
enum class Operation : std::uint8_t { send, repeat, close, start };
constexpr std::size_t kOperationCount = static_cast<std::size_t>(Operation::start) + 1;

/// Why an operation is forbidden.
enum class Reason : std::uint8_t {
  none,                 ///< the operation is allowed
  list_lease_expired,   ///< the platform may regard a newer list as received
  endpoint_not_ready,   ///< the endpoint drains, was removed, or is disabled by an override
  endpoint_moved,       ///< the connection is to a former address of the endpoint
  deadline_passed,      ///< the client's timeout has passed
  window_expired,       ///< endpoints may no longer recognise a retry as a duplicate
  client_disconnected,  ///< the client has disconnected or has its response
  may_have_run,         ///< a non-idempotent request may have run already
  attempt_in_flight,    ///< another attempt has not ended and was not abandoned
  request_unanswered,   ///< the connection has a request without a response
  response_unsent,      ///< bytes of a response are still to be written
  bytes_unread,         ///< the client has sent bytes that were not read
  process_ended,        ///< the process accepts no new requests
};
constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::process_ended) + 1;

/// The names that the log and /status show. They are part of the formats of the log and of /status,
/// and do not change when an enumerator is renamed.
std::string_view to_string(Operation operation);
std::string_view to_string(Reason reason);

/// The state of this process.
enum class Phase : std::uint8_t { starting, serving, draining, ended };

/// The facts checked before the first or the last byte of a request is written to an endpoint.
struct SendFacts {
  bool is_list_lease_valid = false;
  bool is_endpoint_ready = false;
  bool is_address_current = false;  ///< the connection is to the endpoint's present address
  bool has_waiting_client = false;
  bool is_in_window = false;             ///< endpoints still recognise a retry as a duplicate
  std::chrono::nanoseconds time_left{};  ///< until the client's timeout passes
};

/// The facts checked before a further attempt of a request starts.
struct RepeatFacts {
  scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
  bool is_hedging_allowed = false;               ///< the settings allow hedged requests
  bool has_earlier_attempt_in_flight = false;    ///< an earlier attempt is in flight
  bool has_earlier_attempt_at_endpoint = false;  ///< such an attempt is at the same endpoint
  bool earlier_attempt_may_have_run = false;     ///< an earlier attempt that has ended may have run
  bool is_in_window = false;  ///< endpoints still recognise a retry of the earlier attempts
};

/// The facts checked before this process closes a client's connection on its own initiative.
struct CloseFacts {
  bool request_unanswered = false;
  bool response_unsent = false;
  bool bytes_unread = false;
};

/// The facts checked before a request is accepted.
struct StartFacts {
  Phase phase = Phase::serving;
  bool has_waiting_client = true;
};

class SendPermit;

/// Whether an operation is allowed, and why not.
class Verdict {
 public:
  constexpr explicit Verdict(Reason reason) : reason_(reason) {}
  constexpr bool allowed() const { return reason_ == Reason::none; }
  constexpr Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

/// The verdict on a send. It is the only source of a `SendPermit`.
class SendVerdict : public Verdict {
 public:
  /// Precondition: `allowed()`.
  SendPermit permit() const;

 private:
  friend SendVerdict may_send(const SendFacts& facts);
  using Verdict::Verdict;
};

/// Proof that a send was checked and allowed. ClientConnection requires one for each byte of a
/// request that goes to an endpoint.
class SendPermit {
 private:
  friend class SendVerdict;
  SendPermit() = default;
};

SendVerdict may_send(const SendFacts& facts);
Verdict may_repeat(const RepeatFacts& facts);
Verdict may_close(const CloseFacts& facts);
Verdict may_start(const StartFacts& facts);

/// Counts how often each operation was forbidden, by reason.
class RefusalCounts {
 public:
  void count(Operation operation, Reason reason) {
    ++counts_[index(operation)][static_cast<std::size_t>(reason)];
  }
  std::uint64_t of(Operation operation, Reason reason) const {
    return counts_[index(operation)][static_cast<std::size_t>(reason)];
  }

 private:
  static std::size_t index(Operation operation) { return static_cast<std::size_t>(operation); }

  std::array<std::array<std::uint64_t, kReasonCount>, kOperationCount> counts_{};
};

}  // namespace keelflow::operation_guard
