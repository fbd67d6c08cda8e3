// Tells a jump of traffic from the usual. Arrivals are counted by the second; a fast average is compared with a slow
// one that hardly follows while a jump lasts. To be fed from the start, long before anyone asks: a usual that was
// learned in a few seconds is off by its noise, and a jump measured against it may never seem to end.
#pragma once

#include <algorithm>
#include <cmath>

namespace keelflow::moves {

class LoadWatch {
 public:
  struct Settings {
    double jump = 1.5;         // times the usual: from here on it is a jump
    double over = 1.2;         // and until here it lasts
    double fast_s = 2, slow_s = 30, stubborn_s = 300;  // the last: how slowly a jump becomes the usual
    double warm_up_s = 5;      // before that nothing is usual
    double noise_on = 3, noise_off = 1;  // standard deviations of the fast average that are not a jump
  };
  LoadWatch() : LoadWatch(Settings{}) {}
  explicit LoadWatch(Settings settings) : s_(settings) {}

  void arrived(double now_ms) {
    advance(now_ms);
    ++count_;
  }

  void advance(double now_ms) {
    double second = std::floor(now_ms / 1000);
    if (second_ < 0) second_ = second;
    // A clock that is not asked for long has seen nothing arrive; more than a minute of that need not be counted out.
    if (second > second_ + 60) second_ = second - 60;
    for (; second_ < second; ++second_, count_ = 0) close(count_);
  }

  bool jump() const { return jump_; }
  double rate() const { return fast_; }    // arrivals a second, of late
  double usual() const { return slow_; }

 private:
  void close(double count) {
    ++seconds_;
    if (seconds_ == 1) {
      fast_ = slow_ = count;
      return;
    }
    fast_ += (count - fast_) / s_.fast_s;
    slow_ += (count - slow_) / std::min(seconds_, jump_ ? s_.stubborn_s : s_.slow_s);  // at first the plain mean
    if (seconds_ < s_.warm_up_s) return;
    // Of a Poisson count averaged over twice fast_s - 1 seconds.
    double deviation = std::sqrt(std::max(slow_, 1.0) / (2 * s_.fast_s - 1));
    jump_ = fast_ > (jump_ ? slow_ * s_.over + s_.noise_off * deviation : slow_ * s_.jump + s_.noise_on * deviation);
  }

  Settings s_;
  double second_ = -1, count_ = 0, seconds_ = 0, fast_ = 0, slow_ = 0;
  bool jump_ = false;
};

}  // namespace keelflow::moves
