#include "overlay/by_hand.h"

#include <utility>

namespace keelflow::overlay {

using reedlb::ListScope;
using reedlb::WorkerList;
using reedlb::WorkerState;

void ByHand::lay_over(reedlb::WorkerEntry& entry) const {
  if (entry.state == WorkerState::ready && is_out(entry.worker))
    entry.state = WorkerState::draining;
}

WorkerList ByHand::laid_over(WorkerList list) {
  if (list.scope == ListScope::failed)
    return list;
  if (list.scope != ListScope::delta)
    listed_.clear();  // a complete list: whoever is missing is gone
  for (reedlb::WorkerEntry& entry : list.entries) {
    if (entry.state == WorkerState::gone)
      listed_.erase(entry.worker);
    else
      listed_[entry.worker] = entry;
    lay_over(entry);
  }
  return list;
}

std::optional<WorkerList> ByHand::out(reedlb::WorkerId worker, const std::string& host) {
  if (!out_.emplace(worker, host).second)
    return std::nullopt;
  return told_anew(worker);
}

std::optional<WorkerList> ByHand::back(reedlb::WorkerId worker) {
  if (out_.erase(worker) == 0)
    return std::nullopt;
  return told_anew(worker);
}

std::optional<WorkerList> ByHand::told_anew(reedlb::WorkerId worker) const {
  auto it = listed_.find(worker);
  if (it == listed_.end() || it->second.state != WorkerState::ready)
    return std::nullopt;
  // A change or a whole list would tell the module that discovery has answered, and it would no
  // longer ask.
  WorkerList told{.scope = ListScope::cached, .entries = {}};
  for (const auto& [id, entry] : listed_)
    lay_over(told.entries.emplace_back(entry));
  return told;
}

std::vector<std::string> ByHand::hosts() const {
  std::vector<std::string> all;
  for (const auto& [worker, host] : out_)
    all.push_back(host);
  return all;
}

std::size_t ByHand::unavailable(const std::function<bool(reedlb::WorkerId)>& avoided) const {
  std::size_t count = 0;
  for (const auto& [worker, entry] : listed_)
    count += entry.state != WorkerState::ready || is_out(worker) || avoided(worker);
  return count;
}

}  // namespace keelflow::overlay
