// Short messages between the nodes of a tier: UDP datagrams that come late or never. What they say
// is the module's.
#pragma once

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

class Peers final : public PeerSender, net::EventLoop::Handler {
 public:
  static constexpr std::size_t kMostBytes = 256;  // a longer datagram voids the run
  using Listener = std::function<void(int peer, std::string bytes)>;

  // `peers`: by rank, this node among them; whoever sends from another address is not heard.
  Peers(net::EventLoop& loop, std::vector<net::Address> peers, int rank, Listener listener,
        Counters& counters);
  ~Peers() override;

  // false: the address cannot be had (errno). The node serves without, and what it would tell is
  // counted as dropped.
  bool open(const net::Address& listen);
  // Nothing waits: where the kernel has no room, or there is no such peer, the message is dropped
  // and counted.
  void tell(int peer, std::string_view bytes) override;
  net::Address address() const;  // the one it has; port 0 while it is closed

 private:
  void on_ready(std::uint32_t events) override;
  void on_turn() override { read(); }
  void read();

  net::EventLoop& loop_;
  std::vector<net::Address> peers_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, int> rank_of_;
  int rank_;
  Listener listener_;
  Counters& counters_;
  int fd_ = -1;
  std::uint64_t registration_ = 0;
};

}  // namespace keelflow
