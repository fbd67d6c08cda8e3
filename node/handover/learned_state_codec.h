/// \file
/// The JSON encoding in which the old process sends its scheduler's learned state to the new one.
/// Entries are keyed by name, as the other process may number them differently.
/// docs/design/handover.md lists the keys.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "discovery/host_list.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// Omits classes of a former configuration that share a name with a present one.
nlohmann::json to_json(const scheduler::LearnedState& learned, const Names& names);

/// Missing values keep the defaults of a fresh scheduler, as do values under a name that this
/// process does not have. Throws the exceptions of nlohmann-json on malformed input.
scheduler::LearnedState from_json(const nlohmann::json& form, const Names& names);

}  // namespace keelflow
