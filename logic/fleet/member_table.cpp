#include "fleet/member_table.h"

#include <utility>

#include "fleet/mix.h"

namespace keelflow::fleet {
namespace {

// A member's contribution to the digest. A suspected member contributes the same as an alive one.
std::uint32_t digest_of(int member, const Member& state) {
  if (state.state == MemberState::unknown)
    return 0;
  std::uint64_t is_dead = state.state == MemberState::dead;
  return static_cast<std::uint32_t>(
      mix(static_cast<std::uint64_t>(member) << 33 | is_dead << 32 | state.incarnation));
}

}  // namespace

MemberTable::MemberTable(int members, int self)
    : self_(self), members_(static_cast<std::size_t>(members)), alive_count_(members) {}

void MemberTable::change_state(int member, MemberState state, std::uint32_t incarnation,
                               std::string evidence, Time now, std::vector<MemberChange>& changes) {
  Member& updated_member = at(member);
  MemberState before = updated_member.state;
  digest_ ^= digest_of(member, updated_member);
  alive_count_ += (state != MemberState::dead) - (before != MemberState::dead);
  suspect_count_ += (state == MemberState::suspect) - (before == MemberState::suspect);
  updated_member.state = state;
  updated_member.incarnation = incarnation;
  updated_member.has_left = false;
  if (state != MemberState::suspect)
    updated_member.accusers.clear();
  digest_ ^= digest_of(member, updated_member);
  if (state == before)
    return;
  updated_member.since = now;
  deaths_ += state == MemberState::dead;
  if (member != self_)
    changes.push_back({member, before, state, incarnation, std::move(evidence)});
}

void MemberTable::announce_leave() {
  Member& own = at(self_);
  own.has_left = true;
  own.state = MemberState::dead;
}

std::vector<MemberUpdate> MemberTable::updates_of(int member) const {
  const Member& of = at(member);
  if (of.state == MemberState::unknown)
    return {};
  if (of.state == MemberState::alive)
    return {{member, MemberState::alive, of.incarnation, member}};
  if (of.has_left)
    return {{member, MemberState::dead, of.incarnation, member}};
  std::vector<MemberUpdate> updates;
  for (int accuser : of.accusers)
    updates.push_back({member, of.state, of.incarnation, accuser});
  if (updates.empty())
    updates.push_back({member, of.state, of.incarnation, self_});
  return updates;
}

}  // namespace keelflow::fleet
