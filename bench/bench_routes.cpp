// What pools cost a request: the choice of its pool, what a move hears of it, and both in the
// Engine, beside the same without pools. Endpoints answer at once, so that the module and the
// Engine are all there is.
#include <benchmark/benchmark.h>

#include "core/engine.h"
#include "net/timer_queue.h"
#include "routes/traffic.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;

scheduler::Settings settings() {
  scheduler::Settings s;
  s.classes.resize(2);
  for (auto& c : s.classes)
    c.latency_objective_ms = 300, c.objective_runtime_factor = 2;
  s.classes[1].idempotency = scheduler::Idempotency::idempotent_with_key;
  s.classes[1].deduplication_window_ms = 7500;
  s.tick_ms = 4;
  s.max_attempts = 3;
  return s;
}

enum class Kind { none, pools, moving };

class World final : EndpointPort, TimerPort, ResponseSink {
 public:
  explicit World(Kind kind)
      : now_(Clock::now()),
        engine_(settings(), 1, {1000, 0ms}, *this, clock_, counters_),
        traffic_(*this, clock_, engine_,
                 {Names{{"price", "hold"}, {"a"}, {"east"}, {"std"}}, settings()}, counters_),
        destinations_(
            loop_, {}, {}, [](scheduler::EndpointList) {}, counters_, 1) {
    engine_.set_endpoints(*this);
    traffic_.connect(destinations_);
    routes::Spec spec;
    std::vector<moves::MoveSpec> moves;
    if (kind != Kind::none) {
      spec.pools = {{"new", {}, {}, {}, {1}}, {"old", {}, {}, {}, {}}};
      spec.routes = {{"prices", {"price"}, {}, {}, {{"old", 50}, {"new", 50}}, false},
                     {"all", {}, {}, {}, {{"old", 50}, {"new", 50}}, false}};
    }
    if (kind == Kind::moving) {
      moves.resize(1);
      moves[0].name = "m", moves[0].route = "all", moves[0].from = "old", moves[0].to = "new";
      moves[0].steps = {50, 100};
      moves[0].min_duration_ms = 1e9, moves[0].max_duration_ms = 2e9;
    }
    traffic_.configure(spec, moves);
    scheduler::EndpointList list;
    for (scheduler::EndpointId w = 1; w <= 12; ++w)
      list.entries.push_back({w, 0, 0, w <= 6 ? 1 : 2, scheduler::EndpointState::ready, 1, 0});
    traffic_.list(std::move(list));
    if (kind == Kind::moving)
      traffic_.command("m", "start");
  }

  void request(std::uint64_t n) {
    Job job;
    job.id = "0123456789abcdef";
    job.class_index = static_cast<int>(n & 1);
    job.key = n % 5000;
    job.path = "/hold/x";
    job.idempotency_key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    job.client_timeout = 1s;
    job.hint = 50ms;
    now_ += 1ms;
    engine_.submit(std::move(job), *this);
    for (auto ref = std::exchange(sent_, {}); ref.request;) {
      engine_.on_attempt_ended(
          ref,
          {.outcome = AttemptOutcome::served, .delivery = DeliveryState::accepted, .result = "x"});
      break;
    }
    timers_.run(now_);
  }

 private:
  void on_final(FinalAnswer) override {}
  void start(AttemptRef ref, EndpointId, const Job&, const Terms&) override { sent_ = ref; }
  void cancel(AttemptRef) override {}
  void cancel_unsent(AttemptRef) override {}
  void send_health_check(EndpointId) override {}
  TimePoint now() const override { return now_; }
  TimerId at(TimePoint when, std::function<void()> task) override {
    return timers_.add(when, std::move(task));
  }
  void cancel(TimerId id) override { timers_.cancel(id); }

  TimePoint now_;
  UnixClock clock_;
  net::TimerQueue timers_;
  net::EventLoop loop_;
  Counters counters_;
  AttemptRef sent_;
  Engine engine_;
  Traffic traffic_;
  DestinationSet destinations_;
};

void request(benchmark::State& state, Kind kind) {
  World world(kind);
  std::uint64_t n = 0;
  for (auto _ : state)
    world.request(++n);
}
BENCHMARK_CAPTURE(request, without_pools, Kind::none);
BENCHMARK_CAPTURE(request, with_two_pools, Kind::pools);
BENCHMARK_CAPTURE(request, with_a_move_under_way, Kind::moving);

void choose(benchmark::State& state) {
  routes::Spec spec;
  spec.pools = {{"new", {}, {}, {}, {1}}, {"old", {}, {}, {}, {}}};
  spec.routes = {{"all", {}, {}, {}, {{"old", 50}, {"new", 50}}, false}};
  routes::Router router(spec, {{"price", "hold"}, {"a"}, {"east"}, {"std"}}, settings().classes,
                        {20'000, 2'000});
  scheduler::EndpointList list;
  for (scheduler::EndpointId w = 1; w <= 12; ++w)
    list.entries.push_back({w, 0, 0, w <= 6 ? 1 : 2, scheduler::EndpointState::ready, 1, 0});
  router.split(
      list, [](scheduler::EndpointId) { return std::string_view("s"); }, 0);
  double now = 0;
  std::uint64_t n = 0;
  std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  for (auto _ : state) {
    routes::Query query;
    query.class_index = static_cast<int>(state.range(0));
    query.object = ++n;
    key[0] = static_cast<char>('a' + n % 26), key[1] = static_cast<char>('a' + n / 26 % 26),
    key[2] = static_cast<char>('a' + n / 676 % 26);
    query.idempotency_key = key;
    benchmark::DoNotOptimize(router.choose(query, now += 1).pool);
  }
}
BENCHMARK(choose)->ArgName("keyed")->Arg(0)->Arg(1);

}  // namespace
}  // namespace keelflow
