/// Compares the trial pool with the control pool over the same time. The test is sequential: it may
/// be evaluated after every answer without exceeding its false-alarm rate. It is the mixture
/// sequential probability ratio test of Robbins (1970) in the form of Johari, Koomen, Pekelis and
/// Walsh ("Always valid inference", 2022), one-sided.
///
/// The ratio of an arm is the priority weight of the requests answered in time divided by that of
/// all its requests. The difference of the two ratios is treated as normally distributed. Its
/// variance is the larger of two estimates. The first assumes independent answers and adds one
/// artificial success and one artificial failure to each arm. The second uses whole blocks of time
/// and compares the errors of the arms block by block: a disturbance that hits both arms cancels
/// out, and correlated answers (a queue, a pause) do not count as independent.
///
/// A few blocks cannot distinguish a bad pool from a short disturbance (docs/design/moves.md has
/// the figures). The two blocks with the strongest evidence against the trial pool are therefore
/// discarded, and the remaining blocks must still show that it is worse.
#pragma once

#include <array>
#include <cstdint>

namespace keelflow::moves {

/// The pool that traffic leaves (control) or the pool that traffic is shifted to (trial).
enum class Arm : std::uint8_t { control, trial };

/// Error rates and effect sizes of the sequential test; losses are differences of ratios.
struct TestSettings {
  double false_alarm = 0.01;  // probability that one whole comparison calls an equal pool worse
  double margin = 0.02;       // a loss up to this value is tolerated
  double worse = 0.05;        // a loss of this size must be ruled out before a step passes
  double miss = 0.01;         // probability that such a loss is ruled out wrongly
  double effect_size = 0.10;  // size of the losses that the test is tuned to detect
  double block_ms = 1000;
};

/// The result of a comparison so far.
struct Estimate {
  double control = 0, trial = 0;  // ratio of each arm, 0 to 1
  double loss = 0, error = 0;     // control - trial, and its standard error
  // Evidence without the discarded blocks; the trial pool is worse from -log(false_alarm) on.
  double log_evidence = 0;
  double trimmed_loss = 0;   // loss without the discarded blocks
  std::uint64_t blocks = 0;  // closed blocks with answers of the trial pool
  std::uint64_t control_answers = 0, trial_answers = 0;
};

/// Accumulates the answers of both arms and evaluates the test.
class Comparison {
 public:
  explicit Comparison(const TestSettings& settings);

  void add(Arm arm, double asked, double in_time, double now_ms);
  Estimate estimate() const;
  bool worse(const Estimate& e) const;     // the loss exceeds the margin with enough evidence
  bool no_worse(const Estimate& e) const;  // a loss of `TestSettings::worse` is ruled out
  void reset();

 private:
  static std::size_t index(Arm arm) { return static_cast<std::size_t>(arm); }
  /// Sums over the answers of one arm.
  struct Sums {
    double asked = 0, in_time = 0;
    double in_time_squared = 0, in_time_by_asked = 0, asked_squared = 0;
    std::uint64_t answers = 0;
    void operator+=(const Sums& o);
  };
  using Block = std::array<Sums, 2>;  // indexed by arm
  /// Sums over blocks of time.
  struct Totals {
    Block arms{};
    // Each is a sum of products over the blocks. x is the priority weight of a block's requests
    // that were answered in time, n that of all its requests. xx, xn and nn multiply sums of one
    // arm; the others multiply sums of both arms.
    double xx[2] = {}, xn[2] = {}, nn[2] = {};
    double x0x1 = 0, x0n1 = 0, n0x1 = 0, n0n1 = 0;
    std::uint64_t count = 0;
    void operator+=(const Block& block);
    double variance(double ratio0, double ratio1) const;
  };
  static constexpr std::size_t kDiscardedBlocks = 2;
  void close_block();
  double trial_shortfall(const Block& block) const;

  TestSettings settings_;
  double miss_quantile_;  // normal quantile of settings_.miss
  Totals kept_;           // all closed blocks except the worst
  std::array<Block, kDiscardedBlocks> worst_{};
  std::uint64_t trial_blocks_ = 0;
  std::array<std::uint64_t, 2> answers_{};
  Block open_{};
  double block_ends_ = -1;
};

}  // namespace keelflow::moves
