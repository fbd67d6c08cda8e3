/// \file
/// An upgrade of a node: the old process and the new one that takes over from it exchange messages
/// over a Unix socket in $TMPDIR while both run. docs/design/handover.md has the protocol.
///
/// The socket's path is derived from the node's name. The serving process listens there; a new
/// process connects, and once it can serve clients replaces the socket at that path by its own. If
/// no process accepts at the path, the process that created the socket has ended.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "handover/handover_link.h"
#include "handover/handover_message.h"
#include "net/event_loop.h"

namespace keelflow {

/// One process's side of the protocol. Owns the listening socket and the links to the other
/// processes; the callbacks act on the messages.
class Handover final : net::EventLoop::Handler, HandoverLink::Events {
 public:
  static constexpr int kVersion =
      1;  ///< of the protocol; a process with another version is refused

  /// The actions for messages and link events, and the source of the state to send.
  struct Callbacks {
    /// Returns the state to send to the new process.
    std::function<nlohmann::json()> welcome;
    /// The old process's state arrived, together with the keys of the message itself. May throw the
    /// exceptions of nlohmann-json, which close the connection.
    std::function<void(const nlohmann::json&)> on_welcome;
    /// True: the first link to a sibling process was made; false: the last one closed.
    std::function<void(bool is_here)> on_sibling_process;
    /// The new process accepts clients.
    std::function<void()> on_new_process_ready;
    /// An operator's override at the other process.
    std::function<void(const std::string& host, bool is_out)> on_admin_override;
    /// A load update of the other process's scheduler.
    std::function<void(const std::string& bytes)> on_load_update;
    /// A status callback that reached the other process. True: it belongs to one of this process's
    /// attempts.
    std::function<bool(const std::string& body)> on_status_callback;
  };
  Handover(net::EventLoop& loop, std::string folder, const std::string& node, Callbacks callbacks,
           Counters& counters);
  ~Handover() override;

  /// Connects to the old process. False: there is none.
  bool connect_to_old_process();
  /// Takes over the socket's path, and notifies the old process that this one serves. A failure is
  /// logged: the node serves, but cannot be upgraded without a restart.
  void listen();

  void send_admin_override(const std::string& host, bool is_out);
  void send_load_update(std::string_view bytes);
  /// Sends the other processes a status callback that belongs to none of this process's attempts.
  /// False: it was not sent to all other processes, so the endpoint must send it again.
  bool forward_status_callback(std::string_view body);
  /// There is a sibling process.
  bool has_sibling_process() const { return !links_.empty(); }
  /// No link has bytes waiting to be sent.
  bool flushed() const;
  /// There is an old process, which other processes reach only through this one.
  bool has_old_process() const;

 private:
  void on_ready(std::uint32_t events) override;  // a process connects to the socket
  void on_message(HandoverLink& link, const HandoverMessage& message) override;
  void on_link_closed(HandoverLink& link) override;

  void check_is_same(int version, const std::string& node) const;
  void on(HandoverLink& link, const HelloMessage& message);
  void on(HandoverLink& link, const WelcomeMessage& message);
  void on(HandoverLink& link, const ReadyMessage& message);
  void on(HandoverLink& link, const AdminOverrideMessage& message);
  void on(HandoverLink& link, const LoadUpdateMessage& message);
  void on(HandoverLink& link, const StatusCallbackMessage& message);

  bool open_socket(const std::string& path);
  bool send_to_all(const HandoverMessage& message, const HandoverLink* except = nullptr);
  HandoverLink* add_link(int fd, HandoverLink::Peer peer);

  net::EventLoop& loop_;
  std::string path_;
  std::string node_;
  Callbacks callbacks_;
  Counters& counters_;
  int fd_ = -1;
  std::uint64_t registration_ = 0;  ///< Of the listening socket with the event loop; 0: none.
  std::uint64_t last_link_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<HandoverLink>> links_;
};

}  // namespace keelflow
