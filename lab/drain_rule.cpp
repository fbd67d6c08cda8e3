#include "drain_rule.h"

#include <algorithm>

namespace keelflow::lab {

void DrainRule::drained(const std::string& box, TimePoint when) {
  drained_.try_emplace(box, when);
}

void DrainRule::ready(const std::string& box) {
  drained_.erase(box);
  std::erase_if(told_, [&](const auto& told) { return told.first.second == box; });
}

void DrainRule::reachable(std::size_t node, bool is, TimePoint when) {
  std::vector<Outage>& outages = outages_[node];
  bool was = outages.empty() || outages.back().to != TimePoint::max();
  if (is == was)
    return;
  if (is)
    outages.back().to = when;
  else
    outages.push_back({when, TimePoint::max()});
}

bool DrainRule::made_in_outage(std::size_t node, TimePoint when) const {
  auto outages = outages_.find(node);
  return outages != outages_.end() &&
         std::any_of(outages->second.begin(), outages->second.end(),
                     [&](const Outage& outage) { return outage.from <= when && when < outage.to; });
}

void DrainRule::silent(std::size_t node, TimePoint when) {
  silent_since_.try_emplace(node, when);
}
void DrainRule::heard(std::size_t node) {
  silent_since_.erase(node);
}

void DrainRule::told(std::size_t node, const std::string& box, TimePoint when) {
  if (drained_.contains(box))
    told_.try_emplace({node, box}, when);
}

TimePoint DrainRule::counts_as_told(std::size_t node, const std::string& box) const {
  auto drained = drained_.find(box);
  if (drained == drained_.end())
    return TimePoint::max();
  auto told = told_.find({node, box});
  TimePoint latest = told == told_.end() ? TimePoint::max() : told->second;
  auto silent = silent_since_.find(node);
  if (silent != silent_since_.end() && !made_in_outage(node, drained->second))
    latest = std::min(latest, std::max(drained->second, silent->second + kToldWithin));
  auto outages = outages_.find(node);
  bool never = outages == outages_.end() || outages->second.empty();
  TimePoint reachable = never ? TimePoint::min() : outages->second.back().to;
  if (reachable == TimePoint::max())
    return latest;
  return std::min(latest, std::max(drained->second, reachable) + kToldWithin);
}

}  // namespace keelflow::lab
