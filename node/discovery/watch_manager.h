/// \file
/// The calls to discovery, one of which is the watch. logic/discovery/call_schedule decides
/// when calls begin; this class opens them, and no other class calls discovery.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <system_error>
#include <vector>

#include "core/counters.h"
#include "discovery/call_schedule.h"
#include "discovery/discovery_call.h"
#include "discovery/list_lease_keeper.h"
#include "discovery/list_receiver.h"
#include "invariants/monitor.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace keelflow {

/// Opens calls until one of them receives something and so becomes the watch, and opens calls again
/// when the watch is lost. Passes lists to the ListReceiver, and evidence that the list is current
/// to the ListLeaseKeeper. Not thread-safe.
class WatchManager final : public DiscoveryCall::Owner {
 public:
  /// Notifications to the owner.
  struct Callbacks {
    /// Discovery has accepted a call: the changes follow next, if there are any.
    std::function<void()> on_call_accepted;
    /// No descriptor is available; returns true if one was closed.
    std::function<bool()> on_descriptors_exhausted;
  };

  /// Keeps references to `receiver`, `lease` and `counters`, which must outlive it.
  WatchManager(net::EventLoop& loop, net::Address discovery, ListReceiver& receiver,
               ListLeaseKeeper& lease, Callbacks callbacks, Counters& counters, std::uint64_t seed);
  ~WatchManager() override;

  void start();
  /// Ends all calls, the watch included. None is opened until `start` or `move`.
  void stop();
  /// Takes effect with the next call; a watch that is open stays.
  void change(const discovery::CallPolicy& policy);
  /// Calls another discovery from now on.
  void move(const net::Address& discovery);
  /// Sets the monitor to notify; null: none. The monitor must outlive this object.
  void observe(invariants::Monitor* monitor) { monitor_ = monitor; }

  WatchStatus status() const;

 private:
  using Calls = std::vector<std::unique_ptr<DiscoveryCall>>;

  void on_accepted(DiscoveryCall& call) override;
  bool on_object(DiscoveryCall& call, const std::string& text) override;
  void on_heartbeat(DiscoveryCall& call) override;
  void on_not_acknowledged(DiscoveryCall& call) override;
  void on_failed(DiscoveryCall& call, discovery::CallEnd how) override;

  void open_call();
  std::error_code connect(DiscoveryCall& call);
  void schedule_next_call();
  bool is_overdue() const;
  bool is_agent_unresponsive() const;
  void report_agent_unresponsive();
  void report_unavailable();
  bool apply(DiscoveryCall& call, const ReceivedList& received);
  void establish(DiscoveryCall& call);
  void prove_current(const DiscoveryCall& call);
  Calls::iterator find(const DiscoveryCall& call);
  void replace_oldest();
  void fail(Calls::iterator call, discovery::CallEnd how);
  void close(Calls::iterator call, discovery::CallEnd how);
  double draw();

  net::EventLoop& loop_;
  net::Address discovery_;
  ListReceiver& receiver_;
  ListLeaseKeeper& lease_;
  Callbacks callbacks_;
  Counters& counters_;
  invariants::Monitor* monitor_ = nullptr;
  std::minstd_rand random_;
  discovery::CallSchedule schedule_;
  bool pushed_ = false;
  Calls calls_;  // oldest first
  std::uint64_t calls_begun_ = 0;
  DiscoveryCall* watch_ = nullptr;  // one of `calls_`
  TimePoint last_received_;         // on the watch
  TimerId next_call_timer_ = 0;
};

}  // namespace keelflow
