// Requests that end, or are sent, while the Engine works through a list of requests.
#include "core/engine.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

#include "net/timer_queue.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;

constexpr EndpointId kEndpoints = 6;

scheduler::EndpointList ready_endpoints(EndpointId count) {
  scheduler::EndpointList list;
  for (EndpointId endpoint = 1; endpoint <= count; ++endpoint)
    list.entries.push_back({endpoint, 0, 0, 0, scheduler::EndpointState::ready, 1, 0});
  return list;
}

scheduler::Settings engine_settings() {
  scheduler::Settings settings;
  settings.classes.resize(2);
  for (auto& class_settings : settings.classes)
    class_settings.latency_objective_ms = 100;
  settings.classes[1].idempotency = scheduler::Idempotency::non_idempotent;
  settings.tick_ms = 4;
  settings.max_attempts = 3;
  settings.reports_start = true;
  return settings;
}

// A clock that the test advances. Timers run only in `run_timers`, so that the loop may be late.
class ManualTimers final : public TimerPort {
 public:
  TimePoint now() const override { return now_; }
  TimerId at(TimePoint when, std::function<void()> task) override {
    return timers_.add(when, std::move(task));
  }
  void cancel(TimerId id) override { timers_.cancel(id); }
  void advance(Duration time) { now_ += time; }
  void run_timers() { timers_.run(now_); }

 private:
  TimePoint now_ = Clock::now();
  net::TimerQueue timers_;
};

// Sends requests to the pool that the test names.
class FixedSelector final : public PoolSelector {
 public:
  std::function<int()> pool = [] {
    return 0;
  };

 private:
  int choose(const Job&) override { return pool(); }
  void on_request_ended(const Job&, int, TimePoint, RequestOutcome) override {}
};

class SilentEndpoints final : public EndpointPort {
  void start(AttemptRef, EndpointId, const Job&, const Terms&) override {}
  void cancel(AttemptRef) override {}
  void cancel_unsent(AttemptRef) override {}
  void send_health_check(EndpointId) override {}
};

struct Client final : ResponseSink {
  void on_progress(const Progress&) override {
    if (during_progress)
      during_progress();
  }
  void on_final(FinalAnswer) override {
    ++answers;
    if (after_answer)
      after_answer();
  }
  int answers = 0;
  std::function<void()> during_progress, after_answer;
};

class EngineWithPools : public ::testing::Test {
 protected:
  EngineWithPools() {
    engine_.set_endpoints(endpoints_);
    engine_.ensure_pools(2);
    engine_.set_selector(&selector_);
  }
  RequestId submit(const std::string& id, Duration timeout, Client& client) {
    Job job;
    job.id = id;
    job.tenant = -1;
    job.client_timeout = timeout;
    job.hint = 10ms;
    return *engine_.submit(std::move(job), client);
  }
  void reroute_to_second_pool() {
    selector_.pool = [] {
      return 1;
    };
    engine_.reroute(0);
  }

  ManualTimers timers_;
  SilentEndpoints endpoints_;
  FixedSelector selector_;
  Counters counters_;
  UnixClock clock_;
  Engine engine_{engine_settings(), 1, {1000, 4ms}, timers_, clock_, counters_};
};

// Guards against a crash at a reload: a request further down the list, whose deadline had passed,
// was answered and erased while the ones before it were moved to another pool.
TEST_F(EngineWithPools, ARequestThatExpiresWhileOthersAreReroutedIsAnsweredOnceAndNotMoved) {
  Client first, expired;
  submit("first", 60s, first);
  submit("expired", 300ms, expired);
  timers_.advance(1s);
  reroute_to_second_pool();
  EXPECT_EQ(expired.answers, 1);
  EXPECT_EQ(first.answers, 0);
  EXPECT_EQ(counters_.requests_rehomed, 1u);
  EXPECT_EQ(engine_.queued_requests(0), 0u);
  EXPECT_EQ(engine_.queued_requests(1), 1u);
}

