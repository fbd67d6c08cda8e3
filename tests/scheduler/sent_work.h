/// The work that was sent to endpoints that are warming up, and how close it came to overloading
/// them.
#pragma once

#include <algorithm>
#include <compare>
#include <map>
#include <vector>

#include "scheduler/events.h"

namespace keelflow::scheduler {

/// One attempt that was sent.
struct SentWork {
  Time when;
  double work_ms;
  auto operator<=>(const SentWork&) const = default;
};
/// All that was sent, by endpoint.
using SentWorkByEndpoint = std::map<EndpointId, std::vector<SentWork>>;

/// The most that was sent to an endpoint within any window, as a fraction of what overloads it at
/// its capacity then.
template <typename Capacity>
double max_window_fraction(const Settings& settings, SentWorkByEndpoint sent, Capacity capacity) {
  double most = 0;
  for (auto& [endpoint, all] : sent) {
    std::sort(all.begin(), all.end());
    for (std::size_t first = 0; first < all.size(); ++first) {
      const Time end = all[first].when + settings.overload_window_ms;
      double sum = 0;
      for (std::size_t k = first; k < all.size() && all[k].when < end; ++k) {
        sum += all[k].work_ms;
        double overload = settings.overload_multiple * capacity(all[k].when);
        most = std::max(most, sum / (overload * settings.overload_window_ms));
      }
    }
  }
  return most;
}

}  // namespace keelflow::scheduler
