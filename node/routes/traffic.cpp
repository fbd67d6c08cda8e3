#include "routes/traffic.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "log/log.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using log::Subsystem;
using nlohmann::json;

constexpr Duration kTick = 100ms;  // how often moves are looked at
constexpr const char* kOnePool = "all";

std::size_t at(int i) {
  return static_cast<std::size_t>(i);
}

// What a node without pools does, said in pools: it is where a node starts that gets pools later,
// and where one ends that loses them.
routes::Spec one_pool() {
  routes::Spec spec;
  spec.pools.push_back({.name = kOnePool, .sites = {}, .kinds = {}, .hosts = {}, .blocks = {}});
  routes::RouteSpec route;
  route.name = kOnePool;
  route.to = {{kOnePool, 1.0}};
  spec.routes.push_back(route);
  return spec;
}

}  // namespace

Traffic::Traffic(TimerPort& timers, const UnixClock& clock, Engine& engine, Settings settings,
                 Counters& counters)
    : timers_(timers),
      clock_(clock),
      engine_(engine),
      settings_(std::move(settings)),
      counters_(counters) {}

Traffic::~Traffic() {
  timers_.cancel(tick_);
  timers_.cancel(due_);
}

void Traffic::check(const routes::Spec& spec, const Names& n) {
  std::string all;
  for (const std::string& text :
       routes::unknown_names(spec, {n.classes, n.tenants, n.zones, n.kinds}))
    all += (all.empty() ? "" : "\n") + text;
  if (!all.empty())
    throw ConfigError(all);
}

void Traffic::retune(Settings settings) {
  settings_ = std::move(settings);
  const Names& n = settings_.names;
  if (router_)
    router_->rename({n.classes, n.tenants, n.zones, n.kinds}, settings_.module.classes);
}

void Traffic::check_numbers(const routes::Spec& spec) const {
  bool fits = true;
  if (router_)
    fits = router_->fits(spec.on() ? spec : one_pool());
  else if (!known_.empty())
    fits = spec.pools.size() < routes::kMaxPools;  // the one pool that was has a number too
  if (!fits)
    throw ConfigError("pools have come and gone too often: a restart is needed for more names");
}

void Traffic::configure(const routes::Spec& spec, const std::vector<moves::MoveSpec>& moves) {
  check(spec, settings_.names);
  check_numbers(spec);
  if (!spec.on() && !router_)
    return;
  double now = now_ms();
  const Names& n = settings_.names;
  bool late = !router_ && !known_.empty();  // pools come to a node that has served without
  if (!router_) {
    routes::Timing timing{.slow_start_ms = settings_.module.slow_start_ms,
                          .pool_change_delay_ms = settings_.module.overload_window_ms};
    router_ = std::make_unique<routes::Router>(
        late ? one_pool() : spec, routes::NameLists{n.classes, n.tenants, n.zones, n.kinds},
        settings_.module.classes, timing);
    scheduler::EndpointList list{.scope = scheduler::ListScope::full, .entries = {}};
    for (const auto& [endpoint, entry] : known_)
      list.entries.push_back(entry);
    if (late)
      router_->split(
          list, [this](EndpointId w) { return host(w); }, now);
    known_.clear();
  }
  auto lists = router_->replace(spec.on() ? spec : one_pool(), now);
  engine_.ensure_pools(router_->pool_count());
  engine_.set_selector(this);
  counts_.resize(at(router_->pool_count()));
  std::vector<std::unique_ptr<Moving>> old = std::exchange(moves_, {});
  for (const moves::MoveSpec& m : moves) {
    auto same = std::find_if(old.begin(), old.end(), [&](auto& o) {
      return o && o->move.spec().name == m.name && o->move.spec().route == m.route &&
             o->move.spec().from == m.from && o->move.spec().to == m.to;
    });
    std::unique_ptr<Moving> moving =
        same == old.end() ? std::make_unique<Moving>(m) : std::move(*same);
    if (same != old.end())
      moving->move.update_spec(m, now);
    moving->route = router_->route(m.route);
    moving->from = router_->pool(m.from);
    moving->to = router_->pool(m.to);
    moving->told = -1;
    moves_.push_back(std::move(moving));
  }
  for (auto& gone : old)  // its route or pools have changed: the file's weights hold from here on
    if (gone && gone->move.active()) {
      ++counters_.moves_undone;
      log::warning(
          Subsystem::moves, "move-undone",
          {{"move", gone->move.spec().name}, {"reason", "the configuration no longer has it"}});
    }
  listed_ = listed_ || late;
  if (listed_)
    tell(std::move(*lists));  // before that there is nothing to tell
  for (auto& moving : moves_)
    look(*moving, now);
  // What waits in a pool that is no more would wait in vain.
  for (int pool = 0; pool < router_->pool_count(); ++pool)
    if (!router_->is_current(pool))
      engine_.reroute(pool);
  wait_for_due();
  tick();
}

