/// The order of all dispatchers at one incarnation of an endpoint, by a hash common to all nodes.
/// The first few dispatchers in it own equal parts of the slow-start budget.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

/// A tag that identifies an incarnation of an endpoint in messages.
std::uint32_t incarnation_tag_of(const scheduler::EndpointEntry& endpoint);

/// Returns the numbers of all dispatchers in order; the owners come first.
std::vector<int> order_at(const scheduler::EndpointEntry& endpoint, int dispatchers);

/// Number of dispatchers that own a part.
int owner_count(int dispatchers);

/// Fraction of the budget that the dispatcher at that place in the order owns. All fractions add up
/// to 1.
double fraction_at(int place, int dispatchers);

}  // namespace keelflow::fleet
