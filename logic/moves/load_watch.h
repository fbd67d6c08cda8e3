// Tells a jump of traffic from the usual. Arrivals are counted by the second; a fast average is
// compared with a slow one that hardly follows while a jump lasts. To be fed from the start, long
// before anyone asks: a usual that was learned in a few seconds is off by its noise, and a jump
// measured against it may never seem to end.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <utility>

namespace keelflow::moves {

class LoadSurgeDetector {
 public:
  struct Settings {
    double surge = 1.5;      // times the usual: from here on it is a jump
    double surge_end = 1.2;  // and until here it lasts
    double fast_s = 2, slow_s = 30,
           surge_slow_s = 300;  // the last: how slowly a jump becomes the usual
    double warm_up_s = 5;       // what has been seen for less is not the usual
    double surge_start_deviations = 3,
           surge_end_deviations = 1;  // standard deviations of the fast average that are not a jump
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
    // A clock that is not asked for long has seen nothing arrive; more than a minute of that need
    // not be counted out.
    if (second > current_second_ + 60)
      current_second_ = second - 60;
    for (; current_second_ < second; ++current_second_, count_ = 0)
      close(count_);
    second_end_ms_ = 1000 * (second + 1);
  }

  bool surge() const { return surging_; }
  double rate() const { return fast_; }  // arrivals a second, of late
  double baseline() const { return slow_; }

 private:
  void close(double count) {
    if (!std::exchange(has_started_, true))
      return;  // only a part of a second
    if (++seconds_ == 1) {
      fast_ = slow_ = count;
      return;
    }
    fast_ += (count - fast_) / s_.fast_s;
    slow_ +=
        (count - slow_) /
        (surging_ ? s_.surge_slow_s : std::min(seconds_, s_.slow_s));  // at first the plain mean
    // The usual as of a few seconds ago, so that a jump is not measured against an average that it
    // has raised itself.
    double& previous =
        previous_baselines_[static_cast<std::size_t>(seconds_) % previous_baselines_.size()];
    double before = std::exchange(previous, slow_);
    if (seconds_ < s_.warm_up_s + static_cast<double>(previous_baselines_.size()))
      return;
    // Of a Poisson count averaged over twice fast_s - 1 seconds.
    auto noise = [&](double baseline) {
      return std::sqrt(std::max(baseline, 1.0) / (2 * s_.fast_s - 1));
    };
    if (!surging_ && fast_ > before * s_.surge + s_.surge_start_deviations * noise(before))
      surging_ = true, slow_ = before;
    else if (surging_)
      surging_ = fast_ > slow_ * s_.surge_end + s_.surge_end_deviations * noise(slow_);
  }

  Settings s_;
  double current_second_ = -1, second_end_ms_ = -1, count_ = 0, seconds_ = 0, fast_ = 0, slow_ = 0;
  std::array<double, 3> previous_baselines_{};
  bool surging_ = false, has_started_ = false;
};

}  // namespace keelflow::moves
