#include "handover/learned_state_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace keelflow {
namespace {

using nlohmann::json;
using scheduler::LearnedState;

// The previous and the next release use the same keys, so they must not change.
constexpr const char* kMeanRunMs = "mean_run";
constexpr const char* kCongestion = "crowding";
constexpr const char* kClasses = "classes";
constexpr const char* kFactor = "factor";
constexpr const char* kHintSum = "hint_sum";
constexpr const char* kHintCount = "hint_count";
constexpr const char* kKinds = "kinds";
constexpr const char* kObservedCores = "cores";
constexpr const char* kServiceTimeRatio = "slow";  // used for kinds and for endpoints
constexpr const char* kStartDelays = "zones";
constexpr const char* kEndpoints = "workers";
constexpr const char* kEndpoint = "id";
constexpr const char* kStartedAt = "born";
constexpr const char* kConcurrencyLimit = "cap";
constexpr const char* kOutlierSigns = "strikes";
constexpr const char* kConsecutiveFailures = "faults";
constexpr const char* kEjectedUntil = "shut_until";
constexpr const char* kInFlight = "load";
constexpr const char* kSlowStartWorkMs = "cold_work";

double number_at(const json& form, const char* key) {
  return form.at(key).get<double>();
}

json classes_to_json(const LearnedState& learned, const Names& names) {
  json out = json::object();
  for (std::size_t i = 0; i < learned.classes.size() && i < names.classes.size(); ++i) {
    const LearnedState::Calibration& calibration = learned.classes[i];
    bool is_current = names.class_of(names.classes[i]) == static_cast<int>(i);
    if (is_current)
      out[names.classes[i]] = {{kFactor, calibration.factor},
                               {kHintSum, calibration.hint_sum},
                               {kHintCount, calibration.hint_count}};
  }
  return out;
}

json kinds_to_json(const LearnedState& learned, const Names& names) {
  json out = json::object();
  for (std::size_t i = 0; i < learned.kinds.size() && i < names.kinds.size(); ++i)
    out[names.kinds[i]] = {{kObservedCores, learned.kinds[i].observed_cores},
                           {kServiceTimeRatio, learned.kinds[i].service_time_ratio}};
  return out;
}

json start_delays_to_json(const LearnedState& learned, const Names& names) {
  const auto& delays = learned.fleet.start_delay_ms;
  json out = json::object();
  for (std::size_t i = 0; i < delays.size() && i < names.zones.size(); ++i)
    out[names.zones[i]] = delays[i];
  return out;
}

json endpoint_to_json(const LearnedState::Endpoint& endpoint) {
  return {{kEndpoint, endpoint.endpoint},
          {kStartedAt, endpoint.started_at},
          {kServiceTimeRatio, endpoint.health.service_time_ratio},
          {kConcurrencyLimit, endpoint.health.concurrency_limit},
          {kOutlierSigns, endpoint.health.outlier_signs},
          {kConsecutiveFailures, endpoint.health.consecutive_failures},
          {kEjectedUntil, endpoint.health.ejected_until},
          {kInFlight, endpoint.in_flight},
          {kSlowStartWorkMs, endpoint.slow_start_work_ms}};
}

LearnedState::Endpoint endpoint_from_json(const json& form) {
  LearnedState::Endpoint endpoint;
  endpoint.endpoint = form.at(kEndpoint).get<EndpointId>();
  endpoint.started_at = number_at(form, kStartedAt);
  endpoint.in_flight = number_at(form, kInFlight);
  endpoint.slow_start_work_ms = number_at(form, kSlowStartWorkMs);
  endpoint.health.service_time_ratio = number_at(form, kServiceTimeRatio);
  endpoint.health.concurrency_limit = number_at(form, kConcurrencyLimit);
  endpoint.health.outlier_signs = form.at(kOutlierSigns).get<int>();
  endpoint.health.consecutive_failures = form.at(kConsecutiveFailures).get<int>();
  endpoint.health.ejected_until = number_at(form, kEjectedUntil);
  return endpoint;
}

}  // namespace

json to_json(const LearnedState& learned, const Names& names) {
  json endpoints = json::array();
  for (const LearnedState::Endpoint& endpoint : learned.endpoints)
    endpoints.push_back(endpoint_to_json(endpoint));
  json out = json::object();
  out[kMeanRunMs] = learned.fleet.mean_run_ms;
  out[kCongestion] = learned.fleet.congestion;
  out[kClasses] = classes_to_json(learned, names);
  out[kKinds] = kinds_to_json(learned, names);
  out[kStartDelays] = start_delays_to_json(learned, names);
  out[kEndpoints] = std::move(endpoints);
  return out;
}

LearnedState from_json(const json& form, const Names& names) {
  LearnedState learned;
  learned.classes.resize(names.classes.size());
  learned.kinds.resize(names.kinds.size());
  learned.fleet.start_delay_ms.resize(names.zones.size());
  learned.fleet.mean_run_ms = number_at(form, kMeanRunMs);
  learned.fleet.congestion = number_at(form, kCongestion);
  for (const auto& [name, calibration] : form.at(kClasses).items())
    if (int i = names.class_of(name); i >= 0)
      learned.classes[static_cast<std::size_t>(i)] = {number_at(calibration, kFactor),
                                                      number_at(calibration, kHintSum),
                                                      number_at(calibration, kHintCount)};
  for (const auto& [name, kind] : form.at(kKinds).items())
    if (int i = Names::place(names.kinds, name); i >= 0)
      learned.kinds[static_cast<std::size_t>(i)] = {number_at(kind, kObservedCores),
                                                    number_at(kind, kServiceTimeRatio)};
  for (const auto& [name, delay] : form.at(kStartDelays).items())
    if (int i = Names::place(names.zones, name); i >= 0)
      learned.fleet.start_delay_ms[static_cast<std::size_t>(i)] = delay.get<double>();
  for (const json& endpoint : form.at(kEndpoints))
    learned.endpoints.push_back(endpoint_from_json(endpoint));
  return learned;
}

}  // namespace keelflow
