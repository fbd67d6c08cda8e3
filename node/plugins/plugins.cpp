#include "plugins/plugins.h"

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "log/log.h"

namespace keelflow {

using namespace std::chrono_literals;
using log::Subsystem;
using nlohmann::json;
using plugins::Breaker;
using plugins::Entry;
using plugins::Package;
namespace wire = plugins::wire;

namespace {

std::string cut(std::string_view text, std::size_t most = wire::kMostText) {
  return std::string(text.substr(0, most));
}

std::string hex(std::uint64_t number) {
  char text[20];
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(number));
  return number == 0 ? "" : text;
}

std::string name_at(const std::vector<std::string>& names, int i) {
  return i >= 0 && static_cast<std::size_t>(i) < names.size()
             ? cut(names[static_cast<std::size_t>(i)])
             : "";
}

const char* word(RequestOutcome how) {
  switch (how) {
    case RequestOutcome::served:
      return "served";
    case RequestOutcome::rejected:
      return "refused";
    case RequestOutcome::failed:
      return "failed";
    case RequestOutcome::client_disconnected:
      return "gone";
  }
  return "";
}

std::vector<bool> flags(const std::vector<std::string>& wanted,
                        const std::vector<std::string>& all) {
  std::vector<bool> out;
  if (wanted.empty())
    return out;
  for (const std::string& name : all)
    out.push_back(std::find(wanted.begin(), wanted.end(), name) != wanted.end());
  return out;
}

bool allowed(const std::vector<bool>& flags, int i) {
  return flags.empty() || (i >= 0 && static_cast<std::size_t>(i) < flags.size() &&
                           flags[static_cast<std::size_t>(i)]);
}

}  // namespace

std::vector<Package> plugins::load_all(const Settings& settings, const std::string& file,
                                       const Names& names) {
  std::vector<Package> out;
  config::Faults faults;
  std::string all;
  for (const Wanted& wanted : settings.plugins) {
    out.push_back(load(settings.folder + "/" + wanted.name, wanted, file, faults));
    const Manifest& m = out.back().manifest;
    auto look = [&](const std::vector<std::string>& wanted_names,
                    const std::vector<std::string>& known, const char* what) {
      for (const std::string& name : wanted_names)
        if (std::find(known.begin(), known.end(), name) == known.end())
          all +=
              "plug-in '" + wanted.name + "': the platform knows no " + what + " '" + name + "'\n";
    };
    look(m.classes, names.classes, "class"), look(m.tenants, names.tenants, "tenant");
  }
  for (const config::Fault& fault : faults)
    all += fault.text() + "\n";
  if (all.empty())
    return out;
  all.pop_back();
  throw ConfigError(all);
}

Plugins::Plugins(World world, Engine& engine, Counters& counters)
    : world_(std::move(world)),
      engine_(engine),
      counters_(counters),
      reaper_(world_.loop,
              [](pid_t pid, const std::string& how) {
                log::info(Subsystem::plugins, "host-gone", {{"pid", pid}, {"how", how}});
              }),
      holds_(0, 0) {}

Plugins::~Plugins() {
  world_.loop.cancel(hold_timer_);
  for (auto& plugin : plugins_)
    world_.loop.cancel(plugin->restart), world_.loop.cancel(plugin->tick);
}

// ---- what is there ----

Plugins::Plugin* Plugins::find(std::string_view name) const {
  auto it = std::find_if(plugins_.begin(), plugins_.end(),
                         [&](auto& p) { return p->wanted.name == name; });
  return it == plugins_.end() ? nullptr : it->get();
}

Plugins::Plugin* Plugins::owner(const Host& host) const {
  for (const auto& plugin : plugins_) {
    if (plugin->current.get() == &host || plugin->next.get() == &host)
      return plugin.get();
    for (const auto& old : plugin->retiring)
      if (old.get() == &host)
        return plugin.get();
  }
  return nullptr;
}

