/// Collection and restoration of each part of a snapshot.
#include "scheduler/state_transfer.h"

namespace keelflow::scheduler {

LearnedState StateTransfer::snapshot(Time now) const {
  LearnedState state;
  state.classes = calibration_.learned();
  state.kinds = statistics_.kinds();
  state.fleet = {statistics_.mean_start_delays(), statistics_.mean_running_time_ms(),
                 congestion_.level()};
  for (EndpointId id : endpoints_.listed()) {
    EndpointSlot slot = *endpoints_.find(id);
    LearnedState::Health health = health_.learned(slot);
    health.service_time_ratio = statistics_.service_time_ratio(slot);
    const EndpointRecord& record = endpoints_.at(slot);
    state.endpoints.push_back({id, record.entry.started_at, health, record.in_flight,
                               slow_start_.work_in_window(slot, now)});
  }
  return state;
}

void StateTransfer::restore(const LearnedState& learned) {
  calibration_.restore(learned.classes);
  statistics_.restore(learned);
  congestion_.restore(learned.fleet.congestion);
  for (const LearnedState::Endpoint& of_endpoint : learned.endpoints)
    restore(of_endpoint);
}

void StateTransfer::restore(const LearnedState::Endpoint& learned) {
  auto slot = endpoints_.find(learned.endpoint);
  if (!slot || endpoints_.at(*slot).entry.started_at != learned.started_at)
    return;
  health_.restore(*slot, learned.health);
  statistics_.restore(*slot, learned.health.service_time_ratio);
  // The previous process's slots in flight count as a peer's.
  Time report_until = environment_.now + kReportLifetimeMs;
  peer_load_.set(*slot, environment_.settings.rank, learned.in_flight, report_until);
  slow_start_.record_sent(*slot, environment_.now, learned.slow_start_work_ms);
  for (Time when : {learned.health.ejected_until, report_until})
    environment_.timers.add(when, TimerPurpose::reindex, learned.endpoint);
  availability_.refresh(*slot);
}

}  // namespace keelflow::scheduler
