// The plug-ins of a node: their hosts, their generations and their breakers, and what they are
// asked. All that is decided about verdicts, holds and breakers is decided in logic/plugins.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/engine.h"
#include "discovery/host_list.h"
#include "plugins/holds.h"
#include "plugins/host.h"
#include "plugins/machine.h"
#include "plugins/manifest.h"
#include "plugins/settings.h"

namespace keelflow {

namespace plugins {

// All plug-ins that the settings name, read and checked. Throws ConfigError with all faults.
std::vector<Package> load_all(const Settings& settings, const std::string& file,
                              const Names& names);

}  // namespace plugins

// Who has asked for a progress event to be shaped.
class Shaper {
 public:
  virtual ~Shaper() = default;
  virtual void on_shaped(std::uint64_t ticket, const plugins::Shape& shape) = 0;
};

class Plugins final : public RequestFilter, plugins::Host::User {
 public:
  struct World {
    net::EventLoop& loop;
    const UnixClock& clock;
    Names names;
    std::vector<scheduler::ClassSettings> classes;
    std::uint64_t seed = 0;
    std::string program = "/proc/self/exe";  // what a host is
  };
  Plugins(World world, Engine& engine, Counters& counters);
  ~Plugins() override;

  // At the start and on SIGHUP: another order, other plug-ins, other values. A plug-in whose folder
  // and values are what they were goes on untouched; of one that has changed the next generation is
  // loaded beside the present one.
  void retune(const Names& names,
              const std::vector<scheduler::ClassSettings>& classes);  // of the platform
  void configure(const plugins::Settings& settings, std::vector<plugins::Package> packages);
  bool on() const { return !plugins_.empty(); }
  // From now on nothing is held back, and what is held goes on: the node is being ended.
  void drain();

  std::optional<Decision> decide(RequestId id, const Job& job, TimePoint deadline) override;
  void on_client_disconnected(RequestId id) override;
  void on_request_ended(const Job& job, Duration elapsed, RequestOutcome how) override;

  struct Event {  // of progress, as it would go out
    std::string_view request, class_index, label;
    int tenant = 0;
    int attempt = 1;
    double share = 0;
    bool started = false;
  };
  // Zero: no plug-in has anything to say of it. Else `who` hears on_shaped for that ticket, once,
  // unless it takes the ticket back, which tells what is known by then.
  std::uint64_t shape(const Event& event, Shaper& who);
  plugins::Shape take_back(std::uint64_t ticket);

  // By an operator. Empty: done; else why not. `name` empty: all.
  std::string reload(std::string_view name);
  std::string enable(std::string_view name, bool enabled);
  bool has(std::string_view name) const { return find(name) != nullptr; }
  nlohmann::json status() const;

 private:
  using Host = plugins::Host;
  using CallId = plugins::CallId;
  struct Plugin {
    Plugin(plugins::Wanted w, plugins::BreakerSettings settings, std::uint64_t seed)
        : wanted(std::move(w)), breaker_settings(settings), breaker(settings, seed) {}
    plugins::Wanted wanted;
    plugins::Package package, next_package;  // of the present generation; of `next` while it loads
    plugins::BreakerSettings breaker_settings;
    plugins::Breaker breaker;
    plugins::KeptTable table;
    std::unique_ptr<Host> current, next;
    std::vector<std::unique_ptr<Host>> retiring;  // with calls out
    std::uint64_t generation = 0;                 // of the newest host
    bool takes_over = false;             // `next` is another package, not the same one again
    std::vector<bool> classes, tenants;  // that it sees; empty: all
    TimerId restart = 0, tick = 0;
    std::map<std::string, double> counts;
    std::uint64_t asked = 0, answered = 0, late = 0, busy = 0, faults = 0, ends = 0, refused = 0,
                  held = 0;
    double micros = 0, most_micros = 0;  // from call to answer
    std::string problem;                 // the last one
  };
  struct Call {
    Plugin* plugin = nullptr;
    bool request = true;    // else a progress event
    std::uint64_t of = 0;   // RequestId or ticket
    std::size_t place = 0;  // in `said`
    TimePoint made = {};
    std::uint64_t generation = 0;  // of the host that has it
  };
  struct Screening {
    std::vector<plugins::PluginAnswer> said;
    std::vector<Plugin*> plugins;
    std::vector<CallId> calls;  // zero: not open
    std::size_t open = 0, bytes = 0;
    plugins::RequestFacts subject;
    TimePoint deadline;
  };
  struct Shaping {
    Shaper* who = nullptr;
    std::vector<plugins::Shape> said;
    std::vector<CallId> calls;
    std::size_t open = 0;
  };

  void on_ready(Host& host) override;
  void on_judged(Host& host, CallId call, plugins::Verdict verdict) override;
  void on_shaped(Host& host, CallId call, plugins::Shape shape) override;
  void on_faulted(Host& host, CallId call, const std::string& why) override;
  void on_late(Host& host, CallId call) override;
  void on_kept(Host& host, const plugins::wire::Kept& entry) override;
  void on_count(Host& host, const plugins::wire::Count& count) override;
  void on_line(Host& host, const plugins::wire::Line& line) override;
  void on_ended(Host& host, const std::string& why, const std::vector<CallId>& open) override;

  double unix_seconds() const { return clock_ms() / 1000; }
  double clock_ms() const { return world_.clock.unix_ms(world_.loop.now()); }
  Plugin* find(std::string_view name) const;
  Plugin* owner(const Host& host) const;
  bool sees(const Plugin& plugin, int class_index, int tenant, plugins::Entry entry) const;
  CallId ask(Plugin& plugin, const plugins::wire::ToHost& message, Call call);
  std::optional<Call> close(CallId call);
  void settled(const Call& call);
  void answered(const Call& call);
  Decision said(RequestId id, Screening& screening, bool& waits);
  void release(const std::vector<RequestId>& ids);
  void watch_holds();

  void begin(Plugin& plugin, const plugins::Package& package, bool takes_over);
  void retire(Plugin& plugin, std::unique_ptr<Host> host);
  void let_leave(Plugin& plugin);
  void drop(std::unique_ptr<Host>& host);
  void abandon(Plugin& plugin);
  void struck(Plugin& plugin, const std::string& why);
  void left_out(Plugin& plugin);
  void give_up(Plugin& plugin,
               std::uint64_t generation);  // the calls there; zero: of all generations
  void watch_restart(Plugin& plugin);
  void tick(Plugin& plugin);
  void see(Plugin& plugin, const plugins::Package& package);
  void tell_state(const Plugin& plugin, plugins::Breaker::State before);

  World world_;
  Engine& engine_;
  Counters& counters_;
  plugins::Settings settings_;
  plugins::Reaper reaper_;
  std::vector<std::unique_ptr<Plugin>> plugins_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<RequestId, Screening> screenings_;
  std::unordered_map<std::uint64_t, Shaping> shapings_;
  std::unordered_map<RequestId, Decision> waiting_;  // of those held back
  plugins::Holds holds_;
  TimerId hold_timer_ = 0;
  CallId last_call_ = 0;
  std::uint64_t last_ticket_ = 0;
  bool draining_ = false;
};

}  // namespace keelflow
