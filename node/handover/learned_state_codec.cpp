#include "handover/learned_state_codec.h"

#include <nlohmann/json.hpp>

namespace keelflow {

using nlohmann::json;
using scheduler::LearnedState;

json to_json(const LearnedState& k, const Names& names) {
  json out = {{"mean_run", k.fleet.mean_run_ms}, {"crowding", k.fleet.congestion},
              {"classes", json::object()},       {"kinds", json::object()},
              {"zones", json::object()},         {"workers", json::array()}};
  for (std::size_t i = 0; i < k.classes.size() && i < names.classes.size(); ++i) {
    const LearnedState::Calibration& c = k.classes[i];
    if (names.class_of(names.classes[i]) == static_cast<int>(i))
      out["classes"][names.classes[i]] = {
          {"factor", c.factor}, {"hint_sum", c.hint_sum}, {"hint_count", c.hint_count}};
  }
  for (std::size_t i = 0; i < k.kinds.size() && i < names.kinds.size(); ++i)
    out["kinds"][names.kinds[i]] = {{"cores", k.kinds[i].observed_cores},
                                    {"slow", k.kinds[i].service_time_ratio}};
  for (std::size_t i = 0; i < k.fleet.start_delay_ms.size() && i < names.zones.size(); ++i)
    out["zones"][names.zones[i]] = k.fleet.start_delay_ms[i];
  for (const LearnedState::Endpoint& w : k.endpoints)
    out["workers"].push_back({{"id", w.endpoint},
                              {"born", w.started_at},
                              {"slow", w.health.service_time_ratio},
                              {"cap", w.health.concurrency_limit},
                              {"strikes", w.health.outlier_signs},
                              {"faults", w.health.consecutive_failures},
                              {"shut_until", w.health.ejected_until},
                              {"load", w.in_flight},
                              {"cold_work", w.slow_start_work_ms}});
  return out;
}

LearnedState from_json(const json& told, const Names& names) {
  LearnedState k;
  k.classes.resize(names.classes.size());
  k.kinds.resize(names.kinds.size());
  k.fleet.start_delay_ms.resize(names.zones.size());
  k.fleet.mean_run_ms = told.at("mean_run").get<double>();
  k.fleet.congestion = told.at("crowding").get<double>();
  for (const auto& [name, c] : told.at("classes").items())
    if (int i = names.class_of(name); i >= 0)
      k.classes[static_cast<std::size_t>(i)] = {c.at("factor").get<double>(),
                                                c.at("hint_sum").get<double>(),
                                                c.at("hint_count").get<double>()};
  for (const auto& [name, kind] : told.at("kinds").items())
    if (int i = Names::place(names.kinds, name); i >= 0)
      k.kinds[static_cast<std::size_t>(i)] = {kind.at("cores").get<double>(),
                                              kind.at("slow").get<double>()};
  for (const auto& [name, delay] : told.at("zones").items())
    if (int i = Names::place(names.zones, name); i >= 0)
      k.fleet.start_delay_ms[static_cast<std::size_t>(i)] = delay.get<double>();
  for (const json& w : told.at("workers")) {
    LearnedState::Endpoint seen{w.at("id").get<EndpointId>(),
                                w.at("born").get<double>(),
                                {},
                                w.at("load").get<double>(),
                                w.at("cold_work").get<double>()};
    seen.health = {w.at("slow").get<double>(), w.at("cap").get<double>(),
                   w.at("strikes").get<int>(), w.at("faults").get<int>(),
                   w.at("shut_until").get<double>()};
    k.endpoints.push_back(seen);
  }
  return k;
}

}  // namespace keelflow
