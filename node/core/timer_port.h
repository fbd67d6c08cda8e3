/// Time, as the core sees it.
#pragma once

#include <cstdint>
#include <functional>

#include "core/time.h"

namespace keelflow {

using TimerId = std::uint64_t;

/// The present time, and tasks that run later. A task runs once, not before its time.
class TimerPort {
 public:
  virtual ~TimerPort() = default;
  virtual TimePoint now() const = 0;
  virtual TimerId at(TimePoint when, std::function<void()> task) = 0;
  /// Nothing happens where the task has run or been cancelled already.
  virtual void cancel(TimerId id) = 0;
};

}  // namespace keelflow