std::string_view Traffic::host(EndpointId endpoint) const {
  const Destination* to = destinations_->find(endpoint);
  return to ? std::string_view(to->host) : std::string_view();
}

void Traffic::list(scheduler::EndpointList list) {
  if (!router_) {
    if (list.scope !=
        scheduler::ListScope::failed) {  // kept for the day on which pools are turned on
      if (list.scope != scheduler::ListScope::delta)
        known_.clear();
      for (const auto& e : list.entries) {
        if (e.state != scheduler::EndpointState::gone)
          known_[e.endpoint] = e;
        else
          known_.erase(e.endpoint);
      }
    }
    return engine_.on_endpoint_list(std::move(list));
  }
  listed_ = true;
  tell(router_->split(
      list, [this](EndpointId w) { return host(w); }, now_ms()));
  wait_for_due();
  double now = now_ms();
  for (auto& moving : moves_)
    look(*moving, now);
}

void Traffic::tell(routes::Router::Lists lists) {
  for (auto& [pool, list] : lists)
    engine_.on_endpoint_list(std::move(list), pool);
  tell_health();
}

// An operator learns of a pool's last endpoint going, and of endpoints that no pool names.
void Traffic::tell_health() {
  double now = now_ms();
  ready_told_.resize(at(router_->pool_count()), -1);
  for (int pool = 0; pool < router_->pool_count(); ++pool) {
    int ready = router_->health(pool, now).ready,
        before = std::exchange(ready_told_[at(pool)], ready);
    if (router_->is_current(pool) && before > 0 && ready == 0)
      log::warning(Subsystem::routes, "pool-empty", {{"pool", router_->pool_name(pool)}});
    if (before == 0 && ready > 0)
      log::info(Subsystem::routes, "pool-ready",
                {{"pool", router_->pool_name(pool)}, {"ready", ready}});
  }
  int unassigned = router_->unassigned();
  if (unassigned > std::exchange(unassigned_, unassigned))
    log::warning(Subsystem::routes, "endpoints-without-pool", {{"count", unassigned}});
}

void Traffic::wait_for_due() {
  timers_.cancel(due_);
  if (auto when = router_->next_due())
    due_ = timers_.at(clock_.at(*when), [this] {
      tell(router_->due(now_ms()));
      wait_for_due();
    });
}

int Traffic::choose(const Job& job) {
  double now = now_ms();
  routes::Query query{.class_index = job.class_index,
                      .tenant = job.tenant,
                      .path = job.path,
                      .object = job.key,
                      .idempotency_key = job.idempotency_key,
                      .id = job.id,
                      .remaining_timeout_ms = to_ms(job.client_timeout)};
  routes::Choice choice = router_->choose(query, now);
  ++counts_[at(choice.pool)].chosen;
  counters_.requests_spilled += choice.spilled;
  counters_.requests_kept += choice.kept;
  counters_.keys_forgotten = router_->keys_forgotten();
  for (auto& moving : moves_) {
    if (choice.pool != moving->from && choice.pool != moving->to)
      continue;
    moving->move.arrived(choice.pool == moving->to ? moves::Arm::trial : moves::Arm::control,
                         choice.route == moving->route, now);
  }
  return choice.pool;
}

// In time is an answer by the class's aim: target + objective_runtime_factor x the job's own
// running time.
void Traffic::on_request_ended(const Job& job, int pool, TimePoint taken, RequestOutcome how) {
  const scheduler::ClassSettings& class_settings = settings_.module.classes.at(at(job.class_index));
  double elapsed = to_ms(timers_.now() - taken),
         aim = class_settings.latency_objective_ms +
               class_settings.objective_runtime_factor * Milliseconds(job.hint).count();
  bool in_time = how == RequestOutcome::served && elapsed <= aim;
  PoolCount& count = counts_[at(pool)];
  ++(how == RequestOutcome::served     ? count.served
     : how == RequestOutcome::rejected ? count.refused
     : how == RequestOutcome::failed   ? count.failed
                                       : count.gone);
  if (how == RequestOutcome::client_disconnected && elapsed <= aim)
    return;  // who leaves before that tells nothing of the pool
  count.asked += class_settings.priority_weight;
  count.in_time += in_time ? class_settings.priority_weight : 0;
  double now = 0;
  for (auto& moving : moves_) {
    if (!moving->move.active() || (pool != moving->from && pool != moving->to))
      continue;
    if (now == 0)
      now = now_ms();
    moving->move.answered(pool == moving->to ? moves::Arm::trial : moves::Arm::control,
                          class_settings.priority_weight,
                          in_time ? class_settings.priority_weight : 0, clock_.unix_ms(taken), now);
  }
}

moves::PoolView Traffic::view(int pool, double now) const {
  const routes::Health& h = router_->health(pool, now);
  return {.ready = h.ready, .warm = h.warm, .draining = h.draining, .capacity = h.warm_share};
}

