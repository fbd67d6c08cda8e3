/// Lifeguard's local health multiplier: a score of how unreliable a node's own observations are.
#pragma once

#include <algorithm>

namespace keelflow::fleet {

/// Score from 0 (healthy) to kMaxHealthScore. A higher score extends the timeout of the node's
/// probes.
class LocalHealth {
 public:
  static constexpr int kMaxHealthScore = 8;

  void worsen(int by = 1) { score_ = std::min(kMaxHealthScore, score_ + by); }
  void improve() { score_ = std::max(0, score_ - 1); }
  int score() const { return score_; }
  /// Multiplier for the timeout of a probe.
  double timeout_factor() const { return 1 + score_ / kScoreDoublingTimeout; }
  /// Whether the node may send its own suspicions to other members.
  bool may_accuse() const { return score_ < kNoAccusationsFromScore; }

 private:
  static constexpr double kScoreDoublingTimeout = 4;
  static constexpr int kNoAccusationsFromScore = 4;

  int score_ = 0;
};

}  // namespace keelflow::fleet
