/// The state of each member of the tier as one node sees it, and the digest and counts of the whole
/// table. Pure; times are milliseconds on the caller's clock.
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
  Time since = 0;                 ///< time of the last change of `state`
  Time last_datagram_at = -1e18;  ///< arrival of the last datagram of any kind from it
  Time last_membership_message_at = -1e18;
  std::set<int> accusers;  ///< members that reported this member as suspect or dead
  bool has_left = false;   ///< it announced its shutdown; only a newer incarnation revives it
};

/// A member's change of state.
struct MemberChange {
  int member = 0;
  MemberState from = MemberState::unknown;
  MemberState to = MemberState::unknown;
  std::uint32_t incarnation = 0;
  std::string evidence;  ///< the reason, in words for the log
};

/// Owns the members' states. change_state() is the only function that changes a state, except for
/// announce_leave().
class MemberTable {
 public:
  MemberTable(int members, int self);

  /// Appends to `changes` if the state differs from the old one and the member is not this node.
  /// Clears the accusers unless the new state is suspect.
  void change_state(int member, MemberState state, std::uint32_t incarnation, std::string evidence,
                    Time now, std::vector<MemberChange>& changes);
  /// Marks this node as leaving. The counts and the digest do not change.
  void announce_leave();

  /// Returns the updates to send about one member: none if its state is unknown, one if it is alive
  /// or has left, else one for each accuser (from this node if there is none).
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

  int alive_count() const {
    return alive_count_;
  }  ///< members that are not dead, including this node
  int suspect_count() const { return suspect_count_; }
  std::uint32_t digest() const { return digest_; }  ///< equal tables have equal digests
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
