// Rejects settings that cannot be; nothing here decides anything.
#include <cmath>
#include <stdexcept>
#include <string>

#include "reedlb/dispatcher.h"

namespace reedlb {

void validate(const Settings& s) {
  auto need = [](bool ok, const char* what) {
    if (!ok)
      throw std::invalid_argument(std::string("reedlb settings: ") + what);
  };
  auto fine = [](double v) {
    return std::isfinite(v) && v >= 0;
  };
  need(s.dispatchers > 0, "dispatchers must be positive");
  need(s.rank >= 0 && s.rank < s.dispatchers, "rank out of range");
  need(s.zones > 0 && s.zone >= 0 && s.zone < s.zones, "zone out of range");
  need(s.kinds > 0, "no kinds");
  need(!s.classes.empty(), "no classes");
  need(s.try_limit > 0, "try_limit must be positive");
  for (const auto& c : s.classes) {
    need(fine(c.window_ms) && fine(c.target_ms) && fine(c.stretch) && fine(c.value) &&
             fine(c.late_worth),
         "a class figure is negative or not finite");
    need(c.kind >= -1 && c.kind < s.kinds, "class kind out of range");
  }
  for (double v :
       {s.tick_ms, s.ask_within_ms, s.max_retry_after_ms, s.drain_grace_ms, s.grace_to_answer_ms,
        s.cold_from, s.cold_ms, s.fall_multiple, s.fall_ms, s.over_share_worth, s.probe_price})
    need(fine(v), "a figure is negative or not finite");
}

}  // namespace reedlb
