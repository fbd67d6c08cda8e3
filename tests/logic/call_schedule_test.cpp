// Tests the schedule of calls to discovery in virtual time: the list is received before the
// deadline for every combination of call failures.
#include "discovery/call_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace keelflow::discovery {
namespace {

using namespace std::chrono_literals;

enum class Fault { rejected, rejected_late, reset, hangs };
constexpr Fault kFaults[] = {Fault::rejected, Fault::rejected_late, Fault::reset, Fault::hangs};
constexpr Duration kAnswerTime = 150ms;  // duration of a successful call
// In fleets of up to 30 processes the list is received in time even if this many calls in a row
// fail in any way. In larger fleets it takes longer, and the list lease prevents late sends
// (list_lease_test.cpp).
constexpr int kToleratedFailuresInARow = 4;

// How long a call with this fault lasts. Empty if it never ends by itself.
std::optional<Duration> call_duration(Fault fault) {
  if (fault == Fault::rejected)
    return 1ms;
  if (fault == Fault::reset)
    return 20ms;
  if (fault == Fault::rejected_late)
    return 1000ms;
  return std::nullopt;
}

// One process that calls discovery. Its calls fail in the order given by `set_faults`; the first
// call after those returns the list.
class Caller {
 public:
  Caller(const CallPolicy& policy, unsigned seed) : schedule_(policy), random_(seed) {}

  CallSchedule& schedule() { return schedule_; }
  double draw() { return std::uniform_real_distribution<double>()(random_); }
  void set_faults(std::vector<Fault> faults) {
    faults_ = std::move(faults);
    next_fault_ = 0;
  }
  std::size_t started_calls() const { return started_calls_; }

  // Simulates until the list is received, or until `end`. Returns the time at which it is received.
  std::optional<TimePoint> simulate(TimePoint now, TimePoint end) {
    for (;;) {
      auto next_call = schedule_.next_call(open_calls_.size());
      auto ending_call =
          std::min_element(open_calls_.begin(), open_calls_.end(),
                           [](const Call& a, const Call& b) { return a.ends_at < b.ends_at; });
      TimePoint next =
          std::min(next_call ? std::max(*next_call, now) : TimePoint::max(),
                   ending_call == open_calls_.end() ? TimePoint::max() : ending_call->ends_at);
      if (next > end)
        return std::nullopt;
      now = next;
      if (ending_call != open_calls_.end() && ending_call->ends_at == now) {
        if (ending_call->is_successful)
          return now;
        open_calls_.erase(ending_call);
      } else {
        start_call(now);
      }
    }
  }

 private:
  struct Call {
    TimePoint ends_at;
    bool is_successful;
  };

  void start_call(TimePoint now) {
    if (open_calls_.size() >= schedule_.max_open_calls())
      open_calls_.erase(open_calls_.begin());
    schedule_.call_began(now, draw());
    ++started_calls_;
    bool is_successful = next_fault_ >= faults_.size();
    std::optional<Duration> duration =
        is_successful ? kAnswerTime : call_duration(faults_[next_fault_]);
    ++next_fault_;
    open_calls_.push_back({duration ? now + *duration : TimePoint::max(), is_successful});
  }

