/// A dispatcher under test, its clock, and what it did. No endpoints are modelled: tests say what
/// happens.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/subsets.h"
#include "fleet/turns.h"
#include "scheduler/dispatcher.h"

namespace keelflow::scheduler {

inline Settings basic_settings() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective_ms = 500;
  settings.concurrent_attempts = true;
  settings.max_attempts = 6;
  settings.reports_start = true;
  settings.drain_grace_ms = 500;
  settings.grace_to_answer_ms = 8;
  settings.slow_start_initial_fraction = 0.2;
  settings.slow_start_ms = 10000;
  settings.overload_multiple = 3;
  settings.overload_window_ms = 2000;
  return settings;
}

/// One Dispatcher with the parts of the node that notify it, driven event by event.
struct Bench {
  explicit Bench(Settings settings, std::uint64_t seed = 1)
      : d(settings, seed), subsets(settings), turns(settings, 0) {}

  template <typename E>
  Actions& play(E event) {
    last.clear();
    Event played(std::move(event));
    d.handle(now, played, last);
    std::vector<Event> notifications;
    if (auto subset_change = subsets.after(played))
      notifications.push_back(std::move(*subset_change));
    turns.after(now, played, d, notifications, last);
    for (const Event& one : notifications)
      d.handle(now, one, last);
    for (const auto& a : last) {
      if (const auto* t = std::get_if<SetTimer>(&a))
        timers.push_back(*t);
      if (const auto* t = std::get_if<SendAttempt>(&a))
        sends.push_back(*t);
      if (const auto* t = std::get_if<CancelAttempt>(&a))
        cancels.push_back(*t);
      if (const auto* t = std::get_if<SendPeerMessage>(&a))
        tells.push_back(*t);
      if (std::holds_alternative<RejectRequest>(a) || std::holds_alternative<FailRequest>(a))
        answers.push_back(a);
    }
    return last;
  }

  /// Moves the clock on and fires every timer that is due.
  void advance(Time to) {
    while (true) {
      std::size_t next = timers.size();
      for (std::size_t i = 0; i < timers.size(); ++i)
        if (timers[i].when <= to && (next == timers.size() || timers[i].when < timers[next].when))
          next = i;
      if (next == timers.size())
        break;
      SetTimer t = timers[next];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(next));
      now = std::max(now, t.when);
      play(TimerFired{t.id});
    }
    now = to;
  }

  void endpoints(int n, int zones = 1, int kinds = 1) {
    EndpointList list;
    for (int i = 0; i < n; ++i)
      list.entries.push_back({static_cast<EndpointId>(100 + i), i % zones, i % kinds, i / 4,
                              EndpointState::ready, 1, 0});
    play(list);
  }

  void arrive(RequestId id, double hint, int class_index = 0, double ttl = 10000,
              std::uint64_t key = 0) {
    RequestArrived a;
    a.request = id;
    a.class_index = class_index;
    a.hint = hint;
    a.client_timeout_ms = ttl;
    a.key = key;
    play(a);
  }

  void outcome(RequestId id, int attempt, AttemptResult result, bool request_finished) {
    AttemptFinished o;
    o.request = id;
    o.attempt = attempt;
    o.result = result;
    o.request_finished = request_finished;
    play(o);
  }

  Dispatcher d;
  fleet::Subsets subsets;
  fleet::SlowStartLeases turns;
  Time now = 1000;
  Actions last;
  std::vector<SendAttempt> sends;
  std::vector<CancelAttempt> cancels;
  std::vector<SendPeerMessage> tells;
  std::vector<Action> answers;
  std::vector<SetTimer> timers;
};

/// Runs one request to its end on whatever endpoint it is sent to.
inline void serve(Bench& bench, RequestId id, double hint, double run, int class_index = 0) {
  bench.arrive(id, hint, class_index);
  bench.play(AttemptStarted{id, 0});
  bench.advance(bench.now + run);
  bench.outcome(id, 0, AttemptResult::ok, true);
}

}  // namespace keelflow::scheduler
