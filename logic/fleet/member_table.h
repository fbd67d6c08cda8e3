/// What one node knows of each member of the tier, and the values that go with the whole table: its
/// digest and its counts. Pure; times are milliseconds on the caller's clock.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fleet/membership_message.h"

namespace keelflow::fleet {

using Time = double;  // ms

/// One member as this node sees it.
struct Member {
  MemberState state = MemberState::unknown;
  std::uint32_t incarnation = 0;
  Time since = 0;                 ///< it is in that state
  Time last_datagram_at = -1e18;  ///< of any kind
  Time last_membership_message_at = -1e18;
  std::set<int> accusers;  ///< of a suspect: who reported it
  bool has_left = false;   ///< it announced its end: only a new incarnation of it counts
};

/// A member's change of state.
struct MemberChange {
  int member = 0;
  MemberState from = MemberState::unknown;
  MemberState to = MemberState::unknown;
  std::uint32_t incarnation = 0;
  std::string evidence;  ///< why, for people
};

/// Owns the members' states: each changes in change_state() and in nothing else, but for
/// announce_leave().
class MemberTable {
 public:
  MemberTable(int members, int self);

  /// Adds the change to `changes` if the state is another one; not of this node itself. Who is no
  /// suspect has no accusers.
  void change_state(int member, MemberState state, std::uint32_t incarnation, std::string evidence,
                    Time now, std::vector<MemberChange>& changes);
  /// This node ends. The counts and the digest stay as they are.
  void announce_leave();

  /// What there is to report of one member: nothing if it is unknown, else an update for each
  /// reporter.
  std::vector<MemberUpdate> updates_of(int member) const;

  int size() const { return static_cast<int>(members_.size()); }
  int self() const { return self_; }
  const Member& at(int member) const { return members_[static_cast<std::size_t>(member)]; }
  Member& at(int member) { return members_[static_cast<std::size_t>(member)]; }
  bool is_other(int member) const { return member >= 0 && member < size() && member != self_; }
  bool is_member(int member) const { return member >= 0 && member < size(); }
  bool is_alive(int member) const { return at(member).state != MemberState::dead; }
  bool is_accused(int member) const {
    return at(member).state == MemberState::suspect || at(member).state == MemberState::dead;
  }
  std::uint32_t own_incarnation() const { return at(self_).incarnation; }

  int alive_count() const { return alive_count_; }  ///< not dead, this node among them
  int suspect_count() const { return suspect_count_; }
  std::uint32_t digest() const { return digest_; }  ///< equal tables have equal ones
  std::uint64_t deaths() const { return deaths_; }

 private:
  int self_;
  std::vector<Member> members_;
  int alive_count_;
  int suspect_count_ = 0;
  std::uint32_t digest_ = 0;
  std::uint64_t deaths_ = 0;
};

}  // namespace keelflow::fleet
