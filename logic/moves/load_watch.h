// Tells a jump of traffic from the usual. Arrivals are counted by the second; a fast average is compared with a slow
// one that hardly follows while a jump lasts.
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
    bool early = seconds_ < s_.warm_up_s;
    slow_ += (count - slow_) / (early ? s_.fast_s : jump_ ? s_.stubborn_s : s_.slow_s);
    // Three standard deviations of a Poisson count keep quiet routes from jumping by chance.
    double noise = 3 * std::sqrt(std::max(slow_, 1.0) / s_.fast_s);
    if (!early) jump_ = fast_ > std::max(slow_ * (jump_ ? s_.over : s_.jump), jump_ ? 0 : slow_ + noise);
  }

  Settings s_;
  double second_ = -1, count_ = 0, seconds_ = 0, fast_ = 0, slow_ = 0;
  bool jump_ = false;
};

}  // namespace keelflow::moves