void Plugins::configure(const plugins::Settings& settings, std::vector<Package> packages) {
  settings_ = settings;
  release(holds_.set_limits(static_cast<std::size_t>(settings.most_held),
                            static_cast<std::size_t>(settings.most_held_kb * 1024)));
  std::vector<std::unique_ptr<Plugin>> old = std::exchange(plugins_, {});
  std::vector<std::size_t> begins;
  for (std::size_t i = 0; i < settings.plugins.size(); ++i) {
    const plugins::Wanted& wanted = settings.plugins[i];
    auto same = std::find_if(old.begin(), old.end(),
                             [&](auto& p) { return p && p->wanted.name == wanted.name; });
    bool fresh = same == old.end();
    plugins_.push_back(fresh ? std::make_unique<Plugin>(wanted, settings.breaker, world_.seed + i)
                             : std::move(*same));
    Plugin& plugin = *plugins_.back();
    const Package& newest = plugin.next && plugin.takes_over ? plugin.next_package : plugin.package;
    bool changed = fresh || newest.fingerprint != packages[i].fingerprint ||
                   plugin.wanted.answer_within != wanted.answer_within;
    bool was_enabled = std::exchange(plugin.wanted, wanted).enabled;
    if (fresh)
      plugin.package = packages[i],
      see(plugin, packages[i]);  // its fallback holds until it has loaded
    if (!wanted.enabled) {
      if (fresh || was_enabled)
        enable(wanted.name, false);
      plugin.package = packages[i];
    } else if (changed || !was_enabled) {
      begins.push_back(i);
    }
  }
  for (auto& gone : old)
    if (gone)
      abandon(*gone);
  for (std::size_t i : begins)
    begin(*plugins_[i], packages[i], true);
  engine_.set_filter(on() ? this : nullptr);
  if (!on())
    release(holds_.all());
}

// A plug-in that the file no longer has: its calls count as not answered, and its hosts end.
void Plugins::abandon(Plugin& plugin) {
  world_.loop.cancel(plugin.restart);
  world_.loop.cancel(plugin.tick);
  drop(plugin.next), drop(plugin.current);
  for (auto& host : plugin.retiring)
    drop(host);
  for (auto& [id, screening] : screenings_)
    std::replace(screening.plugins.begin(), screening.plugins.end(), &plugin,
                 static_cast<Plugin*>(nullptr));
  give_up(plugin, 0);
  log::info(Subsystem::plugins, "removed", {{"plugin", plugin.wanted.name}});
}

void Plugins::drop(std::unique_ptr<Host>& host) {
  if (!host)
    return;
  host->stop();
  world_.loop.dispose(std::move(host));
}

// Calls that will not be answered: their fallbacks hold.
void Plugins::give_up(Plugin& plugin, std::uint64_t generation) {
  std::vector<CallId> open;
  for (const auto& [id, call] : calls_)
    if (call.plugin == &plugin && (generation == 0 || call.generation == generation))
      open.push_back(id);
  std::sort(open.begin(), open.end());
  for (CallId id : open)
    if (auto call = close(id))
      call->plugin = nullptr, settled(*call);
}

// ---- generations ----

void Plugins::begin(Plugin& plugin, const Package& package, bool takes_over) {
  world_.loop.cancel(plugin.restart);
  plugin.restart = 0;
  drop(plugin.next);  // one that was still loading
  plugin.next_package = package;
  plugin.takes_over = takes_over;
  Host::Settings s{.program = world_.program,
                   .answer_within = plugin.wanted.answer_within,
                   .silence = settings_.silence};
  s.most_in_flight = static_cast<std::size_t>(settings_.in_flight);
  s.nice = static_cast<std::uint8_t>(settings_.nice);
  Host::User& user = *this;
  plugin.next = std::make_unique<Host>(world_.loop, reaper_, user, s, ++plugin.generation);
  if (plugin.next->start(package, plugin.table.entries(), unix_seconds())) {
    ++counters_.plugin_hosts_started;
    return;
  }
  drop(plugin.next);
  plugin.problem = std::string("no host could be started: ") + std::strerror(errno);
  log::warning(Subsystem::plugins, "host-not-started",
               {{"plugin", plugin.wanted.name}, {"fault", plugin.problem}});
  if (!plugin.current)
    plugin.breaker.host_died(clock_ms()), watch_restart(plugin);
}

