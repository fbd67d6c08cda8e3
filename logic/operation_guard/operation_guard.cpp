#include "operation_guard/operation_guard.h"

#include <cassert>

namespace keelflow::operation_guard {

std::string_view to_string(Operation operation) {
  constexpr std::array<std::string_view, kOperationCount> kNames = {"send", "repeat", "close",
                                                                    "start"};
  return kNames[static_cast<std::size_t>(operation)];
}

std::string_view to_string(Reason reason) {
  constexpr std::array<std::string_view, kReasonCount> kNames = {"none",
                                                                 "list-lease-expired",
                                                                 "endpoint-not-ready",
                                                                 "endpoint-moved",
                                                                 "deadline-passed",
                                                                 "window-over",
                                                                 "client-gone",
                                                                 "may-have-run",
                                                                 "attempt-out",
                                                                 "request-in-hand",
                                                                 "answer-unsent",
                                                                 "bytes-unread",
                                                                 "process-ended"};
  return kNames[static_cast<std::size_t>(reason)];
}

SendPermit SendVerdict::permit() const {
  assert(allowed());
  return {};
}

SendVerdict may_send(const SendFacts& facts) {
  if (!facts.has_waiting_client)
    return SendVerdict(Reason::client_disconnected);
  if (facts.time_left <= std::chrono::nanoseconds::zero())
    return SendVerdict(Reason::deadline_passed);
  if (!facts.is_in_window)
    return SendVerdict(Reason::window_expired);
  if (!facts.is_endpoint_ready)
    return SendVerdict(Reason::endpoint_not_ready);
  if (!facts.is_address_current)
    return SendVerdict(Reason::endpoint_moved);
  // Checked last: only this condition can become true again, so the caller may wait for it.
  if (!facts.is_list_lease_valid)
    return SendVerdict(Reason::list_lease_expired);
  return SendVerdict(Reason::none);
}

Verdict may_repeat(const RepeatFacts& facts) {
  if (facts.has_earlier_attempt_at_endpoint)
    return Verdict(Reason::attempt_in_flight);
  if (facts.has_earlier_attempt_in_flight && !facts.is_hedging_allowed)
    return Verdict(Reason::attempt_in_flight);
  bool may_have_run = facts.earlier_attempt_may_have_run || facts.has_earlier_attempt_in_flight;
  if (may_have_run && facts.idempotency == scheduler::Idempotency::non_idempotent)
    return Verdict(Reason::may_have_run);
  if (may_have_run && facts.idempotency == scheduler::Idempotency::idempotent_with_key &&
      !facts.is_in_window)
    return Verdict(Reason::window_expired);
  return Verdict(Reason::none);
}

Verdict may_close(const CloseFacts& facts) {
  if (facts.request_unanswered)
    return Verdict(Reason::request_unanswered);
  if (facts.response_unsent)
    return Verdict(Reason::response_unsent);
  if (facts.bytes_unread)
    return Verdict(Reason::bytes_unread);
  return Verdict(Reason::none);
}

Verdict may_start(const StartFacts& facts) {
  if (facts.phase == Phase::ended)
    return Verdict(Reason::process_ended);
  if (!facts.has_waiting_client)
    return Verdict(Reason::client_disconnected);
  return Verdict(Reason::none);
}

}  // namespace keelflow::operation_guard
