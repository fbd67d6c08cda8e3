#include "fleet/probing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace keelflow::fleet {
namespace {

// Messages sent per probe. With 30 % loss in each direction, 7 of 100 probes still fail.
constexpr int kAttempts = 4;
// Periods between the messages of one probe.
constexpr double kAttemptGapPeriods = 0.32;
// Periods after which other members are asked for an indirect probe.
constexpr double kIndirectAfterPeriods = 0.6;
// Periods after which a probe without an answer has failed.
constexpr double kProbeTimeoutPeriods = 1.8;
// In every fourth round the member is probed even if a datagram from it arrived recently.
constexpr std::int64_t kUnconditionalRounds = 4;
// Milliseconds between probes of dead members.
constexpr Time kDeadProbeMs = 1000;
// Number of probes of dead members that are sent immediately after a dead member has returned,
// since several usually return together.
constexpr int kDeadProbesAfterReturn = 8;
// Maximum number of concurrent probes by this node on behalf of other members.
constexpr std::size_t kMaxIndirectProbes = 16;
// Fractional part of the golden ratio: its multiples modulo 1 are evenly spread.
constexpr double kGoldenFraction = 0.6180339887;

}  // namespace

Probing::Probing(const MemberTable& members, MemberSampler& sampler, Dissemination& dissemination,
                 LocalHealth& health, Time period, Time now, FailureHandler on_failed)
    : members_(members),
      sampler_(sampler),
      dissemination_(dissemination),
      health_(health),
      on_failed_(std::move(on_failed)),
      period_(period),
      next_dead_probe_at_(now + kDeadProbeMs) {
  // Spreads the nodes' rounds over the period, so that they do not all probe at the same time.
  double phase = std::fmod(members.self() * kGoldenFraction, 1.0) * period;
  round_due_ = (std::floor(now / period) + 1) * period + phase;
}

void Probing::tick(Time now, MembershipOutput& out) {
  if (now >= round_due_)
    begin_round(now, out);
  for (auto it = probes_.begin(); it != probes_.end();) {
    bool is_over = now >= it->second.next && advance(it->first, it->second, now, out);
    it = is_over ? probes_.erase(it) : std::next(it);
  }
  advance_indirect(now, out);
}

Time Probing::next(Time now) const {
  Time next = std::min(round_due_, next_dead_probe_at_);
  for (const auto& [member, probe] : probes_)
    next = std::min(next, probe.next);
  for (const IndirectProbe& probe : indirect_probes_)
    next = std::min({next, probe.until, is_answered(probe) ? now : probe.next});
  return next;
}

void Probing::start(int member, Time now) {
  if (probes_.contains(member))
    return;
  probes_[member] = {.started_at = now, .next = now, .attempts = 0, .number = ++last_number_};
}

void Probing::stop_all() {
  probes_.clear();
}

void Probing::stop_indirect() {
  indirect_probes_.clear();
}

void Probing::on_datagram(int from) {
  if (probes_.erase(from) > 0)
    health_.improve();
}

void Probing::on_returned(Time now) {
  has_returned_ = true;
  next_dead_probe_at_ = now;
}

void Probing::on_indirect_probe(int requester, int subject, std::uint16_t number, Time now) {
  if (!members_.is_other(subject) || indirect_probes_.size() >= kMaxIndirectProbes)
    return;
  indirect_probes_.push_back({.requester = requester,
                              .subject = subject,
                              .number = number,
                              .until = now + indirect_timeout(),
                              .next = now});
}

void Probing::on_ack(int subject, std::uint16_t number) {
  if (!find(subject, number))
    return;
  probes_.erase(subject);
  health_.improve();
}

void Probing::on_nack(int subject, std::uint16_t number) {
  if (Probe* probe = find(subject, number))
    probe->is_nacked = true;
}

Probing::Probe* Probing::find(int member, std::uint16_t number) {
  auto found = probes_.find(member);
  bool is_match = found != probes_.end() && found->second.number == number;
  return is_match ? &found->second : nullptr;
}

void Probing::begin_round(Time now, MembershipOutput& out) {
  auto round = static_cast<std::int64_t>(std::floor(now / period_));
  round_due_ += period_ * std::max(1.0, std::ceil((now - round_due_ + 1) / period_));
  if (members_.size() < 2)
    return;
  int member = member_of_round(round);
  // A member from which a datagram arrived recently need not be probed. But updates are piggybacked
  // on probes and acks, so they would not spread if only load updates were exchanged.
  bool can_skip_probe = is_recently_received(member, now) && !dissemination_.has_queued() &&
                        round % kUnconditionalRounds != 0;
  if (members_.is_other(member) && members_.is_alive(member) && !can_skip_probe)
    start(member, now);
  probe_suspects(out);
}

