/// The form in which the old process hands its scheduler's learned state to the new one: JSON, by
/// name, as the other process may number things differently. docs/design/handover.md has the keys.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "discovery/host_list.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// Classes that a former configuration had under the same name are left out.
nlohmann::json to_json(const scheduler::LearnedState& learned, const Names& names);

/// What has no value there, or a name that this process lacks, keeps the defaults of a fresh
/// scheduler. Throws what nlohmann-json throws on what is malformed.
scheduler::LearnedState from_json(const nlohmann::json& form, const Names& names);

}  // namespace keelflow
