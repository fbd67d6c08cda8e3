#include "drain_rule.h"

#include <algorithm>

namespace keelflow::lab {

void DrainRule::drained(const std::string& box, TimePoint when) { drained_.try_emplace(box, when); }

void DrainRule::ready(const std::string& box) {
  drained_.erase(box);
  std::erase_if(told_, [&](const auto& told) { return told.first.second == box; });
}

void DrainRule::reachable(std::size_t node, bool is, TimePoint when) {
  auto [since, added] = reachable_since_.try_emplace(node, TimePoint::min());
  bool was = since->second != TimePoint::max();
  if (is != was) since->second = is ? when : TimePoint::max();
}

void DrainRule::silent(std::size_t node, TimePoint when) { silent_since_.try_emplace(node, when); }
void DrainRule::heard(std::size_t node) { silent_since_.erase(node); }

void DrainRule::told(std::size_t node, const std::string& box, TimePoint when) {
  if (drained_.contains(box)) told_.try_emplace({node, box}, when);
}

TimePoint DrainRule::counts_as_told(std::size_t node, const std::string& box) const {
  auto drained = drained_.find(box);
  if (drained == drained_.end()) return TimePoint::max();
  auto told = told_.find({node, box});
  TimePoint latest = told == told_.end() ? TimePoint::max() : told->second;
  auto since = reachable_since_.find(node);
  if (auto silent = silent_since_.find(node); silent != silent_since_.end())
    latest = std::min(latest, std::max(drained->second, silent->second + kToldWithin));
  TimePoint reachable = since == reachable_since_.end() ? TimePoint::min() : since->second;
  if (reachable == TimePoint::max()) return latest;
  return std::min(latest, std::max(drained->second, reachable) + kToldWithin);
}

}  // namespace keelflow::lab
