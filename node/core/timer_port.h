/// The core's interface to the clock and to timers.
#pragma once

#include <cstdint>
#include <functional>

#include "core/time.h"

namespace keelflow {

/// Identifies a scheduled task.
using TimerId = std::uint64_t;

/// Returns the current time and schedules tasks. A task runs once, never before its scheduled time.
class TimerPort {
 public:
  virtual ~TimerPort() = default;
  virtual TimePoint now() const = 0;
  /// Schedules `task` to run at `when`.
  virtual TimerId at(TimePoint when, std::function<void()> task) = 0;
  /// Does nothing if the task has already run or has been cancelled.
  virtual void cancel(TimerId id) = 0;
};

}  // namespace keelflow
