/// Lifeguard's local health multiplier: how much a node doubts its own observations.
#pragma once

#include <algorithm>

namespace keelflow::fleet {

/// 0: healthy; the higher the score, the longer its probes wait for an answer.
class LocalHealth {
 public:
  static constexpr int kWorst = 8;

  void worsen(int by = 1) { score_ = std::min(kWorst, score_ + by); }
  void improve() { score_ = std::max(0, score_ - 1); }
  int score() const { return score_; }
  /// Of the time that a probe waits for its answer.
  double timeout_factor() const { return 1 + score_ / kScoreThatDoubles; }
  /// Below it a node's own suspicions go to others.
  bool may_accuse() const { return score_ < kSilentFrom; }

 private:
  static constexpr double kScoreThatDoubles = 4;
  static constexpr int kSilentFrom = 4;

  int score_ = 0;
};

}  // namespace keelflow::fleet