void Plugins::on_ready(Host& host) {
  Plugin* plugin = owner(host);
  if (!plugin || plugin->next.get() != &host)
    return;
  Breaker::State before = plugin->breaker.state();
  if (plugin->takes_over) {
    plugin->package = plugin->next_package;
    see(*plugin, plugin->package);
    // Another generation is not guilty of what the one before did.
    plugin->breaker = Breaker(plugin->breaker_settings, world_.seed + plugin->generation);
    if (plugin->current)
      ++counters_.plugin_reloads;
  } else {
    plugin->breaker.begin_trial(clock_ms());
  }
  if (plugin->current)
    retire(*plugin, std::move(plugin->current));
  plugin->current = std::move(plugin->next);
  log::info(Subsystem::plugins, "in-charge",
            {{"plugin", plugin->wanted.name},
             {"version", plugin->package.manifest.version},
             {"generation", host.generation()},
             {"pid", host.pid()}});
  tell_state(*plugin, before);
  tick(*plugin);
}

void Plugins::see(Plugin& plugin, const Package& package) {
  plugin.classes = flags(package.manifest.classes, world_.names.classes);
  plugin.tenants = flags(package.manifest.tenants, world_.names.tenants);
}

void Plugins::retune(const Names& names, const std::vector<scheduler::ClassSettings>& classes) {
  world_.names = names;
  world_.classes = classes;
  for (auto& plugin : plugins_)
    see(*plugin, plugin->package);
}

void Plugins::retire(Plugin& plugin, std::unique_ptr<Host> host) {
  constexpr std::size_t kMostRetiring = 3;
  plugin.retiring.push_back(std::move(host));
  let_leave(plugin);
  if (plugin.retiring.size() <= kMostRetiring)
    return;
  std::uint64_t oldest = plugin.retiring.front()->generation();
  drop(plugin.retiring.front());
  plugin.retiring.erase(plugin.retiring.begin());
  give_up(plugin, oldest);
}

// Former generations end when their last call is back.
void Plugins::let_leave(Plugin& plugin) {
  std::vector<Host*> idle;  // one that cannot be told is dropped at once
  for (auto& old : plugin.retiring)
    if (old->in_flight() == 0 && !old->leaving())
      idle.push_back(old.get());
  for (Host* host : idle)
    host->leave();
}

void Plugins::on_ended(Host& host, const std::string& why, const std::vector<CallId>& open) {
  Plugin* plugin = owner(host);
  if (!plugin)
    return;
  if (why.empty()) {  // a former generation, as it was told
    auto old = std::find_if(plugin->retiring.begin(), plugin->retiring.end(),
                            [&](auto& h) { return h.get() == &host; });
    if (old == plugin->retiring.end())
      return;
    drop(*old);
    plugin->retiring.erase(old);
    return;
  }
  ++counters_.plugin_hosts_ended;
  ++plugin->ends;
  plugin->problem = why;
  bool current = plugin->current.get() == &host, next = plugin->next.get() == &host;
  log::warning(Subsystem::plugins, next ? "not-loaded" : "host-ended",
               {{"plugin", plugin->wanted.name},
                {"generation", host.generation()},
                {"why", why},
                {"open-calls", std::uint64_t{open.size()}}});
  if (current)
    drop(plugin->current);
  else if (next)
    drop(plugin->next);
  else
    for (auto& old : plugin->retiring)
      if (old.get() == &host)
        drop(old);
  std::erase(plugin->retiring, nullptr);
  if (next)
    counters_.plugin_reloads_failed += plugin->takes_over;
  if (current || (next && !plugin->current)) {
    Breaker::State before = plugin->breaker.state();
    plugin->breaker.host_died(clock_ms());
    tell_state(*plugin, before);
    if (!plugin->next)
      watch_restart(*plugin);
  }
  for (CallId id : open)
    if (auto call = close(id))
      settled(*call);
}

void Plugins::watch_restart(Plugin& plugin) {
  world_.loop.cancel(plugin.restart);
  plugin.restart = 0;
  if (plugin.breaker.state() != Breaker::State::open &&
      plugin.breaker.state() != Breaker::State::out)
    return;
  plugin.restart = world_.loop.at(world_.clock.at(plugin.breaker.until()), [this, &plugin] {
    plugin.restart = 0;
    begin(plugin, plugin.package, false);
  });
}

void Plugins::tell_state(const Plugin& plugin, Breaker::State before) {
  Breaker::State now = plugin.breaker.state();
  if (now == before)
    return;
  log::info(Subsystem::plugins, "breaker",
            {{"plugin", plugin.wanted.name},
             {"from", plugins::word(before)},
             {"to", plugins::word(now)},
             {"turns", plugin.breaker.openings()},
             {"why", plugin.problem}});
}

