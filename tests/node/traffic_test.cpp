// One pool or none: the same actions, event for event. And what Dispatchers of one node share.
#include "routes/traffic.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "core/engine.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;

// A small world on a clock of its own, which writes down all that the Engine does.
class World final : EndpointPort, TimerPort {
 public:
  World(unsigned seed, const UnixClock& clock, TimePoint start, bool one_pool)
      : random_(seed),
        now_(start),
        engine_(settings(), 42, {1000, 4ms}, *this, clock, counters_),
        traffic_(*this, clock, engine_,
                 {Names{{"price", "hold", "sale"}, {"a", "b"}, {"east"}, {"fast"}}, settings()},
                 counters_),
        destinations_(
            loop_, {}, {}, [](scheduler::EndpointList) {}, counters_, 1) {
    engine_.set_endpoints(*this);
    traffic_.connect(destinations_);
    routes::Spec spec;
    if (one_pool) {
      spec.pools.push_back({.name = "only", .sites = {}, .kinds = {}, .hosts = {}, .blocks = {}});
      spec.routes.push_back(
          {.name = "r", .classes = {}, .tenants = {}, .paths = {}, .to = {{"only", 1}}});
    }
    traffic_.configure(spec, {});
  }

  std::vector<std::string> play(int events) {
    list(scheduler::ListScope::full);
    for (int i = 0; i < events; ++i) {
      advance(now_ + std::chrono::microseconds(random_() % 30'000));
      if (random_() % 50 == 0)
        list(random_() % 3 == 0 ? scheduler::ListScope::full : scheduler::ListScope::delta);
      else
        arrive(i);
    }
    advance(now_ + 20s);
    return trace_;
  }

 private:
  struct Client final : ResponseSink {
    Client(World& w, int n) : world(w), number(n) {}
    void on_final(FinalAnswer answer) override {
      world.note("answer " + std::to_string(number) + " " +
                 std::to_string(static_cast<int>(answer.kind)));
    }
    World& world;
    int number;
  };

  static scheduler::Settings settings() {
    scheduler::Settings s;
    s.classes.resize(3);
    for (auto& c : s.classes)
      c.latency_objective_ms = 300, c.objective_runtime_factor = 2;
    s.classes[1].idempotency = scheduler::Idempotency::idempotent_with_key;
    s.classes[1].deduplication_window_ms = 3000;
    s.classes[2].idempotency = scheduler::Idempotency::non_idempotent;
    s.tenant_quota = {20, 20};
    s.over_quota_weight = 0.2;
    s.tick_ms = 4;
    s.max_attempts = 3;
    s.reports_start = true;
    s.slow_start_initial_fraction = 0.2, s.slow_start_ms = 5000, s.overload_multiple = 3,
    s.overload_window_ms = 1000;
    return s;
  }

  void note(const std::string& what) {
    trace_.push_back(std::to_string((now_ - TimePoint{}).count()) + " " + what);
  }

  void arrive(int n) {
    Job job;
    job.id = "r" + std::to_string(n);
    job.class_index = static_cast<int>(random_() % 3);
    job.tenant = static_cast<int>(random_() % 2);
    job.key = random_() % 2 ? random_() % 50 : 0;
    job.client_timeout = std::chrono::milliseconds(200 + random_() % 2000);
    job.hint = std::chrono::microseconds(10'000 + random_() % 100'000);
    clients_.push_back(std::make_unique<Client>(*this, n));
    engine_.submit(std::move(job), *clients_.back());
  }

  void list(scheduler::ListScope scope) {
    scheduler::EndpointList told;
    told.scope = scope;
    for (scheduler::EndpointId w = 1; w <= 12; ++w)
      if (scope == scheduler::ListScope::full ? random_() % 8 > 0 : random_() % 4 == 0) {
        auto state = random_() % 6 == 0 ? scheduler::EndpointState::draining
                                        : scheduler::EndpointState::ready;
        told.entries.push_back({w, 0, 0, static_cast<int>(w / 4), state, 1, 0});
      }
    traffic_.list(std::move(told));
  }

  void start(AttemptRef ref, EndpointId endpoint, const Job& job, const Terms&) override {
    note("send " + job.id + " to " + std::to_string(endpoint));
    Duration wait = std::chrono::microseconds(random_() % 20'000),
             run = std::chrono::microseconds(random_() % 200'000);
    unsigned what = random_() % 12;
    at(now_ + wait, [this, ref] { engine_.on_attempt_started(ref); });
    at(now_ + wait + run, [this, ref, what] {
      AttemptOutcome outcome = what == 0   ? AttemptOutcome::rejected
                               : what == 1 ? AttemptOutcome::error
                               : what == 2 ? AttemptOutcome::broken
                                           : AttemptOutcome::served;
      engine_.on_attempt_ended(
          ref, {.outcome = outcome,
                .delivery = what == 2 ? DeliveryState::fully_written : DeliveryState::accepted});
    });
  }
  void cancel_unsent(AttemptRef) override {}
  void cancel(AttemptRef ref) override {
    note("give up " + std::to_string(ref.request));
    at(now_ + 1ms,
       [this, ref] { engine_.on_attempt_ended(ref, {.outcome = AttemptOutcome::cancelled}); });
  }
  void send_health_check(EndpointId) override {}
  TimePoint now() const override { return now_; }
  TimerId at(TimePoint when, std::function<void()> task) override {
    return timers_.add(when, std::move(task));
  }
  void cancel(TimerId id) override { timers_.cancel(id); }

  void advance(TimePoint to) {
    while (auto next = timers_.next()) {
      if (*next > to)
        break;
      now_ = std::max(now_, *next);
      timers_.run(now_);
    }
    now_ = to;
  }

  std::mt19937 random_;
  TimePoint now_;
  net::TimerQueue timers_;
  net::EventLoop loop_;
  Counters counters_;
  std::vector<std::string> trace_;
  std::vector<std::unique_ptr<Client>> clients_;
  Engine engine_;
  Traffic traffic_;
  DestinationSet destinations_;
};

TEST(Traffic, WithOnePoolTheActionsAreThoseWithoutPools) {
  UnixClock clock;
  TimePoint start = Clock::now();
  for (unsigned seed = 1; seed <= 5; ++seed) {
    auto without = World(seed, clock, start, false).play(1500),
         with = World(seed, clock, start, true).play(1500);
    ASSERT_GT(without.size(), 3000u) << "seed " << seed;
    ASSERT_EQ(without, with) << "seed " << seed;
  }
}

// Writes down in which order requests are sent. All of them go to the pool that `chosen` says.
class Order final : public EndpointPort,
                    public TimerPort,
                    public PoolSelector,
                    public ResponseSink {
 public:
  std::vector<std::string> sent;
  int chosen = 0;

 private:
  void start(AttemptRef, EndpointId, const Job& job, const Terms&) override {
    sent.push_back(job.id);
  }
  void cancel(AttemptRef) override {}
  void cancel_unsent(AttemptRef) override {}
  void send_health_check(EndpointId) override {}
  TimePoint now() const override { return now_; }
  TimerId at(TimePoint, std::function<void()>) override { return 0; }
  void cancel(TimerId) override {}
  int choose(const Job&) override { return chosen; }
  void on_request_ended(const Job&, int, TimePoint, RequestOutcome) override {}
  void on_final(FinalAnswer) override {}

  TimePoint now_ = Clock::now();
};

// Says of each request what the test wants, at once or later.
class Screen final : public RequestFilter {
 public:
  std::map<std::string, Decision> says;
  std::vector<std::string> heard;
  std::vector<RequestId> forgotten;

 private:
  std::optional<Decision> decide(RequestId, const Job& job, TimePoint) override {
    auto it = says.find(job.id);
    return it == says.end() ? std::nullopt : std::optional(it->second);
  }
  void on_client_disconnected(RequestId id) override { forgotten.push_back(id); }
  void on_request_ended(const Job& job, Duration, RequestOutcome) override {
    heard.push_back(job.id);
  }
};

TEST(Engine, WhatIsWeighedMoreIsQueuedAsIfLargerAndWhatIsScreenedIsNotTheModulesYet) {
  scheduler::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective_ms = 1000;
  Order order;
  Screen screen;
  screen.says = {{"a", {.is_rejected = false, .retry_after = {}, .queue_weight = 4, .label = {}}},
                 {"b", {}}};
  Counters counters;
  UnixClock clock;
  Engine engine(settings, 1, {1000, 0ms}, order, clock, counters);
  engine.set_endpoints(order);
  engine.set_filter(&screen);
  auto take = [&](std::string id, Duration hint) {
    Job job;
    job.id = std::move(id);
    job.tenant = -1;
    job.client_timeout = 60s;
    job.hint = std::chrono::duration_cast<std::chrono::microseconds>(hint);
    return *engine.submit(std::move(job), order);
  };
  take("a", 100ms), take("b", 200ms);
  RequestId late = take("late", 10ms), gone = take("gone", 10ms);
  EXPECT_EQ(engine.queued_requests(0), 2u);
  engine.on_client_disconnected(gone);
  EXPECT_EQ(screen.forgotten, std::vector<RequestId>{gone});
  engine.on_filter_decision(gone, {});  // too late: nothing comes of it
  EXPECT_EQ(engine.queued_requests(0), 2u);
  scheduler::EndpointList list;
  for (scheduler::EndpointId w = 1; w <= 10; ++w)
    list.entries.push_back({w, 0, 0, 0, scheduler::EndpointState::ready, 1, 0});
  engine.on_endpoint_list(list);
  EXPECT_EQ(order.sent, (std::vector<std::string>{"b", "a"}));
  engine.on_filter_decision(late, {});
  engine.on_filter_decision(
      late,
      {.is_rejected = true, .retry_after = {}, .queue_weight = 1, .label = {}});  // once is all
  EXPECT_EQ(order.sent.back(), "late");
  EXPECT_EQ(counters.answers_refused, 0u);
  EXPECT_EQ(engine.open_requests(), 3u);
  EXPECT_EQ(screen.heard, std::vector<std::string>{"gone"});
}

TEST(Traffic, ARequestThatIsRoutedAgainCountsOnceAgainstItsTenantsShare) {
  scheduler::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective_ms = 1000;
  settings.tenant_quota = {2};  // four may be saved up
  settings.over_quota_weight = 0.1;
  Order order;
  Counters counters;
  UnixClock clock;
  Engine engine(settings, 1, {1000, 0ms}, order, clock, counters);
  engine.set_endpoints(order);
  engine.ensure_pools(2);
  engine.set_selector(&order);
  auto take = [&](std::string id, int tenant, Duration hint) {
    Job job;
    job.id = std::move(id);
    job.tenant = tenant;
    job.client_timeout = 60s;
    job.hint = std::chrono::duration_cast<std::chrono::microseconds>(hint);
    engine.submit(std::move(job), order);
  };
  for (const char* id : {"a", "b", "c", "d"})
    take(id, 0, 100ms);
  order.chosen = 1;
  engine.reroute(0);
  EXPECT_EQ(counters.requests_rehomed, 4u);
  take("large", -1, 300ms);  // behind what is within the share, before what is beyond it
  scheduler::EndpointList list;
  for (scheduler::EndpointId w = 1; w <= 10; ++w)
    list.entries.push_back({w, 0, 0, 0, scheduler::EndpointState::ready, 1, 0});
  engine.on_endpoint_list(list, 1);
  ASSERT_EQ(order.sent.size(), 5u);
  EXPECT_EQ(order.sent, (std::vector<std::string>{"a", "b", "c", "d", "large"}));
}

TEST(Traffic, ATenantsShareIsTheSameHoweverItsRequestsAreSplit) {
  scheduler::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective_ms = 1000;
  settings.tenant_quota = {2};  // four may be saved up
  settings.over_quota_weight = 0.1;
  // Two Dispatchers are each given four requests of a tenant; one without a tenant, three times as
  // large, is held behind those within the share and before those beyond it. What is sent first
  // tells how many were within.
  auto within = [&](std::shared_ptr<scheduler::TenantQuotas> shares) {
    int count = 0;
    std::vector<scheduler::Dispatcher> pair;
    for (std::uint64_t seed : {1, 2})
      pair.emplace_back(settings, seed, shares);
    scheduler::Actions out;
    for (scheduler::RequestId id = 1; id <= 8; ++id)
      pair[id % 2].handle(
          1e6, scheduler::RequestArrived{.request = id, .client_timeout_ms = 60'000, .hint = 100},
          out);
    for (scheduler::Dispatcher& d : pair) {
      d.handle(1e6,
               scheduler::RequestArrived{
                   .request = 100, .tenant = -1, .client_timeout_ms = 60'000, .hint = 300},
               out);
      out.clear();
      scheduler::EndpointList list;
      for (scheduler::EndpointId w = 1; w <= 10; ++w)
        list.entries.push_back({w, 0, 0, 0, scheduler::EndpointState::ready, 1, 0});
      d.handle(1e6, list, out);
      for (const auto& action : out) {
        const auto* send = std::get_if<scheduler::SendAttempt>(&action);
        if (send && send->request == 100)
          break;
        count += send != nullptr;
      }
    }
    return count;
  };
  EXPECT_EQ(within(std::make_shared<scheduler::TenantQuotas>()), 4);
  EXPECT_EQ(within(nullptr), 8) << "each by itself grants the whole share";
}

}  // namespace
}  // namespace keelflow
