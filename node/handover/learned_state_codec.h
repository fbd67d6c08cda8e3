// What the module has learned, as the elder process tells it: by name, as the other may number
// things differently.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "discovery/host_list.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

nlohmann::json to_json(const scheduler::LearnedState& knowledge, const Names& names);
// Of what is not told there the defaults of a fresh module. Throws what nlohmann-json throws.
scheduler::LearnedState from_json(const nlohmann::json& told, const Names& names);

}  // namespace keelflow
