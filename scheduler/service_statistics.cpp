/// Updates of the running time and start delay averages.
#include "scheduler/service_statistics.h"

#include <algorithm>

#include "scheduler/cost_calibration.h"
#include "scheduler/hashing.h"

namespace keelflow::scheduler {
namespace {

constexpr double kEndpointRatioEmaStep = 0.2;  // EMA step of an endpoint's service time ratio
constexpr double kMinServiceTimeRatio = 0.25;
constexpr double kMaxServiceTimeRatio = 4;
// The start timeout is the sum of these multiples of the zone's average start delay and of the
// tick, and of a fixed allowance.
constexpr double kStartTimeoutMeanDelays = 3;
constexpr double kStartTimeoutTicks = 4;
constexpr double kStartTimeoutAllowanceMs = 10;

}  // namespace

void ServiceStatistics::resize(const Settings& settings) {
  kinds_.resize(to_index(settings.kinds));
  mean_start_delays_.resize(to_index(settings.zones));
}

void ServiceStatistics::reset(EndpointSlot slot, int kind) {
  if (slot >= ratios_.size())
    ratios_.resize(slot + std::size_t{1}, 1);
  ratios_[slot] = kinds_[to_index(kind)].service_time_ratio;
}

double ServiceStatistics::kind_service_time_ratio(int kind) const {
  return kinds_[to_index(kind)].service_time_ratio;
}

void ServiceStatistics::record_ratio(EndpointSlot slot, int kind, double ratio,
                                     bool is_warming_up) {
  ratio = std::clamp(ratio, kMinServiceTimeRatio, kMaxServiceTimeRatio);
  ratios_[slot] += kEndpointRatioEmaStep * (ratio - ratios_[slot]);
  if (is_warming_up)
    return;
  double& of_kind = kinds_[to_index(kind)].service_time_ratio;
  of_kind += kEmaStep * (ratio - of_kind);
}

double ServiceStatistics::observed_cores(int kind) const {
  return kinds_[to_index(kind)].observed_cores;
}

void ServiceStatistics::record_concurrent_attempts(int kind, int attempts) {
  double& cores = kinds_[to_index(kind)].observed_cores;
  cores = std::max(cores, static_cast<double>(attempts));
}

void ServiceStatistics::record_run(double run_ms) {
  mean_running_time_ms_ = mean_running_time_ms_ > 0
                              ? mean_running_time_ms_ + kEmaStep * (run_ms - mean_running_time_ms_)
                              : run_ms;
}

double ServiceStatistics::start_timeout(int zone, double tick_ms) const {
  return kStartTimeoutMeanDelays * mean_start_delays_[to_index(zone)] +
         kStartTimeoutTicks * tick_ms + kStartTimeoutAllowanceMs;
}

void ServiceStatistics::record_start_delay(int zone, double delay_ms) {
  double& average = mean_start_delays_[to_index(zone)];
  average = average > 0 ? average + kEmaStep * (delay_ms - average) : delay_ms;
}

void ServiceStatistics::restore(const LearnedState& learned) {
  for (std::size_t i = 0; i < kinds_.size(); ++i)
    kinds_[i] = learned.kinds.at(i);
  mean_start_delays_ = learned.fleet.start_delay_ms;
  mean_running_time_ms_ = learned.fleet.mean_run_ms;
}

}  // namespace keelflow::scheduler
