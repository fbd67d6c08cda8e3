/// \file
/// Short messages between the nodes of a tier, sent as UDP datagrams, which may be delayed or lost.
/// This module does not interpret their content.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/counters.h"
#include "core/peer_sender.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace keelflow {

/// Owns the socket. A node is identified by its rank, its position in the platform's settings.
class Peers final : public PeerSender, net::EventLoop::Handler {
 public:
  static constexpr std::size_t kMaxMessageBytes =
      256;  ///< a longer datagram invalidates a benchmark run
  /// A datagram of a peer arrived.
  using Listener = std::function<void(int peer, std::string bytes)>;

  /// `peers`: by rank, this node among them; datagrams of other addresses are counted and dropped.
  Peers(net::EventLoop& loop, std::vector<net::Address> peers, int rank, Listener listener,
        Counters& counters);
  ~Peers() override;

  /// False: binding the address failed (errno). The node serves without peers, and its messages to
  /// them are counted as dropped.
  bool open(const net::Address& listen);
  /// Never blocks: if the kernel has no buffer space or the peer does not exist, the message is
  /// dropped and counted.
  void send_datagram(int peer, std::string_view bytes) override;
  /// The socket's own address; port 0 while it is closed.
  net::Address address() const;

 private:
  /// A peer's address, in network byte order.
  struct PeerAddress {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(const PeerAddress&) const = default;
  };

  void on_ready(std::uint32_t events) override;
  void on_turn() override { read(); }
  void read();
  void on_datagram(const PeerAddress& from, std::string_view bytes);
  static PeerAddress address_of(const net::Address& address);

  net::EventLoop& loop_;
  std::vector<net::Address> peers_;
  std::map<PeerAddress, int> rank_of_;
  int rank_;
  Listener listener_;
  Counters& counters_;
  int fd_ = -1;
  std::uint64_t registration_ = 0;
};

}  // namespace keelflow
