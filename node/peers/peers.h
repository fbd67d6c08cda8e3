/// Short messages between the nodes of a tier: UDP datagrams, which come late or never. What is in
/// them is not this module's.
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

/// Owns the socket. Nodes are known by their rank, their place in the platform's settings.
class Peers final : public PeerSender, net::EventLoop::Handler {
 public:
  static constexpr std::size_t kMaxMessageBytes = 256;  ///< a longer datagram voids the run
  /// A datagram of a peer arrived.
  using Listener = std::function<void(int peer, std::string bytes)>;

  /// `peers`: by rank, this node among them; datagrams of other addresses are counted and dropped.
  Peers(net::EventLoop& loop, std::vector<net::Address> peers, int rank, Listener listener,
        Counters& counters);
  ~Peers() override;

  /// False: the address cannot be had (errno). The node serves without, and what it would send is
  /// counted as dropped.
  bool open(const net::Address& listen);
  /// Never blocks: where the kernel has no buffer, or there is no such peer, the message is dropped
  /// and counted.
  void send_datagram(int peer, std::string_view bytes) override;
  /// The one it has; port 0 while it is closed.
  net::Address address() const;

 private:
  /// In network byte order.
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
