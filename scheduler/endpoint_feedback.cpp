/// Handling of load signals from this dispatcher's attempts and from peers.
#include "scheduler/endpoint_feedback.h"

namespace keelflow::scheduler {
namespace {

// Longest random delay before this dispatcher uses a capacity slot that a peer has released.
constexpr double kMaxYieldMs = 40;

}  // namespace

void EndpointFeedback::record_success(EndpointSlot slot) {
  health_.record_success(slot, availability_.occupied(slot));
  availability_.refresh(slot);
}

void EndpointFeedback::eject(EndpointSlot slot, bool is_fault) {
  if (is_fault) {
    health_.eject_as_outlier(slot, statistics_.mean_running_time_ms());
  } else {
    health_.eject_as_overloaded(slot, statistics_.mean_running_time_ms());
  }
  environment_.timers.add(health_.ejected_until(slot), TimerPurpose::reindex,
                          endpoints_.at(slot).entry.endpoint);
  availability_.refresh(slot);
}

void EndpointFeedback::apply(EndpointSlot slot, LoadSignal signal) {
  switch (signal) {
    case LoadSignal::none:
    case LoadSignal::sent:
      return;
    case LoadSignal::served:
      health_.clear_failures(slot);
      return record_success(slot);
    case LoadSignal::rejected:
    case LoadSignal::late_start:
      return eject(slot, false);
    case LoadSignal::failed:
      health_.record_failure(slot);
      return eject(slot, true);
    case LoadSignal::unreachable:
      return eject(slot, true);
  }
}

void EndpointFeedback::on_timely_start(EndpointSlot slot) {
  record_success(slot);
}

void EndpointFeedback::on_late_start(EndpointSlot slot, bool is_fault) {
  eject(slot, is_fault);
  notify(slot, LoadSignal::late_start);
}

void EndpointFeedback::notify(EndpointSlot slot, LoadSignal signal, double service_time_ratio,
                              double work_ms) const {
  const EndpointRecord& record = endpoints_.at(slot);
  std::string message = encode({record.entry.endpoint, incarnation_tag(record.entry),
                                record.in_flight, signal, service_time_ratio, work_ms});
  if (has_sibling_)
    environment_.emit_action(SendPeerMessage{environment_.settings.rank, message});
  if (!subset_.shares_load())
    return;
  for (int peer : subset_.entry(slot, slow_start_.is_warming_up(slot)).peers)
    environment_.emit_action(SendPeerMessage{peer, message});
}

void EndpointFeedback::apply_details(EndpointSlot slot, const LoadUpdate& update, int peer) {
  bool is_from_sibling = peer == environment_.settings.rank;
  if (update.signal == LoadSignal::sent && is_from_sibling)
    slow_start_.record_sent(slot, environment_.now, update.work_ms);
  if (update.signal == LoadSignal::served)
    statistics_.record_ratio(slot, endpoints_.at(slot).entry.kind, update.service_time_ratio,
                             slow_start_.is_warming_up(slot));
}

void EndpointFeedback::on_peer_message(const PeerMessage& message) {
  auto update = decode_load_update(message.bytes);
  auto slot = update ? endpoints_.find(update->endpoint) : std::nullopt;
  if (!slot || update->incarnation_tag != incarnation_tag(endpoints_.at(*slot).entry))
    return;
  bool was_full = availability_.is_full(*slot);
  Time report_until = environment_.now + kReportLifetimeMs;
  peer_load_.set(*slot, message.peer, update->in_flight, report_until);
  apply_details(*slot, *update, message.peer);
  apply(*slot, update->signal);
  // All dispatchers that wait for a slot are notified of its release at the same time, so each
  // waits for a random delay to avoid sending to the slot simultaneously.
  if (was_full)
    health_.eject_until(*slot, environment_.now + kMaxYieldMs * environment_.random());
  environment_.timers.add(was_full ? health_.ejected_until(*slot) : report_until,
                          TimerPurpose::reindex, update->endpoint);
  availability_.refresh(*slot);
}

}  // namespace keelflow::scheduler
