// The idle connections to each endpoint.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "outbound/client_connection.h"

namespace keelflow {

class Pool {
 public:
  // `keep`: how long an idle connection is kept; must lie under what the endpoint's machine allows.
  Pool(net::EventLoop& loop, Duration keep, std::size_t most_idle, Counters& counters);
  ~Pool();

  // An idle connection to that address, connected; or else a new one, still connecting; or null where the
  // kernel refused. A connection to an address that the endpoint has left is never handed out.
  std::unique_ptr<ClientConnection> take(WorkerId worker, const net::Address& dial);
  void give_back(WorkerId worker, std::unique_ptr<ClientConnection> connection);
  void discard(std::unique_ptr<ClientConnection> connection);
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
  Duration keep_;
  std::size_t most_idle_;
  Counters& counters_;
  std::unordered_map<WorkerId, std::vector<Idle>> idle_;
  std::size_t idle_count_ = 0;
  TimerId timer_ = 0;
};

}  // namespace keelflow
