// Timers in order of time; cancellable. Run by the EventLoop.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/timer_port.h"

namespace keelflow::net {

class TimerQueue {
 public:
  TimerId add(TimePoint when, std::function<void()> task) {
    TimerId id = ++last_;
    when_[id] = when;
    queue_.emplace(Key{when, id}, std::move(task));
    return id;
  }
  void cancel(TimerId id) {
    auto it = when_.find(id);
    if (it == when_.end())
      return;
    queue_.erase(Key{it->second, id});
    when_.erase(it);
  }
  std::optional<TimePoint> next() const {
    return queue_.empty() ? std::nullopt : std::optional(queue_.begin()->first.first);
  }
  // Runs what is due at `now`. What a task adds waits for the next call, so that no timer can
  // starve the loop.
  void run(TimePoint now) {
    TimerId newest = last_;
    for (auto it = queue_.begin(); it != queue_.end() && it->first.first <= now;) {
      if (it->first.second > newest) {
        ++it;
        continue;
      }
      auto task = std::move(it->second);
      when_.erase(it->first.second);
      queue_.erase(it);
      task();
      it = queue_.begin();
    }
  }

 private:
  using Key = std::pair<TimePoint, TimerId>;
  std::map<Key, std::function<void()>> queue_;
  std::unordered_map<TimerId, TimePoint> when_;
  TimerId last_ = 0;
};

}  // namespace keelflow::net
