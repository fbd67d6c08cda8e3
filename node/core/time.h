/// Durations and points in time. The scheduler takes Unix time in milliseconds as a double.
/// UnixClock converts to that form at the scheduler's interface; it is used nowhere else.
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

/// Unix time that is read from the system clock once and then advanced by the steady clock, so that
/// a step of the system clock never moves the scheduler's time backwards. `born_ms` of discovery is
/// on the same scale.
class UnixClock {
 public:
  UnixClock() : steady_(Clock::now()), unix_(std::chrono::system_clock::now().time_since_epoch()) {}
  double unix_ms(TimePoint t) const { return Milliseconds(unix_ + (t - steady_)).count(); }
  /// Returns a point in time whose unix_ms is not less than the argument. A double that holds the
  /// current Unix time in ms has a resolution of 0.25 us. Without the added microsecond, a timer
  /// could fire just before its time and be postponed by a tick.
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
