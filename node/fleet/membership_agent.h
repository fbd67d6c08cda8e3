/// \file
/// Runs logic/fleet/membership in a node: sends its messages as datagrams between nodes, runs its
/// timer on the event loop, and reports which nodes are alive to the engine, the log and the
/// operators.
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

/// Owns this node's Membership and its timer. Off until start(), and if the settings disable it.
class MembershipAgent {
 public:
  /// Whether the protocol runs, its period, and the range of the suspicion timeout.
  struct Settings {
    bool on = false;
    Duration period = std::chrono::milliseconds(250);
    Duration least_suspicion = std::chrono::milliseconds(500);
    Duration most_suspicion = std::chrono::milliseconds(1200);
  };

  MembershipAgent(TimerPort& timers, const UnixClock& clock, PeerSender& peers, Engine& engine,
                  Counters& counters)
      : timers_(timers), clock_(clock), peers_(peers), engine_(engine), counters_(counters) {}
  ~MembershipAgent();

  /// Joins the membership protocol. `members` and `self` as in the platform's settings.
  void start(const Settings& settings, int members, int self);
  /// Announces that this node ends and that no other process replaces it.
  void leave();
  /// A datagram of another node. True: it was a membership message, which no other
  /// module handles.
  bool handle_peer_datagram(int from, const std::string& bytes);
  /// For operators; null while it is off.
  nlohmann::json status() const;

 private:
  void execute(const fleet::Membership::Output& out);
  void report(const fleet::MemberChange& change);
  void notify_engine();
  void arm_timer();
  void on_timer();
  nlohmann::json status_of(int member, double now) const;
  double now_ms() const { return clock_.unix_ms(timers_.now()); }

  TimerPort& timers_;
  const UnixClock& clock_;
  PeerSender& peers_;
  Engine& engine_;
  Counters& counters_;
  std::optional<fleet::Membership> membership_;
  TimerId timer_ = 0;     ///< 0: none is armed
  double timer_due_ = 0;  ///< Unix ms
};

}  // namespace keelflow
