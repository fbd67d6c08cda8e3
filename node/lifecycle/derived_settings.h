/// What the parts of the node take from the platform's settings, at the start and on a reload.
#pragma once

#include "discovery/destination_set.h"
#include "invariants/monitor.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// The endpoint list is DestinationSet's to refresh: the scheduler receives it and never polls.
scheduler::Settings scheduler_settings(scheduler::Settings settings);
discovery::CallPolicy call_policy(const scheduler::Settings& settings);
discovery::LeaseTerms lease_terms(const scheduler::Settings& settings);
invariants::Terms monitor_terms(const scheduler::Settings& settings);

}  // namespace keelflow
