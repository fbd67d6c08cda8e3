#include "fleet/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace keelflow::fleet {
namespace {

// Number of accusers in addition to the first one that reduces the suspicion timeout to its
// minimum. It equals the number of indirect probers.
constexpr int kMaxConfirmations = Probing::kIndirectProbers;
// Expected number of members that immediately probe a member when another member suspects it. Each
// member decides at random whether it probes.
constexpr int kExpectedVerifiers = 5;
// A node that has received no datagram for more than this number of periods is isolated.
constexpr Time kIsolatedAfterPeriods = 3;
// Milliseconds after a member's death before its datagrams without an incarnation (an earlier
// release) count as its return.
constexpr Time kReturnDelayMs = 1000;

std::string name_of(int member) {
  return "n" + std::to_string(member);
}

}  // namespace

Membership::Membership(const Settings& settings, Time now, std::uint32_t incarnation)
    : settings_(settings),
      now_(now),
      last_received_at_(now),
      members_(settings.members, settings.self),
      sampler_(members_, incarnation ^ static_cast<std::uint64_t>(settings.self) << 32),
      dissemination_(members_, sampler_, now),
      probing_(members_, sampler_, dissemination_, health_, settings.period, now,
               [this](int member, Output& out) { on_probe_failed(member, out); }) {
  Output none;
  change_state(settings.self, MemberState::alive, incarnation, "", none);
  dissemination_.enqueue(settings.self);
  update_next();
}

Membership::Statistics Membership::statistics() const {
  return {.messages = dissemination_.messages(),
          .bytes = dissemination_.bytes(),
          .suspicions = suspicions_,
          .refutations = refutations_,
          .deaths = members_.deaths(),
          .stalls = stalls_,
          .held_back = dissemination_.held_back()};
}

void Membership::change_state(int member, MemberState state, std::uint32_t incarnation,
                              std::string evidence, Output& out) {
  members_.change_state(member, state, incarnation, std::move(evidence), now_, out.changes);
}

bool Membership::is_isolated() const {
  return now_ - last_received_at_ > kIsolatedAfterPeriods * settings_.period;
}

bool Membership::on_datagram(Time now, int from, std::string_view bytes, Output& out) {
  now_ = std::max(now_, now);
  if (!members_.is_other(from))
    return false;
  auto message = decode_membership_message(bytes);
  on_sign_of_life(from, message ? message->incarnation : 0, out);
  if (message) {
    for (const MemberUpdate& update : message->updates)
      if (members_.is_member(update.member) && members_.is_member(update.reported_by))
        apply_update(update, out);
    on_message(from, *message, out);
  }
  update_next();
  return message.has_value();
}

// A member that was downgraded to an earlier release sends no membership messages, so after its
// death only its other datagrams show that it is back.
bool Membership::has_older_release(const Member& member, std::uint32_t incarnation) const {
  return incarnation == 0 && member.state == MemberState::dead &&
         member.last_membership_message_at < member.since && now_ > member.since + kReturnDelayMs;
}

// A suspected or dead member is notified on each membership message from it and refutes with a new
// incarnation. A datagram alone refutes nothing: a member that cannot receive the accusation cannot
// receive anything else either, and the members that its datagrams reach would consider it alive
// while other members do not. `incarnation` 0: the datagram was not a membership message.
void Membership::on_sign_of_life(int from, std::uint32_t incarnation, Output& out) {
  if (is_isolated())
    revert_verdicts_from_isolation(out);
  last_received_at_ = now_;
  Member& member = members_.at(from);
  if (member.has_left && incarnation <= member.incarnation)
    return;
  member.last_datagram_at = now_;
  probing_.on_datagram(from);
  bool has_returned = has_older_release(member, incarnation);
  if (incarnation > 0)
    member.last_membership_message_at = now_;
  if (member.state == MemberState::dead && (incarnation > member.incarnation || has_returned))
    probing_.on_returned(now_);
  if (member.state == MemberState::unknown || incarnation > member.incarnation) {
    change_state(from, MemberState::alive, std::max(incarnation, member.incarnation),
                 "received a datagram from it", out);
    return dissemination_.enqueue(from);
  }
  if (member.state == MemberState::alive)
    return;
  if (incarnation > 0)
    dissemination_.send_gossip(from, members_.updates_of(from), out);
  if (has_returned)
    change_state(from, MemberState::alive, member.incarnation,
                 "received a datagram without an incarnation from the member", out);
}

