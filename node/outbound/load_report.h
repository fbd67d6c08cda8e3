// The load reports of endpoints, in the order in which the settings name their values.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow {

// "TEXT inflight=7, queue=2, util=0.61". Fields that the settings do not name are passed over.
scheduler::LoadReport read_load_report(std::string_view text,
                                       const std::vector<std::string>& names);
// The name that the settings use for a field of the sockets.
std::string_view report_name(std::string_view field);

}  // namespace keelflow