// A call was not answered as it should.
void Plugins::struck(Plugin& plugin, const std::string& why) {
  ++plugin.faults;
  ++counters_.plugin_faults;
  plugin.problem = why;
  Breaker::State before = plugin.breaker.state();
  if (!plugin.breaker.add_failure(clock_ms()))
    return;
  tell_state(plugin, before);
  left_out(plugin);
}

// The breaker has opened: its host ends, and what is out there counts as not answered.
void Plugins::left_out(Plugin& plugin) {
  drop(plugin.current);
  for (auto& old : plugin.retiring)
    drop(old);
  plugin.retiring.clear();
  if (!plugin.next)
    watch_restart(plugin);
  give_up(plugin, 0);
}

void Plugins::tick(Plugin& plugin) {
  world_.loop.cancel(plugin.tick);
  plugin.tick = 0;
  if (!plugin.package.manifest.has(Entry::on_tick))
    return;
  plugin.tick = world_.loop.at(world_.loop.now() + plugin.package.manifest.tick, [this, &plugin] {
    if (plugin.current && plugin.breaker.state() == Breaker::State::closed)
      plugin.current->tell(wire::Tick{unix_seconds()});
    tick(plugin);
  });
}

// ---- calls ----

bool Plugins::sees(const Plugin& plugin, int class_index, int tenant, Entry entry) const {
  return plugin.package.manifest.has(entry) && plugin.breaker.state() != Breaker::State::disabled &&
         allowed(plugin.classes, class_index) && allowed(plugin.tenants, tenant);
}

// Zero: it cannot be asked now.
Plugins::CallId Plugins::ask(Plugin& plugin, const wire::ToHost& message, Call call) {
  if (!plugin.current || !plugin.breaker.allows_call() ||
      !plugin.current->ask(last_call_, message)) {
    ++plugin.busy;
    ++counters_.plugin_not_asked;
    return 0;
  }
  ++plugin.asked;
  ++counters_.plugin_asked;
  plugin.breaker.asked();
  call.plugin = &plugin;
  call.made = world_.loop.now();
  call.generation = plugin.current->generation();
  calls_.emplace(last_call_, call);
  return last_call_;
}

std::optional<Plugins::Call> Plugins::close(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return std::nullopt;
  Call call = it->second;
  calls_.erase(it);
  if (call.request) {
    Screening& s = screenings_.at(static_cast<RequestId>(call.of));
    s.calls[call.place] = 0;
    --s.open;
  } else {
    Shaping& s = shapings_.at(call.of);
    s.calls[call.place] = 0;
    --s.open;
  }
  return call;
}

// A call has come back, or will not: when it was the last one of its request or event, that goes
// on.
void Plugins::settled(const Call& call) {
  if (call.plugin)
    let_leave(*call.plugin);
  if (!call.request) {
    auto it = shapings_.find(call.of);
    if (it == shapings_.end() || it->second.open > 0)
      return;
    Shaping shaping = std::move(it->second);
    shapings_.erase(it);
    return shaping.who->on_shaped(call.of, plugins::combine(shaping.said));
  }
  auto id = static_cast<RequestId>(call.of);
  auto it = screenings_.find(id);
  if (it == screenings_.end() || it->second.open > 0)
    return;
  Screening screening = std::move(it->second);
  screenings_.erase(it);
  bool waits = false;
  Decision said = this->said(id, screening, waits);
  if (!waits)
    engine_.on_filter_decision(id, said);
}

