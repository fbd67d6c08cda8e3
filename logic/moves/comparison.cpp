#include "moves/comparison.h"

#include <algorithm>
#include <cmath>

namespace keelflow::moves {
namespace {

constexpr std::uint64_t kLeastBlocks = 8;  // fewer say nothing of how answers hang together

double normal_cdf(double z) { return 0.5 * std::erfc(-z / std::sqrt(2.0)); }

// The upper quantile of the normal distribution, by bisection: used once for each look, not for each request.
double upper_quantile(double tail) {
  double low = 0, high = 10;
  for (int i = 0; i < 60; ++i) (1 - normal_cdf((low + high) / 2) > tail ? low : high) = (low + high) / 2;
  return (low + high) / 2;
}

}  // namespace

void Comparison::reset() {
  arms_ = {};
  blocks_ = {};
  x_[0] = x_[1] = n_[0] = n_[1] = 0;
  block_ = -1;
}

void Comparison::add(Arm arm, double asked, double in_time, double now_ms) {
  if (!(asked > 0)) return;
  double block = std::floor(now_ms / settings_.block_ms);
  if (block != block_) close_block(), block_ = block;
  std::size_t i = index(arm);
  Sums& s = arms_[i];
  ++s.answers;
  s.asked += asked;
  s.in_time += in_time;
  s.in_time2 += in_time * in_time;
  s.both += in_time * asked;
  s.asked2 += asked * asked;
  x_[i] += in_time;
  n_[i] += asked;
}

void Comparison::close_block() {
  if (n_[0] + n_[1] <= 0) return;
  Blocks& b = blocks_;
  ++b.count;
  for (int i : {0, 1}) {
    b.xx[i] += x_[i] * x_[i];
    b.xn[i] += x_[i] * n_[i];
    b.nn[i] += n_[i] * n_[i];
  }
  b.x0x1 += x_[0] * x_[1];
  b.x0n1 += x_[0] * n_[1];
  b.n0x1 += n_[0] * x_[1];
  b.n0n1 += n_[0] * n_[1];
  x_[0] = x_[1] = n_[0] = n_[1] = 0;
}

double Comparison::independent(std::size_t arm) const {
  const Sums& s = arms_[arm];
  double mean = s.asked / static_cast<double>(s.answers);
  double total = s.asked + 2 * mean, ratio = (s.in_time + mean) / total;
  double squares = s.in_time2 - 2 * ratio * s.both + ratio * ratio * s.asked2;  // sum of (x - ratio n)^2
  squares += mean * mean * ((1 - ratio) * (1 - ratio) + ratio * ratio);         // the made-up two
  return squares / (total * total);
}

double Comparison::clustered(double r0, double r1) const {
  if (blocks_.count < kLeastBlocks) return 0;
  const Blocks& b = blocks_;
  double n0 = arms_[0].asked, n1 = arms_[1].asked;
  double own0 = b.xx[0] - 2 * r0 * b.xn[0] + r0 * r0 * b.nn[0];
  double own1 = b.xx[1] - 2 * r1 * b.xn[1] + r1 * r1 * b.nn[1];
  double across = b.x0x1 - r1 * b.x0n1 - r0 * b.n0x1 + r0 * r1 * b.n0n1;
  double count = static_cast<double>(b.count);
  return std::max(0.0, own0 / (n0 * n0) + own1 / (n1 * n1) - 2 * across / (n0 * n1)) * count / (count - 1);
}

Estimate Comparison::estimate() const {
  Estimate e;
  const Sums &control = arms_[0], &trial = arms_[1];
  e.control_answers = control.answers;
  e.trial_answers = trial.answers;
  if (control.answers > 0) e.control = control.in_time / control.asked;
  if (trial.answers > 0) e.trial = trial.in_time / trial.asked;
  if (control.answers == 0 || trial.answers == 0) return e;
  e.loss = e.control - e.trial;
  double variance = std::max(independent(0) + independent(1), clustered(e.control, e.trial));
  e.error = std::sqrt(variance);
  // The likelihood ratio of "a loss beyond the margin, drawn from a half normal" to "a loss of the margin".
  double tau2 = settings_.spread * settings_.spread, sum = variance + tau2;
  double z = (e.loss - settings_.margin) / e.error;
  double inside = normal_cdf(z * settings_.spread / std::sqrt(sum));
  e.log_evidence = std::log(2 * std::max(inside, 1e-300)) + 0.5 * std::log(variance / sum) + z * z * tau2 / (2 * sum);
  return e;
}

bool Comparison::worse(const Estimate& e) const {
  return e.error > 0 && e.loss > settings_.margin && e.log_evidence >= -std::log(settings_.false_alarm);
}

bool Comparison::no_worse(const Estimate& e) const {
  return e.error > 0 && e.loss + upper_quantile(settings_.miss) * e.error < settings_.worse;
}

}  // namespace keelflow::moves
