/// The order of all dispatchers at one incarnation of an endpoint, by a hash that all share: the
/// first few of it own the slow-start budget in even parts.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// Tells one incarnation of an endpoint from the others in messages.
std::uint32_t incarnation_tag_of(const scheduler::EndpointEntry& endpoint);

/// All dispatchers' numbers, the owners first.
std::vector<int> order_at(const scheduler::EndpointEntry& endpoint, int dispatchers);

/// How many dispatchers own a part.
int owner_count(int dispatchers);

/// What the dispatcher at that place of the order owns of the budget: all add up to 1.
double fraction_at(int place, int dispatchers);

}  // namespace keelflow::fleet
