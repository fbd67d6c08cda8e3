/// Probing: in each period every member is probed by one other member, scheduled by the shared
/// clock. A member that does not answer is also probed by others through indirect probes. Pure.
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

/// Owns the probes in progress, including those on behalf of other members, and the times of the
/// next ones. It does not change member states; it reports failed probes to a handler.
class Probing {
 public:
  /// Number of members asked for an indirect probe, and maximum of suspects probed per round. The
  /// suspicion timeout is shortest with this number of accusers besides the first.
  static constexpr int kIndirectProbers = 3;

  /// `on_failed`: called for each probe that got no answer in time.
  using FailureHandler = std::function<void(int member, MembershipOutput& out)>;

  Probing(const MemberTable& members, MemberSampler& sampler, Dissemination& dissemination,
          LocalHealth& health, Time period, Time now, FailureHandler on_failed);

  /// Starts the probe of a new round if it is due, and advances all probes in progress.
  void tick(Time now, MembershipOutput& out);
  /// Probes dead members periodically, since a network partition may have healed.
  void tick_dead(Time now, MembershipOutput& out);
  /// The time of the next work for tick() or tick_dead().
  Time next(Time now) const;

  /// Starts a probe of the member unless one is in progress.
  void start(int member, Time now);
  void stop(int member) { probes_.erase(member); }
  void stop_all();       ///< stops this node's own probes
  void stop_indirect();  ///< stops probes on behalf of other members
  /// A datagram from the member arrived, which answers a probe of it.
  void on_datagram(int from);
  /// A dead member has returned: the next tick() sends probes of dead members.
  void on_returned(Time now);
  void on_indirect_probe(int requester, int subject, std::uint16_t number, Time now);
  void on_ack(int subject, std::uint16_t number);
  void on_nack(int subject, std::uint16_t number);

 private:
  /// A probe in progress of one member.
  struct Probe {
    Time started_at = 0;
    Time next = 0;     ///< when advance() has work
    int attempts = 0;  ///< messages sent
    std::uint16_t number = 0;
    bool is_indirect = false;  ///< indirect probes were requested
    bool is_nacked = false;    ///< an indirect prober reported a nack
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
  Time probe_deadline(const Probe& probe) const;
  Time indirect_timeout() const;
  bool is_answered(const IndirectProbe& probe) const;

  const MemberTable& members_;
  MemberSampler& sampler_;
  Dissemination& dissemination_;
  LocalHealth& health_;
  FailureHandler on_failed_;
  Time period_;
  Time round_due_;
  Time next_dead_probe_at_;
  int dead_cursor_ = 0;  ///< last member considered for a probe of dead members
  /// Whether a dead member has returned since the last probe of dead members.
  bool has_returned_ = false;
  std::uint16_t last_number_ = 0;
  std::map<int, Probe> probes_;                 ///< indexed by member
  std::vector<IndirectProbe> indirect_probes_;  ///< kMaxIndirectProbes at most
};

}  // namespace keelflow::fleet
