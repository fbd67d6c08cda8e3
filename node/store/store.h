/// \file
/// The connection to the Redis whose streams all nodes share. Serving never waits for it: what the
/// store does not take is counted and left out.
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

/// Appends to streams and reads them. Single-threaded: it is called on the event loop.
class Store final {
 public:
  /// One entry of a stream.
  struct Entry {
    std::uint64_t sequence = 0;  ///< The entry's ID in the stream is `sequence`-0.
    std::string type, data;
    std::string run;  ///< Which run of a request owns the stream; set in its first entry only.
  };
  using Entries = std::vector<Entry>;
  /// Gets the entries that were read, or null if the store did not answer.
  using Reader = std::function<void(const Entries*)>;
  /// What became of an entry.
  enum class AppendResult : std::uint8_t {
    stored,
    refused,  ///< The stream has an entry with this or a later ID.
    unknown,  ///< No answer, or another error.
  };
  using AppendCallback = std::function<void(AppendResult)>;

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
  /// Appends an entry and renews the expiry of the stream. Returns false if the store is down or
  /// has too many commands without an answer; `on_result` is called only after true.
  bool append(const std::string& stream, const Entry& entry, AppendCallback on_result = {});
  /// Reads at most `count` entries whose sequence is `from` or greater.
  void read(const std::string& stream, std::uint64_t from, std::size_t count, Reader reader);
  /// The most entries that are kept of one stream.
  std::size_t max_entries() const { return settings_.most_entries; }
  bool up() const { return up_; }

 private:
  friend struct StoreHooks;
  class Socket;
  using ReplyHandler = void(redisAsyncContext*, void* reply, void* argument);
  // Returns false if the command was not sent.
  bool command(ReplyHandler* handler, void* argument, const std::vector<std::string_view>& words);
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