std::optional<RequestFilter::Decision> Plugins::decide(RequestId id, const Job& job,
                                                       TimePoint deadline) {
  Screening s;
  wire::Request message;
  for (const auto& plugin : plugins_) {
    if (!sees(*plugin, job.class_index, job.tenant, Entry::on_request))
      continue;
    if (s.said.empty()) {
      message = {.call = 0,
                 .now = unix_seconds(),
                 .remaining_timeout_ms = to_ms(job.client_timeout),
                 .hint_ms = Milliseconds(job.hint).count(),
                 .repeat = job.repeat,
                 .id = cut(job.id),
                 .class_index = name_at(world_.names.classes, job.class_index),
                 .tenant = name_at(world_.names.tenants, job.tenant),
                 .path = cut(job.path),
                 .object = hex(job.key)};
    }
    // A client that waits hardly longer than a plug-in may take is not made to.
    bool time = job.client_timeout > 2 * plugin->wanted.answer_within;
    message.call = ++last_call_;
    CallId call =
        time ? ask(*plugin, message, {.request = true, .of = id, .place = s.said.size()}) : 0;
    s.said.push_back(
        {.has_answered = false, .fallback = plugin->package.manifest.fallback, .verdict = {}});
    s.plugins.push_back(plugin.get());
    s.calls.push_back(call);
    s.open += call != 0;
  }
  if (s.said.empty())
    return Decision{};
  const scheduler::ClassSettings& class_settings =
      world_.classes.at(static_cast<std::size_t>(job.class_index));
  s.subject = {.idempotency = class_settings.idempotency,
               .repeat = job.repeat,
               .remaining_timeout_ms = 0,
               .need_ms = class_settings.latency_objective_ms +
                          class_settings.objective_runtime_factor * Milliseconds(job.hint).count()};
  s.deadline = deadline;
  s.bytes = job.bytes;
  if (s.open > 0)
    return screenings_.emplace(id, std::move(s)), std::nullopt;
  bool waits = false;
  Decision out = said(id, s, waits);
  if (waits)
    return std::nullopt;
  return out;
}

// What comes of a request's verdicts. `waits`: it is held back, and goes on by `release`.
RequestFilter::Decision Plugins::said(RequestId id, Screening& s, bool& waits) {
  TimePoint now = world_.loop.now();
  s.subject.remaining_timeout_ms = to_ms(s.deadline - now);
  plugins::Bounds bounds{.max_hold_ms = draining_ ? 0 : to_ms(settings_.most_hold)};
  plugins::Combined all = plugins::combine(s.said, s.subject, bounds);
  auto plugin = [&](int place) {
    return place >= 0 ? s.plugins[static_cast<std::size_t>(place)] : nullptr;
  };
  Decision out{.is_rejected = all.verdict.refuse,
               .retry_after = from_ms(all.verdict.come_back_ms),
               .queue_weight = all.verdict.queue_weight,
               .label = all.verdict.label};
  if (out.is_rejected) {
    ++counters_.plugin_refused;
    if (Plugin* by = plugin(all.refused_by))
      ++by->refused;
    return out;
  }
  if (all.verdict.hold_ms <= 0)
    return out;
  ++counters_.plugin_held;
  if (Plugin* by = plugin(all.held_by))
    ++by->held;
  waits = true;
  waiting_[id] = std::move(out);
  auto pushed_out = holds_.add(id, s.bytes, clock_ms() + all.verdict.hold_ms);
  counters_.plugin_holds_cut = holds_.pushed_out();
  watch_holds();
  // Not at once: whoever asks may not know the request's number yet.
  if (!pushed_out.empty())
    world_.loop.defer([this, pushed_out] { release(pushed_out); });
  return {};
}

void Plugins::release(const std::vector<RequestId>& ids) {
  for (RequestId id : ids) {
    auto it = waiting_.find(id);
    if (it == waiting_.end())
      continue;
    Decision said = std::move(it->second);
    waiting_.erase(it);
    engine_.on_filter_decision(id, said);
  }
}

void Plugins::watch_holds() {
  world_.loop.cancel(hold_timer_);
  hold_timer_ = 0;
  if (auto next = holds_.next())
    hold_timer_ = world_.loop.at(world_.clock.at(*next), [this] {
      hold_timer_ = 0;
      release(holds_.due(clock_ms()));
      watch_holds();
    });
}

void Plugins::drain() {
  draining_ = true;
  release(holds_.all());
  watch_holds();
}

void Plugins::on_client_disconnected(RequestId id) {
  if (holds_.remove(id))
    watch_holds();
  waiting_.erase(id);
  auto it = screenings_.find(id);
  if (it == screenings_.end())
    return;
  for (std::size_t i = 0; i < it->second.calls.size(); ++i) {
    CallId call = it->second.calls[i];
    Plugin* plugin = it->second.plugins[i];
    if (call == 0 || !plugin)
      continue;
    calls_.erase(call);
    if (plugin->current)
      plugin->current->forget(call);
    for (auto& old : plugin->retiring)
      old->forget(call);
    plugin->breaker.dropped();
  }
  screenings_.erase(it);
}

