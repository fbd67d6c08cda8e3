/// Probing: each period every member is probed by one other, by the clock that all share, and by
/// others through indirect probes where it does not answer. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "fleet/dissemination.h"
#include "fleet/local_health.h"
#include "fleet/member_sampler.h"
#include "fleet/member_table.h"

namespace keelflow::fleet {

/// Owns the probes under way, those for others among them, and the times of the next ones. It
/// changes no member's state: a failed probe is reported.
class Probing {
 public:
  /// Members that are asked for an indirect probe, and suspects that are probed in a round. As many
  /// independent accusers make the shortest suspicion timeout.
  static constexpr int kIndirectProbers = 3;

  /// `on_failed`: called for each probe that got no answer in time.
  using FailureHandler = std::function<void(int member, MembershipOutput& out)>;

  Probing(const MemberTable& members, MemberSampler& sampler, Dissemination& dissemination,
          LocalHealth& health, Time period, Time now, FailureHandler on_failed);

  /// Starts the probe of a new round if it is due, and takes all probes under way further.
  void tick(Time now, MembershipOutput& out);
  /// Probes dead members now and then: a network partition may have healed.
  void tick_dead(Time now, MembershipOutput& out);
  /// When one of the two has something to do.
  Time next(Time now) const;

  /// From now on that member is probed, if it is not already.
  void start(int member, Time now);
  void stop(int member) { probes_.erase(member); }
  void stop_all();       ///< its own probes
  void stop_indirect();  ///< those on behalf of others
  /// A datagram of that member arrived: its probe is answered.
  void on_datagram(int from);
  /// A dead member has a new incarnation: others may be back too, and are probed at once.
  void on_returned(Time now);
  void on_indirect_probe(int requester, int subject, std::uint16_t number, Time now);
  void on_ack(int subject, std::uint16_t number);
  void on_nack(int subject, std::uint16_t number);

 private:
  struct Probe {
    Time begun = 0;
    Time next = 0;     ///< when it is to be taken further
    int attempts = 0;  ///< messages sent
    std::uint16_t number = 0;
    bool is_indirect = false;  ///< others were asked too
    bool is_nacked = false;    ///< one of those answered
  };
  /// A probe on behalf of another member.
  struct IndirectProbe {
    int requester = 0;
    int subject = 0;
    std::uint16_t number = 0;
    Time until = 0;
    Time next = 0;
  };

  void begin_round(Time now, MembershipOutput& out);
  void probe_suspects(MembershipOutput& out);
  int member_of_round(std::int64_t round) const;
  bool is_recently_received(int member, Time now) const;
  bool advance(int member, Probe& probe, Time now, MembershipOutput& out);
  void send_due_messages(int member, Probe& probe, Time now, MembershipOutput& out);
  void fail(int member, const Probe& probe, MembershipOutput& out);
  void advance_indirect(Time now, MembershipOutput& out);
  Probe* find(int member, std::uint16_t number);
  Time verdict_time(const Probe& probe) const;
  Time indirect_timeout() const;
  bool is_answered(const IndirectProbe& probe) const;

  const MemberTable& members_;
  MemberSampler& sampler_;
  Dissemination& dissemination_;
  LocalHealth& health_;
  FailureHandler on_failed_;
  Time period_;
  Time round_due_;
  Time dead_due_;
  int dead_cursor_ = 0;        ///< member
  bool has_returned_ = false;  ///< since the last probe of dead members
  std::uint16_t last_number_ = 0;
  std::map<int, Probe> probes_;                 ///< by member
  std::vector<IndirectProbe> indirect_probes_;  ///< kMostIndirectProbes at most
};

}  // namespace keelflow::fleet
