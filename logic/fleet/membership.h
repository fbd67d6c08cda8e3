/// Failure detection among the nodes of the tier: SWIM with the Lifeguard extensions, over
/// datagrams that may be lost, delayed, duplicated or reordered. Pure: the caller passes in
/// datagrams and the time, and receives state changes and messages to send.
///
/// - The shared clock schedules one probe of every member by one other member in each period. Most
///   of these probes are skipped while datagrams of the probed member arrive and no updates are
///   queued. A member that does not answer is probed through three others, then suspected.
/// - A suspect is notified and refutes with a new incarnation. No node adopts a death verdict of
///   another node: each waits for its own suspicion timeout, which decreases with the number of
///   independent accusers.
/// - A node that was stalled, or receives no datagrams, does not report its suspicions to others.
/// - A member from which nothing was ever received counts as alive, since nothing is
///   known about it.
///
/// All times are milliseconds on the caller's clock, which only moves forward. The clocks of the
/// nodes should agree; a difference only makes the probes less evenly spread.
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

/// One node's protocol instance. Owns the member table, probing and dissemination, and decides on
/// suspicion and death. The caller sends the resulting messages and calls tick() at next().
class Membership {
 public:
  /// Parameters of the protocol.
  struct Settings {
    int members = 1;    ///< number of members; they are numbered from 0 as in the configuration
    int self = 0;       ///< this node's number
    Time period = 250;  ///< each member is scheduled to be probed once per period
    Time least_suspicion = 500;  ///< suspicion timeout with three further accusers
    Time most_suspicion = 1200;  ///< suspicion timeout with a single accuser
  };
  using Member = fleet::Member;
  using Change = MemberChange;
  using Output = MembershipOutput;
  /// Counters since the construction of the Membership.
  struct Statistics {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t stalls = 0;
    std::uint64_t held_back = 0;  ///< gossip messages not sent for lack of budget
  };

  /// `incarnation`: greater than in earlier runs of this node, for example Unix seconds.
  Membership(const Settings& settings, Time now, std::uint32_t incarnation);
  ~Membership() = default;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Returns false if the datagram is not a membership message or its sender is not another member.
  /// Any datagram from another member counts as a sign of life.
  bool on_datagram(Time now, int from, std::string_view bytes, Output& out);
  /// To be called at next(), or as soon as possible after it.
  void tick(Time now, Output& out);
  Time next() const { return next_; }
  /// Announces that this node shuts down, so that others need not detect its failure.
  void leave(Time now, Output& out);

  bool is_alive(int member) const { return members_.is_alive(member); }
  int alive_count() const { return members_.alive_count(); }  ///< including this node
  const Member& at(int member) const { return members_.at(member); }
  int members() const { return members_.size(); }
  /// Lifeguard's local health score: 0 is healthy; up to 8, the node's own observations are less
  /// reliable.
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
  void revert_verdicts_from_isolation(Output& out);
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
  Time last_received_at_;  ///< from any member
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
