/// The other nodes of the tier, as the core sees them.
#pragma once

#include <string_view>

namespace keelflow {

/// Sends datagrams to the other nodes, by rank. A message may arrive late or never.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  virtual void tell(int peer, std::string_view bytes) = 0;
};

}  // namespace keelflow
