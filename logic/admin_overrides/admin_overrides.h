// Endpoints that operators have taken out by hand: a set of its own, laid over discovery's list
// before anything else sees that list. To the module such an endpoint drains; whatever discovery
// says of it (dropped, listed again, started anew) it stays out until it is called back. Pure.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::admin_overrides {

class AdminOverrides {
 public:
  // What is to be told instead of discovery's word. Keeps that word, to restore it later.
  scheduler::EndpointList apply(scheduler::EndpointList list);

  // Out, or back. The list to be told for it, a complete one as if from memory: empty where nothing
  // changes for anyone, as for a second call of the same kind or an endpoint that is not listed.
  std::optional<scheduler::EndpointList> out(scheduler::EndpointId endpoint,
                                             const std::string& host);
  std::optional<scheduler::EndpointList> back(scheduler::EndpointId endpoint);

  bool is_disabled(scheduler::EndpointId endpoint) const { return out_.contains(endpoint); }
  std::vector<std::string> hosts() const;  // of all that are out, listed or not

  std::size_t listed() const { return listed_.size(); }
  // Listed ones that get no new work: out by hand, draining, or avoided by choice. Each counts
  // once.
  std::size_t unavailable(const std::function<bool(scheduler::EndpointId)>& avoided) const;

 private:
  void lay_over(scheduler::EndpointEntry& entry) const;
  std::optional<scheduler::EndpointList> told_anew(scheduler::EndpointId endpoint) const;

  std::map<scheduler::EndpointId, scheduler::EndpointEntry> listed_;  // by discovery's word
  std::map<scheduler::EndpointId, std::string>
      out_;  // with the host's name; as many as operators have called out
};

}  // namespace keelflow::admin_overrides