// Reverts suspicions and deaths concluded while this node was isolated: a node that receives
// nothing cannot judge the other members.
void Membership::revert_verdicts_from_isolation(Output& out) {
  for (int m = 0; m < members_.size(); ++m) {
    const Member& member = members_.at(m);
    if (members_.is_other(m) && !member.has_left && member.since >= last_received_at_ &&
        members_.is_accused(m))
      change_state(m, MemberState::alive, member.incarnation, "this node had heard nobody", out);
  }
  probing_.stop_all();
}

void Membership::on_message(int from, const MembershipMessage& message, Output& out) {
  using Kind = MembershipMessage::Kind;
  bool tables_differ = message.digest != members_.digest();
  auto padding = tables_differ ? Dissemination::Padding::table : Dissemination::Padding::none;
  switch (message.kind) {
    case Kind::probe:
      return dissemination_.send(
          from,
          {.kind = Kind::ack, .number = message.number, .subject = settings_.self, .updates = {}},
          out, padding);
    case Kind::indirect_probe:
      return probing_.on_indirect_probe(from, message.subject, message.number, now_);
    case Kind::nack:
      return probing_.on_nack(message.subject, message.number);
    case Kind::ack:
      probing_.on_ack(message.subject, message.number);
      // The member that answered included part of its table; the prober sends part of its own.
      if (tables_differ)
        dissemination_.send_gossip(from, {}, out, padding);
      return;
    case Kind::gossip:
      return;
  }
}

void Membership::apply_update(const MemberUpdate& update, Output& out) {
  if (update.member == settings_.self)
    return apply_own_update(update, out);
  Member& member = members_.at(update.member);
  bool is_unknown = member.state == MemberState::unknown;
  if (!is_unknown && update.incarnation < member.incarnation)
    return;
  bool is_newer = is_unknown || update.incarnation > member.incarnation;
  if (update.state == MemberState::alive) {
    if (!is_newer)
      return;
    change_state(update.member, MemberState::alive, update.incarnation, "reported alive by others",
                 out);
    return dissemination_.enqueue(update.member);
  }
  bool announces_end = update.state == MemberState::dead && update.reported_by == update.member;
  if (announces_end) {
    if (member.has_left)
      return;
    change_state(update.member, MemberState::dead, update.incarnation, "it said that it ends", out);
    member.has_left = true;
    return dissemination_.enqueue_urgent(update.member, now_, out);
  }
  if (is_newer)
    change_state(update.member, MemberState::alive, update.incarnation, "reported by others", out);
  apply_suspicion(update, out);
}

// Treats a death reported by another member as a suspicion: this node waits for its own timeout.
void Membership::apply_suspicion(const MemberUpdate& update, Output& out) {
  Member& member = members_.at(update.member);
  if (member.state == MemberState::alive)
    return suspect(update.member, update.reported_by, out);
  if (member.state != MemberState::suspect || member.accusers.size() > kMaxConfirmations)
    return;
  if (member.accusers.insert(update.reported_by).second)
    dissemination_.enqueue_urgent(update.member, now_, out);
}

// Refutes every report about this node that differs from its own state.
void Membership::apply_own_update(const MemberUpdate& update, Output& out) {
  std::uint32_t own = members_.own_incarnation();
  bool is_known = update.state == MemberState::alive && update.incarnation == own;
  if (is_leaving_ || update.incarnation < own || is_known)
    return;
  change_state(settings_.self, MemberState::alive, update.incarnation + 1, "", out);
  ++refutations_;
  if (update.state != MemberState::alive)
    health_.worsen();
  dissemination_.enqueue_urgent(settings_.self, now_, out);
}

