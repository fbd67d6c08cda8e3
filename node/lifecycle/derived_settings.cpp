#include "lifecycle/derived_settings.h"

#include "core/time.h"

namespace keelflow {

scheduler::Settings scheduler_settings(scheduler::Settings settings) {
  settings.polls_list = false;
  return settings;
}

discovery::CallPolicy call_policy(const scheduler::Settings& settings) {
  return {.pushed = !settings.polls_list, .processes = settings.dispatchers};
}

discovery::LeaseTerms lease_terms(const scheduler::Settings& settings) {
  return {.pushed = !settings.polls_list,
          .drain_grace = from_ms(settings.drain_grace_ms),
          .poll_deadline = from_ms(settings.poll_within_ms)};
}

invariants::Terms monitor_terms(const scheduler::Settings& settings) {
  return {.drain_grace = from_ms(settings.drain_grace_ms),
          .parallel_attempts = settings.concurrent_attempts};
}

}  // namespace keelflow
