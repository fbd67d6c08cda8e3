/// \file
/// The connection to one other process of the node, which carries lines of JSON in both directions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "handover/handover_message.h"
#include "net/connection.h"

namespace keelflow {

/// Owns the connection and the buffer of an incomplete line.
class HandoverLink final : net::Connection::Events {
 public:
  /// Which of the two processes is at the other end.
  enum class Peer { old_process, new_process };

  /// Receives the messages and the end of a link.
  class Events {
   public:
    virtual ~Events() = default;
    /// An exception thrown here closes the connection.
    virtual void on_message(HandoverLink& link, const HandoverMessage& message) = 0;
    /// Last call: the connection is closed.
    virtual void on_link_closed(HandoverLink& link) = 0;
  };

  HandoverLink(net::EventLoop& loop, Events& events, Counters& counters, std::uint64_t id,
               Peer peer)
      : events_(events), counters_(counters), id_(id), peer_(peer), connection_(loop, *this) {}

  /// Takes the connected socket. False (errno): refused, and the descriptor is closed.
  bool adopt(int fd) { return connection_.adopt(fd); }
  /// False: the queue is full, so the message is dropped and counted.
  bool send(const HandoverMessage& message);

  std::uint64_t id() const { return id_; }
  Peer peer() const { return peer_; }
  std::size_t pending_bytes() const { return connection_.pending(); }

 private:
  void on_data(std::string_view bytes) override;
  void on_closed(int error) override;
  void on_line(std::string_view line);
  void fail(const char* fault);

  Events& events_;
  Counters& counters_;
  std::uint64_t id_;
  Peer peer_;
  net::Connection connection_;
  std::string received_;  ///< an incomplete line
};

}  // namespace keelflow