void Membership::on_probe_failed(int member, Output& out) {
  Member& failed = members_.at(member);
  if (failed.state == MemberState::alive)
    return suspect(member, settings_.self, out);
  if (failed.state != MemberState::suspect || is_isolated())
    return;
  if (failed.accusers.insert(settings_.self).second)
    dissemination_.enqueue_urgent(member, now_, out);
}

void Membership::suspect(int member, int accuser, Output& out) {
  ++suspicions_;
  bool is_own = accuser == settings_.self;
  members_.at(member).accusers = {accuser};
  change_state(member, MemberState::suspect, members_.at(member).incarnation,
               is_own ? "no answer to probes" : "reported by " + name_of(accuser), out);
  if (!is_own || (!is_isolated() && health_.may_accuse()))
    dissemination_.enqueue_urgent(member, now_, out);
  if (!is_own && sampler_.uniform() * members_.alive_count() < kExpectedVerifiers)
    probing_.start(member, now_);
}

void Membership::tick(Time now, Output& out) {
  now_ = std::max(now_, now);
  if (now_ < next_)
    return;
  check_stall();
  probing_.tick(now_, out);
  check_suspects(out);
  probing_.tick_dead(now_, out);
  update_next();
}

// A stalled node received nothing while it was stalled. Extends the suspicion timeouts by that
// time, cancels the probes in progress, and worsens the local health, so that for a while the node
// does not report its own suspicions.
void Membership::check_stall() {
  Time late = now_ - next_;
  if (late < settings_.period)
    return;
  ++stalls_;
  health_.worsen(static_cast<int>(late / settings_.period));
  for (int m = 0; m < members_.size(); ++m)
    if (members_.at(m).state == MemberState::suspect)
      members_.at(m).since += late;
  probing_.stop_all();
  probing_.stop_indirect();
  last_received_at_ = std::max(last_received_at_, now_ - settings_.period);
}

// The timeout decreases with the number of independent accusers.
Time Membership::suspicion_timeout(const Member& member) const {
  int others = std::min(kMaxConfirmations, members_.alive_count() - 2);
  if (others <= 0)
    return settings_.most_suspicion;
  double confirmations = std::min<double>(others, static_cast<double>(member.accusers.size()) - 1);
  double fraction = std::log(confirmations + 1) / std::log(others + 1);
  return settings_.most_suspicion -
         (settings_.most_suspicion - settings_.least_suspicion) * fraction;
}

void Membership::check_suspects(Output& out) {
  for (int m = 0; m < members_.size(); ++m) {
    const Member& member = members_.at(m);
    if (member.state == MemberState::suspect && now_ >= member.since + suspicion_timeout(member))
      declare_dead(m, out);
  }
}

void Membership::declare_dead(int member, Output& out) {
  Member& dead = members_.at(member);
  std::set<int> accusers = dead.accusers;
  std::string evidence = "no answer to";
  for (int accuser : accusers)
    evidence += " " + name_of(accuser);
  change_state(member, MemberState::dead, dead.incarnation, evidence, out);
  // change_state() has cleared the accusers, but the updates about the dead member list them.
  dead.accusers = std::move(accusers);
  probing_.stop(member);
  if (!is_isolated())
    dissemination_.enqueue(member);
}

void Membership::leave(Time now, Output& out) {
  now_ = std::max(now_, now);
  is_leaving_ = true;
  members_.announce_leave();
  dissemination_.enqueue_urgent(settings_.self, now_, out);
}

void Membership::update_next() {
  next_ = probing_.next(now_);
  for (int m = 0; members_.suspect_count() > 0 && m < members_.size(); ++m) {
    const Member& member = members_.at(m);
    if (member.state == MemberState::suspect)
      next_ = std::min(next_, member.since + suspicion_timeout(member));
  }
}

}  // namespace keelflow::fleet
