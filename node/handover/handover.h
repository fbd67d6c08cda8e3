/// An upgrade of a node: the old process and the new one that takes over from it exchange messages
/// over a Unix socket in $TMPDIR while both run. docs/design/handover.md has the protocol.
///
/// The socket's name comes from the node's. Whoever serves listens there; a new process connects,
/// and once it is ready puts a socket of its own under that name. A name where nobody answers is
/// that of a process that has ended.
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

/// One process's side. Owns the listening socket and the links to the other processes; what follows
/// from a message is the callbacks'.
class Handover final : net::EventLoop::Handler, HandoverLink::Events {
 public:
  static constexpr int kVersion = 1;  ///< of the protocol: another one is refused

  struct Callbacks {
    /// The state that the new process is to know.
    std::function<nlohmann::json()> welcome;
    /// The old process's state arrived, with the message's own keys beside it. May throw what
    /// nlohmann-json throws, which ends the connection.
    std::function<void(const nlohmann::json&)> welcomed;
    /// True: the first link to a sibling process was made; false: the last one closed.
    std::function<void(bool here)> on_sibling_process;
    /// The new process accepts clients.
    std::function<void()> successor_ready;
    /// An operator's override at the other process.
    std::function<void(const std::string& host, bool out)> on_admin_override;
    /// A load update of the other process's scheduler.
    std::function<void(const std::string& bytes)> on_load_update;
    /// A status callback that reached the other process. True: it is of this process's attempts.
    std::function<bool(const std::string& body)> on_status_callback;
  };
  Handover(net::EventLoop& loop, std::string folder, const std::string& node, Callbacks callbacks,
           Counters& counters);
  ~Handover() override;

  /// Connects to the old process. False: there is none.
  bool ask();
  /// Takes the name over, and notifies the old process that this one serves. A failure is logged:
  /// the node serves, and cannot be upgraded without a restart.
  void listen();

  void send_admin_override(const std::string& host, bool out);
  void send_load_update(std::string_view bytes);
  /// A status callback that is not of this process's attempts. False: it did not go to all other
  /// processes, so the endpoint must send it again.
  bool forward_status_callback(std::string_view body);
  /// There is a sibling process.
  bool has_sibling_process() const { return !links_.empty(); }
  /// Nothing waits to be sent.
  bool flushed() const;
  /// There is an old process, which others reach through this one alone.
  bool has_old_process() const;

 private:
  void on_ready(std::uint32_t events) override;
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
  std::uint64_t registration_ = 0;
  std::uint64_t last_link_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<HandoverLink>> links_;
};

}  // namespace keelflow
