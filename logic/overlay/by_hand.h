// Executors that operators have taken out by hand: a set of its own, laid over discovery's list
// before anything else sees that list. To the module such an executor drains; whatever discovery
// says of it (dropped, listed again, started anew) it stays out until it is called back. Pure.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "reedlb/dispatcher.h"

namespace keelflow::overlay {

class ByHand {
 public:
  // What is to be told instead of discovery's word. Keeps that word, to restore it later.
  reedlb::WorkerList laid_over(reedlb::WorkerList list);

  // Out, or back. The list to be told for it, a complete one as if from memory: empty where nothing
  // changes for anyone, as for a second call of the same kind or an executor that is not listed.
  std::optional<reedlb::WorkerList> out(reedlb::WorkerId worker, const std::string& host);
  std::optional<reedlb::WorkerList> back(reedlb::WorkerId worker);

  bool is_out(reedlb::WorkerId worker) const { return out_.contains(worker); }
  std::vector<std::string> hosts() const;  // of all that are out, listed or not

  std::size_t listed() const { return listed_.size(); }
  // Listed ones that get no new work: out by hand, draining, or avoided by choice. Each counts
  // once.
  std::size_t unavailable(const std::function<bool(reedlb::WorkerId)>& avoided) const;

 private:
  void lay_over(reedlb::WorkerEntry& entry) const;
  std::optional<reedlb::WorkerList> told_anew(reedlb::WorkerId worker) const;

  std::map<reedlb::WorkerId, reedlb::WorkerEntry> listed_;  // by discovery's word
  std::map<reedlb::WorkerId, std::string>
      out_;  // with the host's name; as many as operators have called out
};

}  // namespace keelflow::overlay
