/// The context shared by all components of one Dispatcher while it handles an event.
#pragma once

#include <utility>

#include "scheduler/actions.h"
#include "scheduler/hashing.h"
#include "scheduler/settings.h"
#include "scheduler/timer_queue.h"

namespace keelflow::scheduler {

/// Settings, random number generator, timers, and the time and actions of the current event.
struct Environment {
  Environment(const Settings& initial, std::uint64_t seed) : settings(initial), random(seed) {}

  const ClassSettings& class_settings(int class_index) const {
    return settings.classes[to_index(class_index)];
  }
  template <typename ActionType>
  void emit_action(ActionType action) const {
    actions->emplace_back(std::move(action));
  }

  Settings settings;
  Random random;
  TimerQueue timers;
  Time now = 0;
  Actions* actions = nullptr;  ///< output of the current event
};

}  // namespace keelflow::scheduler
