/// Validation of the settings.
#include "scheduler/settings.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace keelflow::scheduler {
namespace {

void require(bool holds, const char* what) {
  if (!holds)
    throw std::invalid_argument(std::string("scheduler settings: ") + what);
}

bool is_finite_and_non_negative(double value) {
  return std::isfinite(value) && value >= 0;
}

void validate(const ClassSettings& settings, int kinds) {
  for (double figure :
       {settings.deduplication_window_ms, settings.latency_objective_ms,
        settings.objective_runtime_factor, settings.priority_weight, settings.late_weight_fraction})
    require(is_finite_and_non_negative(figure), "a class figure is negative or not finite");
  require(settings.kind >= -1 && settings.kind < kinds, "class kind out of range");
}

}  // namespace

void validate(const Settings& settings) {
  require(settings.dispatchers > 0, "dispatchers must be positive");
  require(settings.rank >= 0 && settings.rank < settings.dispatchers, "rank out of range");
  require(settings.zones > 0 && settings.zone >= 0 && settings.zone < settings.zones,
          "zone out of range");
  require(settings.kinds > 0, "kinds must be positive");
  require(!settings.classes.empty(), "classes must not be empty");
  require(settings.max_attempts > 0, "max_attempts must be positive");
  for (const ClassSettings& class_settings : settings.classes)
    validate(class_settings, settings.kinds);
  for (double figure :
       {settings.tick_ms, settings.poll_within_ms, settings.max_retry_after_ms,
        settings.drain_grace_ms, settings.grace_to_answer_ms, settings.slow_start_initial_fraction,
        settings.slow_start_ms, settings.overload_multiple, settings.overload_window_ms,
        settings.over_quota_weight, settings.health_check_price})
    require(is_finite_and_non_negative(figure), "a figure is negative or not finite");
}

}  // namespace keelflow::scheduler
