/// Budget computation for endpoints that are warming up.
#include "scheduler/slow_start.h"

#include <algorithm>

namespace keelflow::scheduler {
namespace {

// The fraction of the budget that is used; the margin covers inaccurate hints and rejected work,
// which also counts.
constexpr double kUsableBudgetFraction = 0.62;
// Bounds on a request's work relative to its hint and on the service time ratio of a kind, which
// limit how far the speed of a kind changes the estimated work.
constexpr double kMinWorkPerHint = 0.9;
constexpr double kMinKindRatio = 0.5;
constexpr double kMaxKindRatio = 4;
// One dispatcher rarely uses all cores of an endpoint, so the nominal capacity is accepted up to
// this multiple of the cores it has observed.
constexpr double kMaxCoresPerObserved = 2;

}  // namespace

void SlowStart::reset(EndpointSlot slot) {
  if (slot >= states_.size())
    states_.resize(slot + std::size_t{1});
  states_[slot] = {};
  states_[slot].fraction = 1.0 / environment_.settings.dispatchers;
}

double SlowStart::weight_at_age(EndpointSlot slot) const {
  const Settings& settings = environment_.settings;
  double least = settings.slow_start_initial_fraction;
  double age = std::max(0.0, environment_.now - endpoints_.at(slot).entry.started_at);
  return least + (1 - least) * age / settings.slow_start_ms;
}

double SlowStart::work_of(EndpointSlot slot, double hint, double calibrated_cost) const {
  double ratio = std::clamp(statistics_.kind_service_time_ratio(endpoints_.at(slot).entry.kind),
                            kMinKindRatio, kMaxKindRatio);
  return std::max(kMinWorkPerHint * hint, std::max(hint, calibrated_cost) * ratio);
}

double SlowStart::granted(const State& state) const {
  return state.granted_until > environment_.now ? state.granted_ms : 0;
}

SlowStartBudget SlowStart::budget(EndpointSlot slot) const {
  const Settings& settings = environment_.settings;
  const State& state = states_[slot];
  const EndpointEntry& entry = endpoints_.at(slot).entry;
  double observed = statistics_.observed_cores(entry.kind);
  double cores = std::clamp(entry.nominal_capacity, observed, kMaxCoresPerObserved * observed);
  double total = kUsableBudgetFraction * settings.overload_multiple * weight(slot) * cores *
                 settings.overload_window_ms;
  double own =
      total * state.fraction - state.sent.sum(environment_.now - settings.overload_window_ms);
  return {own, granted(state), statistics_.mean_running_time_ms()};
}

void SlowStart::spend(EndpointSlot slot, double work_ms) {
  State& state = states_[slot];
  double from_grant = std::min(work_ms, granted(state));
  state.granted_ms -= from_grant;
  record_sent(slot, environment_.now, work_ms - from_grant);
}

void SlowStart::record_sent(EndpointSlot slot, Time when, double work_ms) {
  states_[slot].sent.add(when, work_ms,
                         environment_.now - environment_.settings.overload_window_ms);
}

void SlowStart::on_grant(EndpointSlot slot, const SlowStartGrant& grant) {
  if (!grant.is_received)
    return record_sent(slot, grant.until, grant.work_ms);
  states_[slot].granted_ms = grant.work_ms;
  states_[slot].granted_until = grant.until;
}

double SlowStart::work_in_window(EndpointSlot slot, Time now) const {
  return states_[slot].sent.sum(now - environment_.settings.overload_window_ms);
}

}  // namespace keelflow::scheduler
