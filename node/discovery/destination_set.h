/// \file
/// This process's copy of discovery's endpoint list, kept current by a watch.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "core/counters.h"
#include "discovery/call_schedule.h"
#include "discovery/endpoint_directory.h"
#include "discovery/host_list.h"
#include "discovery/list_lease.h"
#include "discovery/list_lease_keeper.h"
#include "discovery/list_receiver.h"
#include "discovery/watch_manager.h"
#include "invariants/monitor.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace keelflow {

/// Connects the parts of node/discovery and is their only interface to the rest of the process:
/// EndpointDirectory stores the destinations, ListReceiver checks and applies lists, WatchManager
/// calls discovery, ListLeaseKeeper decides whether requests may be sent by the list. Not
/// thread-safe.
class DestinationSet {
 public:
  /// Receives each list that is applied.
  using Listener = ListReceiver::Listener;

  /// Keeps references to `loop` and `counters`, which must outlive it. Makes no call before
  /// `start`.
  DestinationSet(net::EventLoop& loop, net::Address discovery, Names names, Listener listener,
                 Counters& counters, std::uint64_t seed);
  DestinationSet(const DestinationSet&) = delete;
  DestinationSet& operator=(const DestinationSet&) = delete;

  /// Discovery has accepted a call: the changes follow next, if there are any. This callback may be
  /// empty.
  std::function<void()> on_watch_established;
  /// Called when no descriptor is available; returns true if it closed one. May be empty.
  std::function<bool()> on_pressure;
  /// The lease of the list has expired (false), or runs again (true), so that withheld requests may
  /// be sent. May be empty.
  std::function<void(bool may_send)> on_lease;

  /// Applies the list that the process had before it started, in the scope `cached`.
  void known(const HostList& list) { receiver_.apply_cached(list); }
  void start(const discovery::CallPolicy& policy, const discovery::LeaseTerms& terms);
  /// Takes effect with the next event; a watch that is open stays.
  void change(const discovery::CallPolicy& policy, const discovery::LeaseTerms& terms);
  /// Changes the address of discovery. The list and its version are kept, and the new discovery is
  /// asked for the changes since.
  void move(const net::Address& discovery) { watches_.move(discovery); }
  void stop() { watches_.stop(); }
  /// Takes effect with the next list.
  void names(Names names) { receiver_.set_names(std::move(names)); }
  /// Sets or clears the administrative override of an endpoint.
  void disable(EndpointId endpoint, bool is_disabled) {
    directory_.set_disabled(endpoint, is_disabled);
  }
  /// Sets the monitor to notify; null: none. The monitor must outlive this object.
  void observe(invariants::Monitor* monitor) { watches_.observe(monitor); }

  /// Whether requests may be sent by the list at this moment: its lease runs, and the process has
  /// not been suspended since it last read from the watch.
  bool may_send_by_list() { return lease_.may_send(); }
  /// Null: the endpoint was never listed with an address. Valid for the life of this object.
  const Destination* find(EndpointId endpoint) const { return directory_.find(endpoint); }

 private:
  void notify_lease(bool may_send) const;
  WatchManager::Callbacks watch_callbacks();

  EndpointDirectory directory_;
  ListReceiver receiver_;
  ListLeaseKeeper lease_;
  WatchManager watches_;
};

}  // namespace keelflow