void Traffic::look(Moving& moving, double now) {
  moving.move.update_pools(view(moving.from, now), view(moving.to, now), now);
  moving.move.tick(now);
  carry_out(moving);
}

void Traffic::carry_out(Moving& moving) {
  moves::Move& move = moving.move;
  for (const moves::Event& event : move.events())
    log::info(
        Subsystem::moves, "move",
        {{"move", move.spec().name}, {"state", moves::word(move.state())}, {"what", event.text}});
  if (std::exchange(moving.counted, move.state()) != move.state()) {
    counters_.moves_undone += move.state() == moves::State::undone;
    counters_.moves_done += move.state() == moves::State::done;
  }
  double share = move.share();
  if (move.state() == moves::State::idle || share == moving.told)
    return;
  bool back = share < moving.told;
  moving.told = share;
  router_->shift(moving.route, moving.from, moving.to, share);
  if (router_->spec().routes[at(moving.route)].rehome)
    engine_.reroute(back ? moving.to : moving.from);
}

// Runs only while a move is under way.
void Traffic::tick() {
  timers_.cancel(tick_);
  tick_ = 0;
  double now = now_ms();
  bool any = false;
  for (auto& moving : moves_) {
    if (!moving->move.active())
      continue;
    look(*moving, now);
    any = any || moving->move.active();
  }
  if (any)
    tick_ = timers_.at(timers_.now() + kTick, [this] { tick(); });
}

bool Traffic::has_move(std::string_view name) const {
  return std::any_of(moves_.begin(), moves_.end(),
                     [&](auto& m) { return m->move.spec().name == name; });
}

std::string Traffic::command(std::string_view name, std::string_view verb) {
  for (auto& moving : moves_) {
    moves::Move& move = moving->move;
    if (move.spec().name != name)
      continue;
    double now = now_ms();
    move.update_pools(view(moving->from, now), view(moving->to, now), now);
    std::string why = verb == "start"    ? move.start(now)
                      : verb == "pause"  ? move.pause(now)
                      : verb == "resume" ? move.resume(now)
                      : verb == "undo"   ? move.undo("by an operator", now)
                                         : "no such command";
    if (why.empty() && verb == "start")
      ++counters_.moves_started;
    carry_out(*moving);
    tick();
    return why;
  }
  return "no such move";
}

json Traffic::pools() const {
  json out = json::array();
  if (!router_)
    return out;
  double now = now_ms();
  for (int pool = 0; pool < router_->pool_count(); ++pool) {
    const routes::Health& h = router_->health(pool, now);
    const PoolCount& c = counts_[at(pool)];
    out.push_back({{"pool", router_->pool_name(pool)},
                   {"live", router_->is_current(pool)},
                   {"ready", h.ready},
                   {"warm", h.warm},
                   {"draining", h.draining},
                   {"held", engine_.queued_requests(pool)},
                   {"chosen", c.chosen},
                   {"served", c.served},
                   {"refused", c.refused},
                   {"failed", c.failed},
                   {"gone", c.gone},
                   {"worth_asked", c.asked},
                   {"worth_in_time", c.in_time}});
  }
  return out;
}

json Traffic::routes() const {
  json out = json::array();
  if (!router_)
    return out;
  for (std::size_t i = 0; i < router_->spec().routes.size(); ++i) {
    const routes::RouteSpec& spec = router_->spec().routes[i];
    json to = json::object();
    for (const auto& [name, weight] : spec.to)
      to[name] = router_->weight(static_cast<int>(i), router_->pool(name));
    out.push_back({{"route", spec.name}, {"to", to}});
  }
  return out;
}

json Traffic::moves() const {
  json out = json::array();
  double now = now_ms();
  for (const auto& moving : moves_) {
    const moves::Move& m = moving->move;
    const moves::Estimate& e = m.last();
    json history = json::array();
    for (const moves::Event& event : m.history())
      history.push_back({{"unix_ms", event.when_ms}, {"what", event.text}});
    out.push_back({{"move", m.spec().name},
                   {"route", m.spec().route},
                   {"from", m.spec().from},
                   {"to", m.spec().to},
                   {"state", moves::word(m.state())},
                   {"waits", moves::word(m.wait_reason())},
                   {"step", m.step() + 1},
                   {"steps", m.spec().steps.size()},
                   {"share", m.share()},
                   {"step_s", m.active() ? (now - m.step_since()) / 1000 : 0.0},
                   {"reason", m.reason()},
                   {"cool_off_s", std::max(0.0, (m.cool_until() - now) / 1000)},
                   {"undos", m.undos()},
                   {"measure",
                    {{"from_in_time", e.control},
                     {"to_in_time", e.trial},
                     {"loss", e.loss},
                     {"error", e.error},
                     {"from_answers", e.control_answers},
                     {"to_answers", e.trial_answers}}},
                   {"history", history}});
  }
  return out;
}

}  // namespace keelflow
