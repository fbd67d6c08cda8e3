/// \file
/// Derives the settings of the node's parts from the platform's settings, at the start and on a
/// reload.
#pragma once

#include "discovery/destination_set.h"
#include "invariants/monitor.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// The scheduler's settings with polling off: DestinationSet refreshes the endpoint list and passes
/// it to the scheduler.
scheduler::Settings scheduler_settings(scheduler::Settings settings);
/// The policy by which DestinationSet calls discovery.
discovery::CallPolicy call_policy(const scheduler::Settings& settings);
/// The settings that determine how long the lease of the endpoint list lasts.
discovery::LeaseTerms lease_terms(const scheduler::Settings& settings);
/// The settings that the rules of the invariant monitor depend on.
invariants::Terms monitor_terms(const scheduler::Settings& settings);

}  // namespace keelflow
