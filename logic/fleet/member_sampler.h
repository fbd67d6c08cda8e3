/// Pseudo-random choices of a membership: the same seed and calls give the same choices.
#pragma once

#include <cstdint>

#include "fleet/member_table.h"
#include "fleet/mix.h"

namespace keelflow::fleet {

/// Owns the generator's state.
class MemberSampler {
 public:
  MemberSampler(const MemberTable& members, std::uint64_t seed)
      : members_(members), state_(mix(seed)) {}

  /// In [0, 1).
  double uniform() {
    state_ = mix(state_);
    return static_cast<double>(state_ >> 11) * 0x1p-53;
  }

  /// Another member that is not dead, and not `excluded`. -1: none found in kMostDraws draws.
  int alive_member_except(int excluded) {
    for (int draw = 0; draw < kMostDraws; ++draw) {
      int member = static_cast<int>(uniform() * members_.size());
      if (members_.is_other(member) && member != excluded && members_.is_alive(member))
        return member;
    }
    return -1;
  }

 private:
  static constexpr int kMostDraws = 16;  // then nearly all are dead, or there is no other

  const MemberTable& members_;
  std::uint64_t state_;
};

}  // namespace keelflow::fleet