// Guards against a pool being given a request whose client left in the same call.
TEST_F(EngineWithPools, ARequestWhoseClientLeavesDuringItsOwnRerouteIsNotPassedOn) {
  Client moved, expired;
  RequestId id = submit("moved", 60s, moved);
  submit("expired", 300ms, expired);
  expired.after_answer = [&] {
    engine_.on_client_disconnected(id);
  };
  timers_.advance(1s);
  reroute_to_second_pool();
  EXPECT_EQ(expired.answers, 1);
  EXPECT_EQ(counters_.requests_rehomed, 0u);
  EXPECT_EQ(engine_.queued_requests(1), 0u);
  EXPECT_EQ(engine_.open_requests(), 0u);
}

// Guards against a null reference: the client closes its connection while it is told of the start.
TEST_F(EngineWithPools, AClientMayLeaveWhileItIsToldOfTheStart) {
  struct EndingEndpoints final : EndpointPort {
    explicit EndingEndpoints(Engine& core) : engine(core) {}
    void start(AttemptRef ref, EndpointId, const Job&, const Terms&) override { started = ref; }
    void cancel(AttemptRef ref) override {
      engine.on_attempt_ended(ref, {.outcome = AttemptOutcome::cancelled});
    }
    void cancel_unsent(AttemptRef) override {}
    void send_health_check(EndpointId) override {}
    Engine& engine;
    AttemptRef started{};
  } endpoints(engine_);
  engine_.set_endpoints(endpoints);
  engine_.on_endpoint_list(ready_endpoints(kEndpoints), 0);
  Client client;
  RequestId id = submit("leaves", 60s, client);
  ASSERT_EQ(endpoints.started.request, id);
  client.during_progress = [&] {
    engine_.on_client_disconnected(id);
  };
  engine_.on_attempt_started(endpoints.started);
  EXPECT_EQ(engine_.open_requests(), 0u);
  EXPECT_EQ(client.answers, 0);
}

