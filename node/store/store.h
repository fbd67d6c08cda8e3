// Progress and final events in Redis streams that all nodes share, so that another node can replay
// them. Serving never waits for it: what the store does not take is counted and left out.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/counters.h"
#include "net/address.h"
#include "net/event_loop.h"

struct redisAsyncContext;

namespace keelflow {

class Store final {
 public:
  struct Entry {
    std::uint64_t sequence = 0;
    std::string type, data;
  };
  using Entries = std::vector<Entry>;
  using Reader = std::function<void(const Entries*)>;  // null: the store did not answer

  struct Settings {
    net::Address address;
    Duration expiry = std::chrono::minutes(10);
    Duration patience =
        std::chrono::seconds(1);      // for the answer to a command; then the store counts as down
    std::size_t most_out = 1000;      // commands without an answer; further ones are skipped
    std::size_t most_entries = 1000;  // kept of one request
  };

  Store(net::EventLoop& loop, Settings settings, Counters& counters);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  void open();
  void append(std::string_view request, std::uint64_t sequence, std::string_view type,
              std::string_view data);
  // The entries from that sequence on, itself included.
  void read(std::string_view request, std::uint64_t from, Reader reader);
  bool up() const { return up_; }

 private:
  friend struct StoreHooks;
  class Socket;
  void lost();
  void sent();
  void answered();
  void watch_over();

  net::EventLoop& loop_;
  Settings settings_;
  Counters& counters_;
  redisAsyncContext* context_ = nullptr;
  std::unique_ptr<Socket> socket_;
  bool up_ = false, closing_ = false;
  std::size_t out_ = 0;
  TimePoint heard_;
  TimerId retry_ = 0, guard_ = 0;
  Duration back_off_{};
};

}  // namespace keelflow