  CallSchedule schedule_;
  std::minstd_rand random_;
  std::vector<Fault> faults_;
  std::size_t next_fault_ = 0;
  std::size_t started_calls_ = 0;
  std::vector<Call> open_calls_;
};

std::vector<Fault> random_faults(std::mt19937& random, std::size_t count) {
  std::vector<Fault> faults;
  for (std::size_t i = 0; i < count; ++i)
    faults.push_back(kFaults[random() % std::size(kFaults)]);
  return faults;
}

class CallScheduleTest : public testing::TestWithParam<bool> {};  // polled lists, and pushed lists
INSTANTIATE_TEST_SUITE_P(Lists, CallScheduleTest, testing::Bool(),
                         [](const auto& mode) { return mode.param ? "push" : "ask"; });

TEST_P(CallScheduleTest, ReplacesATimedOutWatchBeforeTheDeadlineDespiteFailedCalls) {
  std::mt19937 random(11);
  for (int run = 0; run < 4000; ++run) {
    Caller caller({.pushed = GetParam(), .processes = 1 + run % 30}, random());
    TimePoint last_heartbeat{1h};
    // The lost watch counts as the first failure.
    caller.set_faults(random_faults(random, random() % kToleratedFailuresInARow));
    caller.schedule().watch_lost(last_heartbeat + kHeartbeatTimeout, caller.draw());
    auto received = caller.simulate(last_heartbeat, last_heartbeat + 1min);
    ASSERT_TRUE(received) << run;
    ASSERT_LE(*received - last_heartbeat, kListDeadline) << run;
  }
}

TEST_P(CallScheduleTest, ReceivesTheListBeforeTheDeadlineAfterAnOutageDespiteFailedCalls) {
  std::mt19937 random(12);
  for (int run = 0; run < 4000; ++run) {
    Caller caller({.pushed = GetParam(), .processes = 1 + run % 30}, random());
    TimePoint outage_start{1h};
    TimePoint outage_end = outage_start + std::chrono::milliseconds(random() % 20000);
    caller.set_faults(random_faults(random, 1000));
    caller.schedule().watch_lost(outage_start, caller.draw());
    ASSERT_FALSE(caller.simulate(outage_start, outage_end));
    caller.set_faults(random_faults(random, random() % (kToleratedFailuresInARow + 1)));
    auto received = caller.simulate(outage_end, outage_end + 1min);
    ASSERT_TRUE(received) << run;
    ASSERT_LE(*received - outage_end, kListDeadline) << run;
  }
}

// A watch that breaks each time right after it opened must not cause a call without delay.
TEST_P(CallScheduleTest, ReopensAWatchThatBreaksImmediatelyAtTheRetryInterval) {
  Caller caller({.pushed = GetParam(), .processes = 5}, 3);
  TimePoint now{1h};
  TimePoint end = now + 10s;
  caller.schedule().watch_lost(now, 0);
  int calls = 0;
  for (; now < end; ++calls) {
    now = std::max(now, *caller.schedule().next_call(0));
    caller.schedule().call_began(now, caller.draw());
    caller.schedule().watch_established();
    caller.schedule().watch_lost(now, caller.draw());
  }
  EXPECT_LE(calls, GetParam() ? 101 : 14);
}

// Calls per second of all processes together while discovery is down. One service has to handle all
// of them.
TEST(CallSchedule, LimitsTheCallRateWhileDiscoveryIsDown) {
  const std::pair<int, double> max_calls_per_second[] = {{5, 8}, {30, 45}, {300, 180}};
  for (auto [processes, max_rate] : max_calls_per_second) {
    std::size_t calls = 0;
    TimePoint outage_start{1h};
    for (int i = 0; i < processes; ++i) {
      Caller caller({.pushed = false, .processes = processes}, static_cast<unsigned>(i));
      caller.set_faults(std::vector<Fault>(1000, Fault::rejected_late));
      caller.schedule().watch_lost(outage_start, caller.draw());
      caller.simulate(outage_start, outage_start + 20s);
      calls += caller.started_calls();
    }
    EXPECT_LE(static_cast<double>(calls) / 20, max_rate) << processes;
    RecordProperty("calls_a_second_" + std::to_string(processes), static_cast<int>(calls) / 20);
  }
}

// A service that needs 200 ms per call and serves calls in sequence. It rejects a call immediately
// if the call would wait for 1 s or longer. A second call of a process abandons its first one,
// which stays in the queue and still takes its service time.
class OverloadedService {
 public:
  static constexpr Duration kServiceTime = 200ms;
  static constexpr Duration kMaxWait = 1s;
  // False if the call is rejected.
  bool accept_call(std::size_t process, TimePoint now) {
    for (Waiting& waiting : queue_)
      if (waiting.process == process)
        waiting.is_abandoned = true;
    if (queue_.size() * kServiceTime >= kMaxWait)
      return false;
    if (queue_.empty())
      service_start_ = now;
    queue_.push_back({process, false});
    return true;
  }
  // The process whose call was completed by `now`, if any.
  std::optional<std::size_t> serve(TimePoint now) {
    if (queue_.empty() || service_start_ + kServiceTime > now)
      return std::nullopt;
    Waiting first = queue_.front();
    queue_.erase(queue_.begin());
    service_start_ = now;
    return first.is_abandoned ? std::nullopt : std::optional(first.process);
  }
  bool has_waiting_call(std::size_t process) const {
    return std::any_of(queue_.begin(), queue_.end(), [&](const Waiting& waiting) {
      return waiting.process == process && !waiting.is_abandoned;
    });
  }

 private:
  struct Waiting {
    std::size_t process;
    bool is_abandoned;
  };
  std::vector<Waiting> queue_;
  TimePoint service_start_{};
};

TEST(CallSchedule, LetsAnOverloadedServiceServeAllCallers) {
  constexpr std::size_t kProcesses = 32;
  std::minstd_rand random(5);
  auto draw = [&] {
    return std::uniform_real_distribution<double>()(random);
  };
  OverloadedService service;
  std::vector<CallSchedule> schedules(kProcesses,
                                      CallSchedule({.pushed = false, .processes = kProcesses}));
  std::vector<bool> is_served(kProcesses, false);
  TimePoint start{1h};
  TimePoint now = start;
  for (auto& schedule : schedules)
    schedule.watch_lost(start, draw());
  for (;
       now < start + 60s && std::find(is_served.begin(), is_served.end(), false) != is_served.end();
       now += 1ms) {
    if (auto process = service.serve(now)) {
      is_served[*process] = true;
      schedules[*process].watch_established();
    }
    for (std::size_t i = 0; i < kProcesses; ++i) {
      auto next = schedules[i].next_call(service.has_waiting_call(i) ? 1 : 0);
      if (!next || *next > now)
        continue;
      schedules[i].call_began(now, draw());
      service.accept_call(i, now);
    }
  }
  EXPECT_LE(now - start, kProcesses * OverloadedService::kServiceTime * 3 / 2);
}

TEST(CallSchedule, HasNoCallDueWhileThereIsAWatch) {
  CallSchedule schedule({.pushed = false, .processes = 5});
  TimePoint now{1h};
  EXPECT_FALSE(schedule.next_call(0));
  schedule.watch_lost(now, 0);
  EXPECT_EQ(schedule.next_call(0), now);
  schedule.call_began(now, 0);
  EXPECT_GT(*schedule.next_call(1), now);
  schedule.watch_established();
  EXPECT_FALSE(schedule.next_call(1));
  schedule.call_now(now + 1s);
  EXPECT_EQ(schedule.next_call(0), now + 1s);
}

}  // namespace
}  // namespace keelflow::discovery
