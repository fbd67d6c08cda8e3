/// Spans and points in time. The scheduler takes Unix time in milliseconds as a double; that figure
/// exists only at its border, made by UnixClock.
#pragma once

#include <chrono>

namespace keelflow {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::duration<double, std::milli>;

inline Duration from_ms(double ms) {
  return std::chrono::duration_cast<Duration>(Milliseconds(ms));
}
inline double to_ms(Duration span) {
  return Milliseconds(span).count();
}

/// Unix time, read from the system once and advanced by the steady clock from there, so that a step
/// of the system's clock never moves the scheduler's time backwards. `born_ms` of discovery is on
/// the same scale.
class UnixClock {
 public:
  UnixClock() : steady_(Clock::now()), unix_(std::chrono::system_clock::now().time_since_epoch()) {}
  double unix_ms(TimePoint t) const { return Milliseconds(unix_ + (t - steady_)).count(); }
  // The first moment whose unix_ms is not under that. A double of today's size resolves 0.25 us, so
  // that a timer set without a microsecond on top could ring just before its time and be put off by
  // a tick.
  TimePoint at(double unix_ms) const {
    return steady_ +
           std::chrono::duration_cast<Duration>(Milliseconds(unix_ms) - Milliseconds(unix_)) +
           std::chrono::microseconds(1);
  }

 private:
  TimePoint steady_;
  std::chrono::system_clock::duration unix_;
};

}  // namespace keelflow
