/// Detects surges of traffic. Arrivals are counted per second; a fast moving average is compared
/// with a slow one, the baseline, which hardly changes during a surge. Arrivals must be reported
/// from the detector's creation, long before the result is needed. A baseline learned in a few
/// seconds deviates by its noise, and a surge measured against such a baseline may never appear to
/// end.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <utility>

namespace keelflow::moves {

/// Detects surges in one stream of arrivals.
class LoadSurgeDetector {
 public:
  /// Thresholds and time constants of the detection.
  struct Settings {
    double surge = 1.5;         // multiple of the baseline above which a surge begins
    double surge_end = 1.2;     // multiple of the baseline down to which a surge lasts
    double fast_s = 2;          // time constant of the fast average
    double slow_s = 30;         // time constant of the baseline
    double surge_slow_s = 300;  // time constant of the baseline during a surge
    double warm_up_s = 5;       // minimum observation time of a baseline
    // Standard deviations of the fast average that are added to the thresholds as noise allowance.
    double surge_start_deviations = 3, surge_end_deviations = 1;
  };
  LoadSurgeDetector() : LoadSurgeDetector(Settings{}) {}
  explicit LoadSurgeDetector(Settings settings) : s_(settings) {}

  void arrived(double now_ms) {
    if (now_ms >= second_end_ms_)
      advance(now_ms);
    ++count_;
  }

  void advance(double now_ms) {
    if (now_ms < second_end_ms_)
      return;
    double second = std::floor(now_ms / 1000);
    if (current_second_ < 0)
      current_second_ = second;
    // No call for a long time means that nothing arrived. At most the last minute of that time is
    // processed second by second.
    if (second > current_second_ + 60)
      current_second_ = second - 60;
    for (; current_second_ < second; ++current_second_, count_ = 0)
      close(count_);
    second_end_ms_ = 1000 * (second + 1);
  }

  bool surge() const { return surging_; }
  double rate() const { return fast_; }  // recent arrivals per second
  double baseline() const { return slow_; }

 private:
  void close(double count) {
    if (!std::exchange(has_started_, true))
      return;  // the first second was observed only in part
    if (++seconds_ == 1) {
      fast_ = slow_ = count;
      return;
    }
    fast_ += (count - fast_) / s_.fast_s;
    // Until slow_s seconds have passed, the baseline is the arithmetic mean.
    slow_ += (count - slow_) / (surging_ ? s_.surge_slow_s : std::min(seconds_, s_.slow_s));
    // Compares with the baseline of a few seconds ago, because the surge itself raises the current
    // one.
    double& previous =
        previous_baselines_[static_cast<std::size_t>(seconds_) % previous_baselines_.size()];
    double before = std::exchange(previous, slow_);
    if (seconds_ < s_.warm_up_s + static_cast<double>(previous_baselines_.size()))
      return;
    // Standard deviation of a Poisson count averaged over 2 * fast_s - 1 seconds.
    auto noise = [&](double baseline) {
      return std::sqrt(std::max(baseline, 1.0) / (2 * s_.fast_s - 1));
    };
    if (!surging_ && fast_ > before * s_.surge + s_.surge_start_deviations * noise(before)) {
      surging_ = true;
      slow_ = before;
    } else if (surging_)
      surging_ = fast_ > slow_ * s_.surge_end + s_.surge_end_deviations * noise(slow_);
  }

  Settings s_;
  double current_second_ = -1, second_end_ms_ = -1, count_ = 0, seconds_ = 0, fast_ = 0, slow_ = 0;
  std::array<double, 3> previous_baselines_{};
  bool surging_ = false, has_started_ = false;
};

}  // namespace keelflow::moves