void Plugins::on_request_ended(const Job& job, Duration elapsed, RequestOutcome how) {
  for (const auto& plugin : plugins_) {
    if (!plugin->current || plugin->breaker.state() != Breaker::State::closed ||
        !sees(*plugin, job.class_index, job.tenant, Entry::on_answer))
      continue;
    bool told = plugin->current->tell(wire::Answer{
        unix_seconds(), to_ms(elapsed), cut(job.id), name_at(world_.names.classes, job.class_index),
        name_at(world_.names.tenants, job.tenant), word(how)});
    counters_.plugin_not_asked += !told;
  }
}

std::uint64_t Plugins::shape(const Event& event, Shaper& who) {
  Shaping s;
  std::uint64_t ticket = last_ticket_ + 1;
  int class_index = Names::place(world_.names.classes, event.class_index);
  for (const auto& plugin : plugins_) {
    if (!sees(*plugin, class_index, event.tenant, Entry::on_progress))
      continue;
    wire::Event message{++last_call_,
                        unix_seconds(),
                        event.share,
                        event.started,
                        event.attempt,
                        cut(event.request),
                        cut(event.class_index),
                        name_at(world_.names.tenants, event.tenant),
                        cut(event.label, plugins::kMostLabel)};
    CallId call = ask(*plugin, message, {.request = false, .of = ticket, .place = s.said.size()});
    plugins::Shape fallback;
    fallback.drop = plugin->package.manifest.fallback == plugins::Fallback::refuse;
    s.said.push_back(fallback);
    s.calls.push_back(call);
    s.open += call != 0;
  }
  if (s.said.empty())
    return 0;
  s.who = &who;
  ++last_ticket_;
  bool waits = s.open > 0;
  shapings_.emplace(ticket, std::move(s));
  if (!waits)
    world_.loop.defer(
        [this, ticket] { settled({.plugin = nullptr, .request = false, .of = ticket}); });
  return ticket;
}

plugins::Shape Plugins::take_back(std::uint64_t ticket) {
  auto it = shapings_.find(ticket);
  if (it == shapings_.end())
    return {};
  plugins::Shape known = plugins::combine(it->second.said);
  for (CallId call : it->second.calls) {
    auto open = calls_.find(call);
    if (call == 0 || open == calls_.end())
      continue;
    Plugin* plugin = open->second.plugin;
    if (plugin->current)
      plugin->current->forget(call);
    for (auto& old : plugin->retiring)
      old->forget(call);
    plugin->breaker.dropped();
    calls_.erase(open);
  }
  shapings_.erase(it);
  return known;
}

// ---- what hosts say ----

void Plugins::on_judged(Host& host, CallId id, plugins::Verdict verdict) {
  auto known = calls_.find(id);
  if (known == calls_.end())
    return;
  if (!known->second.request)
    return on_faulted(host, id, "a verdict on a progress event");
  Call call = *close(id);
  plugins::PluginAnswer& said = screenings_.at(static_cast<RequestId>(call.of)).said[call.place];
  said.has_answered = true;
  said.verdict = std::move(verdict);
  answered(call);
}

void Plugins::on_shaped(Host& host, CallId id, plugins::Shape shape) {
  auto known = calls_.find(id);
  if (known == calls_.end())
    return;
  if (known->second.request)
    return on_faulted(host, id, "a shape for a request");
  Call call = *close(id);
  shapings_.at(call.of).said[call.place] = std::move(shape);
  answered(call);
}

void Plugins::answered(const Call& call) {
  Plugin& plugin = *call.plugin;
  double micros = 1000 * to_ms(world_.loop.now() - call.made);
  ++plugin.answered;
  plugin.micros += micros;
  plugin.most_micros = std::max(plugin.most_micros, micros);
  Breaker::State before = plugin.breaker.state();
  plugin.breaker.add_success(clock_ms());
  tell_state(plugin, before);
  settled(call);
}

void Plugins::on_faulted(Host& host, CallId id, const std::string& why) {
  Plugin* plugin = owner(host);
  if (!plugin)
    return;
  auto call = id == 0 ? std::nullopt : close(id);
  struck(*plugin, why);
  if (call)
    settled(*call);
}

// Its fallback holds. That is no strike: the machine may be busy. A host that stays silent is ended
// by itself.
void Plugins::on_late(Host& host, CallId id) {
  Plugin* plugin = owner(host);
  auto call = close(id);
  ++counters_.plugin_late;
  if (plugin)
    ++plugin->late;
  if (plugin && plugin->breaker.state() == Breaker::State::trial)
    struck(*plugin, "a call of its trial was late");
  if (call)
    settled(*call);
}

