/// \file
/// The address and the state of each endpoint that discovery has ever listed.
#pragma once

#include <string>
#include <unordered_map>

#include "discovery/host_list.h"
#include "net/address.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// Where an endpoint is, and whether it may get new requests.
struct Destination {
  std::string host;
  net::Address dial;
  bool listed_ready = true;  ///< discovery lists it as ready
  bool disabled = false;     ///< an administrative override is set
  bool accepts_new_work() const { return listed_ready && !disabled; }
};

/// The destinations by endpoint. An entry stays for the life of the process: requests in flight at
/// an endpoint can still be cancelled there after it has left the list. Not thread-safe.
class EndpointDirectory {
 public:
  /// Updates the destinations from a list. A list of scope `delta` changes only the endpoints that
  /// it names. Any other list is complete: endpoints that it does not name are no longer listed
  /// ready.
  void apply(const HostList& list, scheduler::ListScope scope);
  /// Sets or clears the administrative override. No effect on an endpoint that was never listed.
  void set_disabled(EndpointId endpoint, bool is_disabled);
  /// Null: the endpoint was never listed with an address. Valid for the life of the directory.
  const Destination* find(EndpointId endpoint) const;

 private:
  void apply(const Host& host);

  std::unordered_map<EndpointId, Destination> destinations_;
};

}  // namespace keelflow