// Arrivals, deadlines, leaving clients, ends of attempts and changes of pools in a drawn order.
// Checks that each request gets at most one answer and has at most one attempt in flight.
class DrawnEvents final : EndpointPort {
 public:
  explicit DrawnEvents(unsigned seed) : random_(seed) {
    engine_.set_endpoints(*this);
    engine_.ensure_pools(kPools);
    engine_.set_selector(&selector_);
    selector_.pool = [this] {
      return draw_below(kPools);
    };
  }

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      timers_.advance(std::chrono::milliseconds(draw_below(20)));
      play(draw_below(12));
    }
    while (!attempts_.empty())
      end_an_attempt();
    timers_.advance(60s);
    for (int i = 0; i < kPools * 10; ++i) {
      timers_.advance(10ms);
      timers_.run_timers();
    }
    while (!attempts_.empty())
      end_an_attempt();
    EXPECT_EQ(engine_.open_requests(), 0u);
    EXPECT_EQ(engine_.pending_requests(), 0u);
    EXPECT_GT(counters_.requests_rehomed, 0u);
  }

 private:
  static constexpr int kPools = 4;
  static constexpr int kSteps = 4000;

  struct DrawnClient final : ResponseSink {
    DrawnClient(DrawnEvents& owner, int index) : events(owner), number(index) {}
    void on_progress(const Progress&) override { events.leave_by_chance(); }
    void on_final(FinalAnswer) override {
      EXPECT_FALSE(has_left) << "answered after its client left: " << number;
      EXPECT_EQ(++answers, 1) << "answered twice: " << number;
      events.leave_by_chance();
    }
    bool waits() const { return !has_left && answers == 0; }
    DrawnEvents& events;
    int number, answers = 0;
    RequestId id = 0;
    bool has_left = false;
  };

  int draw_below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }

  void play(int event) {
    if (event < 5)
      return arrive();
    switch (event) {
      case 5:
        return leave(draw_below(static_cast<int>(clients_.size() + 1)));
      case 6:
        return engine_.reroute(draw_below(kPools));
      case 7:
        return engine_.on_endpoint_list(
            ready_endpoints(static_cast<EndpointId>(draw_below(kEndpoints))), draw_below(kPools));
      case 8:
        return start_an_attempt();
      case 9:
        return timers_.run_timers();
      default:
        return end_an_attempt();
    }
  }

  void arrive() {
    int number = static_cast<int>(clients_.size());
    clients_.push_back(std::make_unique<DrawnClient>(*this, number));
    DrawnClient& client = *clients_.back();
    Job job;
    job.id = "r" + std::to_string(number);
    job.class_index = draw_below(2);
    job.tenant = -1;
    job.client_timeout = std::chrono::milliseconds(20 + draw_below(1500));
    job.hint = 10ms;
    client.id = *engine_.submit(std::move(job), client);
  }

  void leave_by_chance() {
    if (draw_below(4) == 0 && !clients_.empty())
      leave(static_cast<int>(clients_.size()) - 1 - draw_below(std::min(10, clients())));
  }
  int clients() const { return static_cast<int>(clients_.size()); }

  void leave(int number) {
    if (number >= clients() || !clients_[static_cast<std::size_t>(number)]->waits())
      return;
    DrawnClient& client = *clients_[static_cast<std::size_t>(number)];
    if (client.id == 0)
      return;  // not yet submitted
    client.has_left = true;
    engine_.on_client_disconnected(client.id);
  }

  void start(AttemptRef ref, EndpointId, const Job& job, const Terms&) override {
    EXPECT_TRUE(in_flight_.insert(ref.request).second) << "two attempts of " << job.id;
    EXPECT_TRUE(engine_.is_client_waiting(ref.request)) << "sent after its end: " << job.id;
    attempts_.push_back(ref);
  }
  void cancel(AttemptRef ref) override {
    if (draw_below(2) == 0)
      end(ref, AttemptOutcome::cancelled);  // at once, within the call; else later
  }
  void cancel_unsent(AttemptRef) override {}
  void send_health_check(EndpointId) override {}

  void start_an_attempt() {
    if (!attempts_.empty())
      engine_.on_attempt_started(
          attempts_[static_cast<std::size_t>(draw_below(static_cast<int>(attempts_.size())))]);
  }
  void end_an_attempt() {
    if (attempts_.empty())
      return;
    auto index = static_cast<std::size_t>(draw_below(static_cast<int>(attempts_.size())));
    constexpr AttemptOutcome kOutcomes[] = {AttemptOutcome::served, AttemptOutcome::error,
                                            AttemptOutcome::rejected, AttemptOutcome::broken};
    end(attempts_[index], kOutcomes[draw_below(4)]);
  }
  void end(AttemptRef ref, AttemptOutcome outcome) {
    if (std::erase_if(attempts_, [&](const AttemptRef& open) {
          return open.request == ref.request && open.attempt == ref.attempt;
        }) == 0)
      return;
    in_flight_.erase(ref.request);
    engine_.on_attempt_ended(ref, {.outcome = outcome, .delivery = DeliveryState::accepted});
  }

  std::mt19937 random_;
  ManualTimers timers_;
  FixedSelector selector_;
  Counters counters_;
  UnixClock clock_;
  std::vector<std::unique_ptr<DrawnClient>> clients_;
  std::vector<AttemptRef> attempts_;
  std::set<RequestId> in_flight_;
  Engine engine_{engine_settings(), 1, {1000, 4ms}, timers_, clock_, counters_};
};

// Guards against any request being touched after its end, whatever ends it.
TEST(Engine, DrawnEventsOverPoolsThatChangeKeepOneAnswerAndOneAttempt) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    DrawnEvents(seed).run();
  }
}

}  // namespace
}  // namespace keelflow
