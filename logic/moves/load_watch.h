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

class LoadWatch {
 public:
  struct Settings {
    double jump = 1.5;  // times the usual: from here on it is a jump
    double over = 1.2;  // and until here it lasts
    double fast_s = 2, slow_s = 30,
           stubborn_s = 300;  // the last: how slowly a jump becomes the usual
    double warm_up_s = 5;     // what has been seen for less is not the usual
    double noise_on = 3,
           noise_off = 1;  // standard deviations of the fast average that are not a jump
  };
  LoadWatch() : LoadWatch(Settings{}) {}
  explicit LoadWatch(Settings settings) : s_(settings) {}

  void arrived(double now_ms) {
    if (now_ms >= ends_)
      advance(now_ms);
    ++count_;
  }

  void advance(double now_ms) {
    if (now_ms < ends_)
      return;
    double second = std::floor(now_ms / 1000);
    if (second_ < 0)
      second_ = second;
    // A clock that is not asked for long has seen nothing arrive; more than a minute of that need
    // not be counted out.
    if (second > second_ + 60)
      second_ = second - 60;
    for (; second_ < second; ++second_, count_ = 0)
      close(count_);
    ends_ = 1000 * (second + 1);
  }

  bool jump() const { return jump_; }
  double rate() const { return fast_; }  // arrivals a second, of late
  double usual() const { return slow_; }

 private:
  void close(double count) {
    if (!std::exchange(begun_, true))
      return;  // only a part of a second
    if (++seconds_ == 1) {
      fast_ = slow_ = count;
      return;
    }
    fast_ += (count - fast_) / s_.fast_s;
    slow_ += (count - slow_) /
             (jump_ ? s_.stubborn_s : std::min(seconds_, s_.slow_s));  // at first the plain mean
    // The usual as of a few seconds ago, so that a jump is not measured against an average that it
    // has raised itself.
    double& past = past_[static_cast<std::size_t>(seconds_) % past_.size()];
    double before = std::exchange(past, slow_);
    if (seconds_ < s_.warm_up_s + static_cast<double>(past_.size()))
      return;
    // Of a Poisson count averaged over twice fast_s - 1 seconds.
    auto noise = [&](double usual) {
      return std::sqrt(std::max(usual, 1.0) / (2 * s_.fast_s - 1));
    };
    if (!jump_ && fast_ > before * s_.jump + s_.noise_on * noise(before))
      jump_ = true, slow_ = before;
    else if (jump_)
      jump_ = fast_ > slow_ * s_.over + s_.noise_off * noise(slow_);
  }

  Settings s_;
  double second_ = -1, ends_ = -1, count_ = 0, seconds_ = 0, fast_ = 0, slow_ = 0;
  std::array<double, 3> past_{};
  bool jump_ = false, begun_ = false;
};

}  // namespace keelflow::moves
