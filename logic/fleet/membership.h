/// Which nodes of the tier are alive, found out in common: SWIM with the refinements of Lifeguard,
/// on datagrams that may be lost, late, doubled or out of order. Pure: datagrams and the time go
/// in; changes and messages come out.
///
/// - Each period every member is probed by one other, by the clock that all share; a member whose
///   datagrams arrive is spared most of that while no updates are queued. One that does not answer
///   is probed through three others, then suspected.
/// - A suspect is notified, and refutes by a new incarnation. A death is never taken over from
///   others: each node waits out its own suspicion timeout, the shorter the more accuse
///   independently.
/// - A node that was stalled, or receives nothing from anyone, tells nobody of its suspicions.
/// - Members of which nothing was ever received count as alive, as nothing is known.
///
/// All times are milliseconds on the caller's clock, which only moves forward and is the same at
/// all nodes (a difference costs only evenness of the probes).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fleet/dissemination.h"
#include "fleet/local_health.h"
#include "fleet/member_sampler.h"
#include "fleet/member_table.h"
#include "fleet/membership_message.h"
#include "fleet/probing.h"

namespace keelflow::fleet {

/// One node's part in the protocol. Owns its table, probing and dissemination, and decides on
/// suspicion and death; the caller sends what comes out, and calls tick() in time.
class Membership {
 public:
  struct Settings {
    int members = 1;             ///< numbered from 0 on, as the configuration has them
    int self = 0;                ///< this node's number
    Time period = 250;           ///< every member is probed once in it
    Time least_suspicion = 500;  ///< from suspicion to death, where three others accuse too
    Time most_suspicion = 1200;  ///< and where nobody else does
  };
  using Member = fleet::Member;
  using Change = MemberChange;
  using Output = MembershipOutput;
  /// Counters since the start.
  struct Statistics {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t stalls = 0;
    std::uint64_t held_back = 0;  ///< gossip that the budget forbade
  };

  /// `incarnation`: greater than that of this node's former incarnations, as Unix seconds are.
  Membership(const Settings& settings, Time now, std::uint32_t incarnation);
  ~Membership() = default;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// False: no membership message, or from no member. A member's datagram counts as a sign of life
  /// whatever is in it.
  bool on_datagram(Time now, int from, std::string_view bytes, Output& out);
  /// At next(), or as soon after as can be.
  void tick(Time now, Output& out);
  Time next() const { return next_; }
  /// This node ends by itself: the others need not wait for it.
  void leave(Time now, Output& out);

  bool is_alive(int member) const { return members_.is_alive(member); }
  int alive_count() const { return members_.alive_count(); }  ///< this node among them
  const Member& at(int member) const { return members_.at(member); }
  int members() const { return members_.size(); }
  /// Lifeguard's local health. 0: healthy; up to 8: this node doubts its own observations.
  int health() const { return health_.score(); }
  Statistics statistics() const;

 private:
  void on_sign_of_life(int from, std::uint32_t incarnation, Output& out);
  void on_message(int from, const MembershipMessage& message, Output& out);
  void apply_update(const MemberUpdate& update, Output& out);
  void apply_own_update(const MemberUpdate& update, Output& out);
  void apply_suspicion(const MemberUpdate& update, Output& out);
  void on_probe_failed(int member, Output& out);
  void suspect(int member, int accuser, Output& out);
  void declare_dead(int member, Output& out);
  void revert_conclusions(Output& out);
  void check_stall();
  void check_suspects(Output& out);
  void change_state(int member, MemberState state, std::uint32_t incarnation, std::string evidence,
                    Output& out);
  Time suspicion_timeout(const Member& member) const;
  bool is_isolated() const;
  bool has_older_release(const Member& member, std::uint32_t incarnation) const;
  void update_next();

  Settings settings_;
  Time now_;
  Time next_ = 0;
  Time last_received_at_;  ///< of anyone
  bool is_leaving_ = false;
  std::uint64_t suspicions_ = 0;
  std::uint64_t refutations_ = 0;
  std::uint64_t stalls_ = 0;
  LocalHealth health_;
  MemberTable members_;
  MemberSampler sampler_;
  Dissemination dissemination_;
  Probing probing_;
};

}  // namespace keelflow::fleet
