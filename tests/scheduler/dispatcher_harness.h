/// A dispatcher under test with a clock and records of its actions. Endpoints are not modelled:
/// each test supplies their events.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"
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

/// Drives one Dispatcher event by event, together with the parts of the node that notify it.
struct DispatcherHarness {
  explicit DispatcherHarness(Settings settings, std::uint64_t seed = 1)
      : dispatcher(settings, seed), subsets(settings), slow_start_leases(settings, 0) {}

  template <typename E>
  Actions& handle(E event) {
    last_actions.clear();
    Event input(std::move(event));
    dispatcher.handle(now, input, last_actions);
    std::vector<Event> notifications;
    if (auto subset_change = subsets.after(input))
      notifications.push_back(std::move(*subset_change));
    slow_start_leases.after(now, input, dispatcher, notifications, last_actions);
    for (const Event& notification : notifications)
      dispatcher.handle(now, notification, last_actions);
    for (const auto& action : last_actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers.push_back(*timer);
      if (const auto* send = std::get_if<SendAttempt>(&action))
        sends.push_back(*send);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        cancels.push_back(*cancel);
      if (const auto* message = std::get_if<SendPeerMessage>(&action))
        peer_messages.push_back(*message);
      if (std::holds_alternative<RejectRequest>(action) ||
          std::holds_alternative<FailRequest>(action))
        answers.push_back(action);
    }
    return last_actions;
  }

  /// Advances the clock and fires every timer that is due, in the order of their times.
  void advance(Time to) {
    while (true) {
      std::size_t next = timers.size();
      for (std::size_t i = 0; i < timers.size(); ++i)
        if (timers[i].when <= to && (next == timers.size() || timers[i].when < timers[next].when))
          next = i;
      if (next == timers.size())
        break;
      SetTimer timer = timers[next];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(next));
      now = std::max(now, timer.when);
      handle(TimerFired{timer.id});
    }
    now = to;
  }

  void endpoints(int count, int zones = 1, int kinds = 1) {
    EndpointList list;
    for (int i = 0; i < count; ++i)
      list.entries.push_back({static_cast<EndpointId>(100 + i), i % zones, i % kinds, i / 4,
                              EndpointState::ready, 1, 0});
    handle(list);
  }

  void arrive(RequestId id, double hint, int class_index = 0, double timeout_ms = 10000,
              std::uint64_t key = 0) {
    RequestArrived arrival;
    arrival.request = id;
    arrival.class_index = class_index;
    arrival.hint = hint;
    arrival.client_timeout_ms = timeout_ms;
    arrival.key = key;
    handle(arrival);
  }

  void outcome(RequestId id, int attempt, AttemptResult result, bool request_finished) {
    AttemptFinished event;
    event.request = id;
    event.attempt = attempt;
    event.result = result;
    event.request_finished = request_finished;
    handle(event);
  }

  Dispatcher dispatcher;
  fleet::Subsets subsets;
  fleet::SlowStartLeases slow_start_leases;
  Time now = 1000;
  Actions last_actions;
  std::vector<SendAttempt> sends;
  std::vector<CancelAttempt> cancels;
  std::vector<SendPeerMessage> peer_messages;
  std::vector<Action> answers;
  std::vector<SetTimer> timers;
};

/// Sends one request and completes it successfully after `run_ms` on the selected endpoint.
inline void serve(DispatcherHarness& harness, RequestId id, double hint, double run_ms,
                  int class_index = 0) {
  harness.arrive(id, hint, class_index);
  harness.handle(AttemptStarted{id, 0});
  harness.advance(harness.now + run_ms);
  harness.outcome(id, 0, AttemptResult::ok, true);
}

}  // namespace keelflow::scheduler
