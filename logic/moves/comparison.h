// Is the trial pool worse than the control pool, over the same moments? A sequential test that may
// be looked at after every answer without losing its false-alarm rate: the mixture sequential
// probability ratio test of Robbins (1970) in the form of Johari, Koomen, Pekelis and Walsh
// ("Always valid inference", 2022), one-sided.
//
// Each arm's share is worth answered in time over worth asked. The difference of two such ratios is
// taken as normal. Its variance is the larger of two estimates: that of independent answers, with
// one made-up success and one made-up failure in each arm, and that of whole blocks of time, whose
// errors are compared between the arms block by block: a shock that hits both cancels, and answers
// that hang together (a queue, a pause) do not count as independent.
//
// A few blocks cannot tell a bad pool from a bad moment (docs/design/moves.md has the figures), so
// the two blocks that speak most against the trial pool are left out, and what remains must still
// say that it is worse.
#pragma once

#include <array>
#include <cstdint>

namespace keelflow::moves {

enum class Arm : std::uint8_t { control, trial };

struct TestSettings {
  double false_alarm = 0.01;  // chance, over one whole comparison, to call an equal pool worse
  double margin = 0.02;       // a loss of the share up to this is no ground
  double worse = 0.05;        // a loss of this must be ruled out before a step passes
  double miss = 0.01;         // chance that it is not
  double spread = 0.10;       // size of the losses that the test is tuned to find
  double block_ms = 1000;
};

struct Estimate {
  double control = 0, trial = 0;  // shares, 0 to 1
  double loss = 0, error = 0;     // control - trial, and its standard error
  double log_evidence =
      0;  // of the test, without the worst blocks; from -log(false_alarm) on it is called worse
  double trimmed_loss = 0;   // without them
  std::uint64_t blocks = 0;  // closed, with answers of the trial
  std::uint64_t control_answers = 0, trial_answers = 0;
};

class Comparison {
 public:
  explicit Comparison(const TestSettings& settings);

  void add(Arm arm, double asked, double in_time, double now_ms);
  Estimate estimate() const;
  bool worse(const Estimate& e) const;     // beyond the margin, surely
  bool no_worse(const Estimate& e) const;  // a loss of `worse` is ruled out
  void reset();

 private:
  static std::size_t index(Arm arm) { return static_cast<std::size_t>(arm); }
  struct Sums {  // over answers
    double asked = 0, in_time = 0, in_time_squared = 0, in_time_by_asked = 0, asked_squared = 0;
    std::uint64_t answers = 0;
    void operator+=(const Sums& o);
  };
  using Block = std::array<Sums, 2>;  // by arm
  struct Totals {
    Block arms{};
    // Sums over blocks of products of (x, n) of the arms: xx, xn, nn, and across the arms.
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
  double miss_quantile_;  // of settings_.miss
  Totals kept_;           // all closed blocks but the worst
  std::array<Block, kDiscardedBlocks> worst_{};
  std::uint64_t trial_blocks_ = 0;
  std::array<std::uint64_t, 2> answers_{};
  Block open_{};
  double block_ends_ = -1;
};

}  // namespace keelflow::moves
