/// Records of work sent to endpoints that are warming up, and the fraction of an overload reached.
#pragma once

#include <algorithm>
#include <compare>
#include <map>
#include <vector>

#include "scheduler/events.h"

namespace keelflow::scheduler {

/// The time and the work of one sent attempt.
struct SentWork {
  Time when;
  double work_ms;
  auto operator<=>(const SentWork&) const = default;
};
/// All sent work, by endpoint.
using SentWorkByEndpoint = std::map<EndpointId, std::vector<SentWork>>;

/// The maximum work sent to an endpoint within any window, as a fraction of the work that overloads
/// it at its capacity at that time.
template <typename Capacity>
double max_window_fraction(const Settings& settings, SentWorkByEndpoint sent, Capacity capacity) {
  double max_fraction = 0;
  for (auto& [endpoint, attempts] : sent) {
    std::sort(attempts.begin(), attempts.end());
    for (std::size_t first = 0; first < attempts.size(); ++first) {
      const Time end = attempts[first].when + settings.overload_window_ms;
      double sum = 0;
      for (std::size_t k = first; k < attempts.size() && attempts[k].when < end; ++k) {
        sum += attempts[k].work_ms;
        double overload = settings.overload_multiple * capacity(attempts[k].when);
        max_fraction = std::max(max_fraction, sum / (overload * settings.overload_window_ms));
      }
    }
  }
  return max_fraction;
}

}  // namespace keelflow::scheduler