void Plugins::on_kept(Host& host, const wire::Kept& entry) {
  Plugin* plugin = owner(host);
  if (!plugin)
    return;
  plugin->table.put(entry, unix_seconds());
  // The generation that is loading is to know it too.
  if (plugin->next && plugin->next.get() != &host)
    plugin->next->tell(entry);
}

void Plugins::on_count(Host& host, const wire::Count& count) {
  constexpr std::size_t kMostCounters = 32;
  Plugin* plugin = owner(host);
  if (!plugin || !(count.by >= 0))
    return;
  if (plugin->counts.contains(count.name) || plugin->counts.size() < kMostCounters)
    plugin->counts[count.name] += count.by;
}

void Plugins::on_line(Host& host, const wire::Line& line) {
  Plugin* plugin = owner(host);
  if (!plugin)
    return;
  counters_.plugin_lines_dropped += line.dropped;
  log::info(Subsystem::plugins, "says",
            {{"plugin", plugin->wanted.name},
             {"text", line.text},
             {"dropped", std::uint64_t{line.dropped}}});
}

// ---- commands ----

std::string Plugins::reload(std::string_view name) {
  if (!name.empty() && !find(name))
    return "no such plug-in";
  std::string problems;
  for (const auto& plugin : plugins_) {
    if (!name.empty() && plugin->wanted.name != name)
      continue;
    if (plugin->breaker.state() == Breaker::State::disabled) {
      if (!name.empty())
        return "it is disabled";
      continue;
    }
    config::Faults faults;
    Package package = plugins::load(settings_.folder + "/" + plugin->wanted.name, plugin->wanted,
                                    "the settings file", faults);
    for (const config::Fault& fault : faults)
      problems += (problems.empty() ? "" : "\n") + fault.text();
    if (faults.empty())
      begin(*plugin, package, true);
    else
      ++counters_.plugin_reloads_failed;
  }
  return problems;
}

std::string Plugins::enable(std::string_view name, bool enabled) {
  Plugin* plugin = find(name);
  if (!plugin)
    return "no such plug-in";
  Breaker::State before = plugin->breaker.state();
  plugin->problem = "by an operator";
  if (!enabled) {
    world_.loop.cancel(plugin->restart);
    plugin->restart = 0;
    plugin->breaker.disable();
    drop(plugin->next);
    tell_state(*plugin, before);
    left_out(*plugin);
    return "";
  }
  plugin->breaker.enable(clock_ms());
  tell_state(*plugin, before);
  if (!plugin->current && !plugin->next) {
    see(*plugin, plugin->package);
    begin(*plugin, plugin->package, false);
  }
  return "";
}

json Plugins::status() const {
  json out = json::array();
  double now = clock_ms();
  for (const auto& p : plugins_) {
    Breaker::State state = p->breaker.state();
    bool waits = state == Breaker::State::open || state == Breaker::State::out;
    out.push_back(
        {{"plugin", p->wanted.name},
         {"version", p->package.manifest.version},
         {"state", plugins::word(state)},
         {"ready", p->current && p->current->ready()},
         {"generation", p->current ? p->current->generation() : 0},
         {"loading", p->next != nullptr},
         {"pid", p->current ? p->current->pid() : 0},
         {"back_s", waits ? std::max(0.0, (p->breaker.until() - now) / 1000) : 0.0},
         {"turns", p->breaker.openings()},
         {"strikes", p->breaker.failures()},
         {"fallback",
          p->package.manifest.fallback == plugins::Fallback::allow ? "allow" : "refuse"},
         {"in_flight", p->current ? p->current->in_flight() : 0},
         {"asked", p->asked},
         {"answered", p->answered},
         {"late", p->late},
         {"not_asked", p->busy},
         {"faults", p->faults},
         {"hosts_ended", p->ends},
         {"refused", p->refused},
         {"held", p->held},
         {"mean_us", p->answered > 0 ? p->micros / static_cast<double>(p->answered) : 0.0},
         {"most_us", p->most_micros},
         {"kept", p->table.count()},
         {"kept_bytes", p->table.bytes()},
         {"counts", p->counts},
         {"problem", p->problem}});
  }
  return out;
}

}  // namespace keelflow
