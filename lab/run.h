// One run of an experiment: stand-ins in this process, real nodes beside it, in real time.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "plan.h"

namespace keelflow::lab {

struct RunSettings {
  std::string program;  // the node
  std::uint64_t seed = 1;
  bool live = false;  // a line a second
  bool keep = false;  // the folder with logs and settings
};

struct Outcome {
  std::map<std::string, double> metrics;  // docs/operators/lab.md lists them
  std::vector<std::string> breaches;      // of the rules, the first few
  std::vector<std::string> missed;        // expectations that do not hold
  std::vector<std::pair<double, double>> seconds;
  nlohmann::json nodes;  // the last status of each
  bool good() const { return missed.empty(); }
};

Outcome run(const Plan& plan, const RunSettings& settings);
nlohmann::json to_json(const Outcome& outcome);
Outcome from_json(const nlohmann::json& json);

}  // namespace keelflow::lab
