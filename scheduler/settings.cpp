// Rejects settings that cannot be; nothing here decides anything.
#include <cmath>
#include <stdexcept>
#include <string>

#include "scheduler/dispatcher.h"

namespace keelflow::scheduler {

void validate(const Settings& s) {
  auto need = [](bool ok, const char* what) {
    if (!ok)
      throw std::invalid_argument(std::string("scheduler settings: ") + what);
  };
  auto fine = [](double v) {
    return std::isfinite(v) && v >= 0;
  };
  need(s.dispatchers > 0, "dispatchers must be positive");
  need(s.rank >= 0 && s.rank < s.dispatchers, "rank out of range");
  need(s.zones > 0 && s.zone >= 0 && s.zone < s.zones, "zone out of range");
  need(s.kinds > 0, "no kinds");
  need(!s.classes.empty(), "no classes");
  need(s.max_attempts > 0, "try_limit must be positive");
  for (const auto& c : s.classes) {
    need(fine(c.deduplication_window_ms) && fine(c.latency_objective_ms) &&
             fine(c.objective_runtime_factor) && fine(c.priority_weight) &&
             fine(c.late_weight_fraction),
         "a class figure is negative or not finite");
    need(c.kind >= -1 && c.kind < s.kinds, "class kind out of range");
  }
  for (double v :
       {s.tick_ms, s.poll_within_ms, s.max_retry_after_ms, s.drain_grace_ms, s.grace_to_answer_ms,
        s.slow_start_initial_fraction, s.slow_start_ms, s.overload_multiple, s.overload_window_ms,
        s.over_quota_weight, s.health_check_price})
    need(fine(v), "a figure is negative or not finite");
}

}  // namespace keelflow::scheduler