// In one round all nodes probe the member at the same distance in the numbering, so that each
// member is probed by one other member.
int Probing::member_of_round(std::int64_t round) const {
  int count = members_.size();
  int distance = 1 + static_cast<int>(round % (count - 1));
  int member = (members_.self() + distance) % count;
  for (int i = 0; i < count && (member == members_.self() || !members_.is_alive(member)); ++i)
    member = (member + 1) % count;
  return member;
}

bool Probing::is_recently_received(int member, Time now) const {
  return now - members_.at(member).last_datagram_at < period_;
}

// Probes suspects each round. The probe carries the accusation, so that the suspect can refute it.
void Probing::probe_suspects(MembershipOutput& out) {
  int probed = 0;
  for (int member = 0; member < members_.size() && probed < kIndirectProbers; ++member) {
    if (members_.at(member).state != MemberState::suspect || probes_.contains(member))
      continue;
    dissemination_.send_probe(member, ++last_number_, out);
    ++probed;
  }
}

Time Probing::probe_deadline(const Probe& probe) const {
  return probe.started_at + kProbeTimeoutPeriods * period_ * health_.timeout_factor();
}

// Returns true when the probe has ended.
bool Probing::advance(int member, Probe& probe, Time now, MembershipOutput& out) {
  Time deadline = probe_deadline(probe);
  if (now >= deadline) {
    fail(member, probe, out);
    return true;
  }
  send_due_messages(member, probe, now, out);
  probe.next = deadline;
  if (probe.attempts < kAttempts)
    probe.next =
        std::min(probe.next, probe.started_at + probe.attempts * kAttemptGapPeriods * period_);
  if (!probe.is_indirect)
    probe.next = std::min(probe.next, probe.started_at + kIndirectAfterPeriods * period_);
  return false;
}

void Probing::send_due_messages(int member, Probe& probe, Time now, MembershipOutput& out) {
  if (probe.attempts < kAttempts &&
      now >= probe.started_at + probe.attempts * kAttemptGapPeriods * period_) {
    ++probe.attempts;
    dissemination_.send_probe(member, probe.number, out);
  }
  if (probe.is_indirect || now < probe.started_at + kIndirectAfterPeriods * period_)
    return;
  probe.is_indirect = true;
  for (int i = 0; i < kIndirectProbers; ++i) {
    int prober = sampler_.alive_member_except(member);
    if (prober < 0)
      continue;
    dissemination_.send(prober,
                        {.kind = MembershipMessage::Kind::indirect_probe,
                         .number = probe.number,
                         .subject = member,
                         .updates = {}},
                        out);
  }
}

// If the indirect probers did not answer either, this node may be at fault.
void Probing::fail(int member, const Probe& probe, MembershipOutput& out) {
  if (probe.is_indirect && !probe.is_nacked)
    health_.worsen();
  on_failed_(member, out);
}

Time Probing::indirect_timeout() const {
  return kProbeTimeoutPeriods * period_ / 2;
}

bool Probing::is_answered(const IndirectProbe& probe) const {
  return members_.at(probe.subject).last_datagram_at >= probe.until - indirect_timeout();
}

void Probing::advance_indirect(Time now, MembershipOutput& out) {
  for (auto it = indirect_probes_.begin(); it != indirect_probes_.end();) {
    IndirectProbe& probe = *it;
    bool answered = is_answered(probe);
    if (answered || now >= probe.until) {
      dissemination_.send(
          probe.requester,
          {.kind = answered ? MembershipMessage::Kind::ack : MembershipMessage::Kind::nack,
           .number = probe.number,
           .subject = probe.subject,
           .updates = {}},
          out);
      it = indirect_probes_.erase(it);
      continue;
    }
    if (now >= probe.next) {
      dissemination_.send_probe(probe.subject, ++last_number_, out);
      probe.next = now + kAttemptGapPeriods * period_;
    }
    ++it;
  }
}

void Probing::tick_dead(Time now, MembershipOutput& out) {
  if (now < next_dead_probe_at_)
    return;
  int left = std::exchange(has_returned_, false) ? kDeadProbesAfterReturn : 1;
  for (int i = 0; i < members_.size() && left > 0; ++i) {
    dead_cursor_ = (dead_cursor_ + 1) % members_.size();
    if (!members_.is_other(dead_cursor_) || members_.is_alive(dead_cursor_))
      continue;
    dissemination_.send_probe(dead_cursor_, ++last_number_, out);
    --left;
  }
  next_dead_probe_at_ = now + kDeadProbeMs;
}

}  // namespace keelflow::fleet
