// The hands of logic/fleet/membership: its words go out and come in with the other datagrams
// between nodes, its timer is the loop's, and who lives is told to the module, the log and the
// operators.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "core/counters.h"
#include "core/engine.h"
#include "core/peer_sender.h"
#include "core/timer_port.h"
#include "fleet/membership.h"

namespace keelflow {

class MembershipAgent {
 public:
  struct Settings {
    bool on = false;
    Duration period = std::chrono::milliseconds(250),
             least_suspicion = std::chrono::milliseconds(500),
             most_suspicion = std::chrono::milliseconds(1200);
  };

  MembershipAgent(TimerPort& timers, const UnixClock& clock, PeerSender& peers, Engine& engine,
                  Counters& counters)
      : timers_(timers), clock_(clock), peers_(peers), engine_(engine), counters_(counters) {}
  ~MembershipAgent();

  // From here on it takes part. `members` and `self` as in the platform's settings.
  void start(const Settings& settings, int members, int self);
  void leave();  // this node ends, and no other process goes on in its place
  // A datagram from another node. True: it was a word of who lives, and nobody else's.
  bool hear(int from, const std::string& bytes);
  nlohmann::json status() const;  // null while it is off

 private:
  void carry(fleet::Membership::Output& out);
  void arm();
  double now_ms() const { return clock_.unix_ms(timers_.now()); }

  TimerPort& timers_;
  const UnixClock& clock_;
  PeerSender& peers_;
  Engine& engine_;
  Counters& counters_;
  std::optional<fleet::Membership> membership_;
  TimerId timer_ = 0;
  double armed_ = 0;
};

}  // namespace keelflow
