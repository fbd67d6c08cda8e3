/// Pseudo-random choices of a Membership: the same seed and sequence of calls give the same
/// choices.
#pragma once

#include <cstdint>

#include "fleet/member_table.h"
#include "fleet/mix.h"

namespace keelflow::fleet {

/// Draws random numbers and random members. Owns the generator's state.
class MemberSampler {
 public:
  MemberSampler(const MemberTable& members, std::uint64_t seed)
      : members_(members), state_(mix(seed)) {}

  /// In [0, 1).
  double uniform() {
    state_ = mix(state_);
    return static_cast<double>(state_ >> 11) * 0x1p-53;
  }

  /// Returns a random member that is not dead, not this node and not `excluded`, or -1 if
  /// kMaxDraws draws found none.
  int alive_member_except(int excluded) {
    for (int draw = 0; draw < kMaxDraws; ++draw) {
      int member = static_cast<int>(uniform() * members_.size());
      if (members_.is_other(member) && member != excluded && members_.is_alive(member))
        return member;
    }
    return -1;
  }

 private:
  static constexpr int kMaxDraws =
      16;  // if all of them fail, nearly all members are dead or none is left

  const MemberTable& members_;
  std::uint64_t state_;
};

}  // namespace keelflow::fleet
