// Discovery's list as this node has it, kept up to date by a watch.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/counters.h"
#include "core/ports.h"
#include "discovery/host_list.h"
#include "discovery/value_frames.h"
#include "outbound/client_connection.h"

namespace keelflow {

struct Destination {
  std::string host;
  net::Address dial;
  bool wants = true;  // listed as ready: an attempt may begin there
};

class DestinationSet final : public DestinationPort, ClientConnection::User {
 public:
  using Listener = std::function<void(reedlb::WorkerList)>;

  DestinationSet(net::EventLoop& loop, net::Address discovery, Names names, Listener listener, Counters& counters);
  ~DestinationSet() override;

  void known(const HostList& list);  // what this node had last; told as cached
  std::function<void()> on_watching;  // discovery has taken the watch: what has changed comes next, if anything has
  // Opens a watch, or opens it anew where it broke. When to ask again after a failure is the module's choice;
  // this side only keeps a floor under it, so that a discovery that is down is not hammered.
  void subscribe() override;
  // Lists are pushed: the module never asks, and the watch on the agent is this side's to keep open.
  void pushed(bool on);
  // Another discovery serves from now on. The list and its version are kept, and the new one is asked for what
  // came after them.
  void move(const net::Address& discovery);
  void stop();
  void names(Names names) { names_ = std::move(names); }  // from the next list on

  // An endpoint stays known for the node's life: jobs it has are still cancelled there when it left the list.
  const Destination* find(WorkerId worker) const;

 private:
  void on_connected() override;
  void on_head(const net::Head& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete(bool) override { broken(); }
  void on_broken() override { broken(); }

  void open();
  void expect(TimePoint by);
  bool object(const std::string& text);
  bool take_or_ask_again(const HostList& list);
  void take(const HostList& list, reedlb::ListScope scope);
  void broken();

  net::EventLoop& loop_;
  net::Address discovery_;
  Names names_;
  Listener listener_;
  Counters& counters_;
  std::unordered_map<WorkerId, Destination> destinations_;
  std::unique_ptr<ClientConnection> connection_;
  std::uint64_t version_ = 0;
  bool has_list_ = false, accepted_ = false, pushed_ = false;
  bool any_version_ = true;  // the next object counts whatever its version: its discovery is new to us, or was asked for all
  bool fell_silent_ = false;  // the last watch did, and nothing has been heard since
  ValueFrames frames_;
  TimePoint begun_, silent_;  // the object that is not complete yet; when silence was noticed
  TimerId silence_ = 0, retry_ = 0;
  Duration back_off_{};
};

}  // namespace keelflow
