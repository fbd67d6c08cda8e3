// Discovery's list as this process has it, kept up to date by a watch. When calls begin is decided
// by logic/discovery/call_schedule; this class carries it out and is the only one that calls
// discovery.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "discovery/call_schedule.h"
#include "discovery/discovery_call.h"
#include "discovery/host_list.h"
#include "discovery/list_lease.h"
#include "discovery/watch_survey.h"
#include "invariants/monitor.h"

namespace keelflow {

struct Destination {
  std::string host;
  net::Address dial;
  bool listed_ready = true;  // by discovery
  bool disabled = false;     // by an administrative override
  bool accepts_new_work() const { return listed_ready && !disabled; }
};

class DestinationSet final : public DiscoveryCall::Owner {
 public:
  using Listener = std::function<void(scheduler::EndpointList)>;

  DestinationSet(net::EventLoop& loop, net::Address discovery, Names names, Listener listener,
                 Counters& counters, std::uint64_t seed);
  ~DestinationSet() override;

  void known(const HostList& list);            // what this process had last; passed on as cached
  std::function<void()> on_watch_established;  // discovery has taken a call: what has changed comes
                                               // next, if anything has
  std::function<bool()> on_pressure;  // called when descriptors are short; true if it freed one

  void start(const discovery::CallPolicy& policy, const discovery::LeaseTerms& terms);
  // From now on; a watch that is open stays.
  void change(const discovery::CallPolicy& policy, const discovery::LeaseTerms& terms);
  // Another discovery serves from now on. The list and its version are kept, and the new one is
  // asked for what came after them.
  void move(const net::Address& discovery);
  void stop();
  void names(Names names) { names_ = std::move(names); }  // from the next list on
  void disable(EndpointId endpoint, bool disabled);       // administrative override
  WatchSurvey& survey() { return survey_; }
  void observe(invariants::Monitor* monitor) { monitor_ = monitor; }

  // Whether the list may be sent by at this moment: its lease runs, and the process was not stopped
  // since it last looked.
  bool may_send_by_list();
  std::function<void(bool may_send)>
      on_lease;  // it has run out, or runs (again): what waited may go on

  // An endpoint stays known for the process's life: jobs it has are still cancelled there when it
  // left the list.
  const Destination* find(EndpointId endpoint) const;

 private:
  using Calls = std::vector<std::unique_ptr<DiscoveryCall>>;

  void on_accepted(DiscoveryCall& call) override;
  bool on_object(DiscoveryCall& call, const std::string& text) override;
  void on_heartbeat(DiscoveryCall& call) override;
  void on_not_acknowledged(DiscoveryCall& call) override;
  void on_failed(DiscoveryCall& call, discovery::CallEnd how) override;

  void call();
  void wait_for_next_call();
  bool overdue() const;  // the watch, by more than its timer lets it be
  void heard(const DiscoveryCall& call);
  void lease_changed();
  TimePoint may_send_until() const;
  bool agent_is_silent() const;
  void answered_without_list();
  void note_end(const DiscoveryCall& call, discovery::CallEnd how);
  void establish(DiscoveryCall& call);
  void close_call(Calls::iterator call, discovery::CallEnd how);
  void failed(Calls::iterator call, discovery::CallEnd how);
  void give_up(Calls::iterator call);  // for a later one
  bool out_of_date(const DiscoveryCall& call, const HostList& list);
  void take_what_is_well_formed(const HostList& list);
  void take(const HostList& list, scheduler::ListScope scope);
  double draw();

  net::EventLoop& loop_;
  net::Address discovery_;
  Names names_;
  Listener listener_;
  Counters& counters_;
  invariants::Monitor* monitor_ = nullptr;
  std::minstd_rand random_;
  std::unordered_map<EndpointId, Destination> destinations_;
  discovery::CallSchedule schedule_;
  Calls calls_;  // oldest first
  std::uint64_t calls_begun_ = 0;
  DiscoveryCall* watch_ = nullptr;  // the one of them that has brought something
  discovery::ListLease lease_;
  WatchSurvey survey_;
  // The list was, up to the end of the last watch or, where lists are pushed, up to its last word.
  // What a watch that fell silent may have missed is not known, and an outage after it does not
  // make the list complete.
  bool was_complete_ = false;
  bool pushed_ = false;
  TimerId next_call_ = 0, lease_end_ = 0;
  TimePoint last_heard_;
  bool lease_runs_ = false;  // as `on_lease` was told last
  bool withheld_ = false;    // a send was, while the lease ran: `on_lease` is owed
  std::uint64_t version_ = 0;
  bool has_list_ = false;
  bool any_version_ =
      true;  // the next object counts whatever its version: its discovery is new to us
};

}  // namespace keelflow
