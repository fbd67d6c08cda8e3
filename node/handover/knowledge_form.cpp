#include "handover/knowledge_form.h"

#include <nlohmann/json.hpp>

namespace keelflow {

using nlohmann::json;
using reedlb::Knowledge;

json to_json(const Knowledge& k, const Names& names) {
  json out = {{"mean_run", k.fleet.mean_run}, {"crowding", k.fleet.crowding},
              {"classes", json::object()},    {"kinds", json::object()},
              {"zones", json::object()},      {"workers", json::array()}};
  for (std::size_t i = 0; i < k.classes.size() && i < names.classes.size(); ++i) {
    const Knowledge::OfClass& c = k.classes[i];
    if (names.class_of(names.classes[i]) == static_cast<int>(i))
      out["classes"][names.classes[i]] = {
          {"factor", c.factor}, {"hint_sum", c.hint_sum}, {"hint_count", c.hint_count}};
  }
  for (std::size_t i = 0; i < k.kinds.size() && i < names.kinds.size(); ++i)
    out["kinds"][names.kinds[i]] = {{"cores", k.kinds[i].cores}, {"slow", k.kinds[i].slow}};
  for (std::size_t i = 0; i < k.fleet.start_delay.size() && i < names.zones.size(); ++i)
    out["zones"][names.zones[i]] = k.fleet.start_delay[i];
  for (const Knowledge::Seen& w : k.endpoints)
    out["workers"].push_back({{"id", w.endpoint},
                              {"born", w.started_at},
                              {"slow", w.of.slow},
                              {"cap", w.of.cap},
                              {"strikes", w.of.strikes},
                              {"faults", w.of.faults},
                              {"shut_until", w.of.shut_until},
                              {"load", w.load},
                              {"cold_work", w.cold_work}});
  return out;
}

Knowledge from_json(const json& told, const Names& names) {
  Knowledge k;
  k.classes.resize(names.classes.size());
  k.kinds.resize(names.kinds.size());
  k.fleet.start_delay.resize(names.zones.size());
  k.fleet.mean_run = told.at("mean_run").get<double>();
  k.fleet.crowding = told.at("crowding").get<double>();
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
      k.fleet.start_delay[static_cast<std::size_t>(i)] = delay.get<double>();
  for (const json& w : told.at("workers")) {
    Knowledge::Seen seen{w.at("id").get<EndpointId>(),
                         w.at("born").get<double>(),
                         {},
                         w.at("load").get<double>(),
                         w.at("cold_work").get<double>()};
    seen.of = {w.at("slow").get<double>(), w.at("cap").get<double>(), w.at("strikes").get<int>(),
               w.at("faults").get<int>(), w.at("shut_until").get<double>()};
    k.endpoints.push_back(seen);
  }
  return k;
}

}  // namespace keelflow
