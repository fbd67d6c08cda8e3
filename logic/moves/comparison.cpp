#include "moves/comparison.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace keelflow::moves {
namespace {

constexpr std::uint64_t kMinBlocks = 8;  // fewer cannot show correlation between answers
// Minimum number of closed blocks of time that contain answers of the trial pool (the pool to which
// traffic moves) before any conclusion.
constexpr std::uint64_t kMinTrialBlocks = 5;

double normal_cdf(double z) {
  return 0.5 * std::erfc(-z / std::sqrt(2.0));
}

// Returns the upper quantile of the normal distribution, by bisection.
double upper_quantile(double tail) {
  double low = 0, high = 10;
  for (int i = 0; i < 60; ++i)
    (1 - normal_cdf((low + high) / 2) > tail ? low : high) = (low + high) / 2;
  return (low + high) / 2;
}

// Returns the variance of the ratio under independent answers, from sums over the answers.
double independent_variance(double in_time, double asked, double in_time_squared,
                            double in_time_by_asked, double asked_squared, std::uint64_t answers) {
  double mean_asked = asked / static_cast<double>(answers);
  double total = asked + 2 * mean_asked, ratio = (in_time + mean_asked) / total;
  double squares =
      in_time_squared - 2 * ratio * in_time_by_asked +
      ratio * ratio * asked_squared;  // sum over answers of (in_time - ratio * asked)^2
  squares += mean_asked * mean_asked *
             ((1 - ratio) * (1 - ratio) + ratio * ratio);  // the two artificial answers
  return squares / (total * total);
}

}  // namespace

void Comparison::Sums::operator+=(const Sums& o) {
  asked += o.asked;
  in_time += o.in_time;
  in_time_squared += o.in_time_squared;
  in_time_by_asked += o.in_time_by_asked;
  asked_squared += o.asked_squared;
  answers += o.answers;
}

void Comparison::Totals::operator+=(const Block& b) {
  if (b[0].answers + b[1].answers == 0)
    return;
  ++count;
  for (std::size_t i : {0, 1}) {
    arms[i] += b[i];
    xx[i] += b[i].in_time * b[i].in_time;
    xn[i] += b[i].in_time * b[i].asked;
    nn[i] += b[i].asked * b[i].asked;
  }
  x0x1 += b[0].in_time * b[1].in_time;
  x0n1 += b[0].in_time * b[1].asked;
  n0x1 += b[0].asked * b[1].in_time;
  n0n1 += b[0].asked * b[1].asked;
}

double Comparison::Totals::variance(double r0, double r1) const {
  double independent = 0;
  for (const Sums& s : arms)
    independent += independent_variance(s.in_time, s.asked, s.in_time_squared, s.in_time_by_asked,
                                        s.asked_squared, s.answers);
  if (count < kMinBlocks)
    return independent;
  double n0 = arms[0].asked, n1 = arms[1].asked;
  double residual_squares0 = xx[0] - 2 * r0 * xn[0] + r0 * r0 * nn[0];
  double residual_squares1 = xx[1] - 2 * r1 * xn[1] + r1 * r1 * nn[1];
  double covariance = x0x1 - r1 * x0n1 - r0 * n0x1 + r0 * r1 * n0n1;
  double blocks = static_cast<double>(count);
  double by_block =
      (residual_squares0 / (n0 * n0) + residual_squares1 / (n1 * n1) - 2 * covariance / (n0 * n1)) *
      blocks / (blocks - 1);
  return std::max(independent, by_block);
}

Comparison::Comparison(const TestSettings& settings)
    : settings_(settings), miss_quantile_(upper_quantile(settings.miss)) {}

void Comparison::reset() {
  *this = Comparison(settings_);
}

void Comparison::add(Arm arm, double asked, double in_time, double now_ms) {
  if (!(asked > 0))
    return;
  if (now_ms >= block_ends_) {
    close_block();
    block_ends_ = settings_.block_ms * (std::floor(now_ms / settings_.block_ms) + 1);
  }
  ++answers_[index(arm)];
  open_[index(arm)] += {asked, in_time, in_time * in_time, in_time * asked, asked * asked, 1};
}

// Returns how far the weight that the trial pool answered in time in a block falls short of what
// the control pool's ratio so far predicts.
double Comparison::trial_shortfall(const Block& b) const {
  const Sums& control = kept_.arms[0];
  double control_ratio = control.asked > 0 ? control.in_time / control.asked : 1;
  return b[1].asked * control_ratio - b[1].in_time;
}

// Keeps the open block among the worst blocks if it is worse than one of them; the block that it
// displaces is added to the other blocks.
void Comparison::close_block() {
  trial_blocks_ += open_[1].answers > 0;
  for (Block& worst : worst_)
    if (trial_shortfall(open_) > trial_shortfall(worst))
      std::swap(open_, worst);
  kept_ += open_;
  open_ = {};
}

Estimate Comparison::estimate() const {
  Estimate e;
  e.control_answers = answers_[0];
  e.trial_answers = answers_[1];
  e.blocks = trial_blocks_;
  Totals all = kept_;
  for (const Block& worst : worst_)
    all += worst;
  all += open_;
  const Sums &control = all.arms[0], &trial = all.arms[1];
  if (control.answers > 0)
    e.control = control.in_time / control.asked;
  if (trial.answers > 0)
    e.trial = trial.in_time / trial.asked;
  if (control.answers == 0 || trial.answers == 0)
    return e;
  e.loss = e.control - e.trial;
  e.error = std::sqrt(all.variance(e.control, e.trial));
  const Sums &control_kept = kept_.arms[0], &trial_kept = kept_.arms[1];
  if (control_kept.answers == 0 || trial_kept.answers == 0)
    return e;
  double r0 = control_kept.in_time / control_kept.asked, r1 = trial_kept.in_time / trial_kept.asked;
  e.trimmed_loss = r0 - r1;
  // Log of the likelihood ratio between two hypotheses: a loss beyond the margin, drawn from a
  // half-normal distribution, and a loss equal to the margin.
  double variance = kept_.variance(r0, r1), tau2 = settings_.effect_size * settings_.effect_size,
         sum = variance + tau2;
  double z = (e.trimmed_loss - settings_.margin) / std::sqrt(variance);
  double inside = normal_cdf(z * settings_.effect_size / std::sqrt(sum));
  e.log_evidence = std::log(2 * std::max(inside, 1e-300)) + 0.5 * std::log(variance / sum) +
                   z * z * tau2 / (2 * sum);
  return e;
}

bool Comparison::worse(const Estimate& e) const {
  return e.blocks >= kMinTrialBlocks && e.trimmed_loss > settings_.margin &&
         e.log_evidence >= -std::log(settings_.false_alarm);
}

bool Comparison::no_worse(const Estimate& e) const {
  return e.blocks >= kMinTrialBlocks && e.loss + miss_quantile_ * e.error < settings_.worse;
}

}  // namespace keelflow::moves
