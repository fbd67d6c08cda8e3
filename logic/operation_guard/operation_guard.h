// The last word on four operations: may this be sent, repeated, closed, started now? Every path
// asks right before its system call. The decision module keeps which endpoint, whether to try again
// and what is refused; the guard can only forbid. Pure: typed facts in, a typed verdict out.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "scheduler/dispatcher.h"

namespace keelflow::operation_guard {

enum class Operation : std::uint8_t { send, repeat, close, start };

enum class Reason : std::uint8_t {
  none,                // it is allowed
  list_lease_expired,  // a newer list may count as received
  endpoint_not_ready,  // it drains, was removed, or is overridden
  endpoint_moved,      // the connection is to an address that it has left
  deadline_passed,     // the client waits no longer
  window_over,         // those who would know a repeat may have forgotten the first
  client_gone,         // or answered already
  may_have_run,        // work that must not run twice
  attempt_out,         // another attempt has neither ended nor been given up
  request_in_hand,     // the connection has a request that is not answered
  answer_unsent,       // bytes of an answer wait
  bytes_unread,        // the peer has sent something that was not read
  process_ended,       // nothing new is taken
};
constexpr std::size_t kReasons = static_cast<std::size_t>(Reason::process_ended) + 1;

std::string_view to_string(Operation operation);
std::string_view to_string(Reason reason);

enum class Phase : std::uint8_t { starting, serving, draining, ended };

struct SendFacts {  // the first byte, or the last one, of a request to an endpoint
  bool list_lease_valid = false;
  bool endpoint_ready = false;
  bool same_address = false;
  bool client_waits = false;
  bool in_window = false;
  std::chrono::nanoseconds time_left{};
};

struct RepeatFacts {  // a further attempt of a request
  scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
  bool parallel_allowed = false;
  bool earlier_out = false;        // some earlier attempt
  bool earlier_out_there = false;  // one at the same endpoint
  bool earlier_may_have_run = false;
  bool in_window = false;  // of those that may have run
};

struct CloseFacts {  // of a client's connection, by this process' own choice
  bool request_in_hand = false, answer_unsent = false, bytes_unread = false;
};

struct StartFacts {  // taking a request
  Phase phase = Phase::serving;
  bool client_waits = true;
};

class SendPermit;

// What was decided and why. A permit to write can be had from an allowed send only.
class Verdict {
 public:
  constexpr explicit Verdict(Reason reason) : reason_(reason) {}
  constexpr bool allowed() const { return reason_ == Reason::none; }
  constexpr Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

class SendVerdict : public Verdict {
 public:
  SendPermit permit() const;  // only where `allowed`

 private:
  friend SendVerdict may_send(const SendFacts& facts);
  using Verdict::Verdict;
};

// Without one no byte of a request goes to an endpoint: ClientConnection asks for it.
class SendPermit {
 private:
  friend class SendVerdict;
  SendPermit() = default;
};

SendVerdict may_send(const SendFacts& facts);
Verdict may_repeat(const RepeatFacts& facts);
Verdict may_close(const CloseFacts& facts);
Verdict may_start(const StartFacts& facts);

// How often each operation was forbidden, by reason.
class Refusals {
 public:
  void count(Operation operation, Reason reason) {
    ++counts_[index(operation)][static_cast<std::size_t>(reason)];
  }
  std::uint64_t of(Operation operation, Reason reason) const {
    return counts_[index(operation)][static_cast<std::size_t>(reason)];
  }

 private:
  static constexpr std::size_t kOperations = 4;
  static std::size_t index(Operation operation) { return static_cast<std::size_t>(operation); }
  std::array<std::array<std::uint64_t, kReasons>, kOperations> counts_{};
};

}  // namespace keelflow::operation_guard
