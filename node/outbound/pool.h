// The idle connections to each endpoint.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "outbound/client_connection.h"

namespace keelflow {

class Pool {
 public:
  // `keep`: how long an idle connection is kept at most; must lie under what the endpoint's machine
  // allows.
  Pool(net::EventLoop& loop, Duration keep, std::size_t most_idle, Counters& counters);
  ~Pool();

  void keep(Duration most) { most_keep_ = most, keep_ = std::min(keep_, most); }
  void most_idle(std::size_t most) { most_idle_ = most; }

  // An idle connection to that address, connected; or else a new one, still connecting; or null
  // where the kernel refused. A connection to an address that the endpoint has left is never handed
  // out. `fresh`: a new one in any case.
  std::unique_ptr<ClientConnection> take(EndpointId endpoint, const net::Address& dial,
                                         bool fresh = false);
  // A connection that had stood idle for so long broke under its next exchange. Something on the
  // way drops them earlier than it says, so they are kept for less from now on; little by little
  // that is forgotten.
  void worn(Duration stood);
  void give_back(EndpointId endpoint, std::unique_ptr<ClientConnection> connection);
  void discard(std::unique_ptr<ClientConnection> connection);
  void forget(
      EndpointId endpoint);  // closes its idle connections: it does not answer on one of them
  bool free_one();  // closes the idle connection that has stood longest; false: there is none
  void close_idle();
  std::size_t idle() const { return idle_count_; }

 private:
  struct Idle {
    std::unique_ptr<ClientConnection> connection;
    TimePoint since;
  };
  void retire();

  net::EventLoop& loop_;
  Duration most_keep_, keep_;
  std::size_t most_idle_;
  Counters& counters_;
  std::unordered_map<EndpointId, std::vector<Idle>> idle_;
  std::size_t idle_count_ = 0;
  TimerId timer_ = 0;
};

}  // namespace keelflow
