/// The core's interface for messages to the other nodes of the tier.
#pragma once

#include <string_view>

namespace keelflow {

/// Sends datagrams to the other nodes, which are addressed by rank. A message may be delayed or
/// lost.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  virtual void send_datagram(int peer, std::string_view bytes) = 0;
};

}  // namespace keelflow
