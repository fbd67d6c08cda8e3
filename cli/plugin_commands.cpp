#include "plugin_commands.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "config/form.h"
#include "plugins/host.h"
#include "plugins/machine.h"

namespace keelflow::cli {
namespace {

using namespace std::chrono_literals;
using config::Faults;
using config::Form;
using config::Node;
using nlohmann::json;
using plugins::Entry;
using plugins::Machine;
using plugins::Package;
using plugins::Shape;
using plugins::Verdict;
namespace wire = plugins::wire;

constexpr int kDone = 0, kRefused = 1, kBadInput = 2;
constexpr double kThen = 1'800'000'000;  // the time that a test begins with, Unix seconds

class Quiet : public plugins::Outside {
 public:
  void kept(const wire::Kept&) override {}
  void count(const wire::Count& c) override { counts[c.name] += c.by; }
  void line(std::string_view) override {}
  std::map<std::string, double> counts;
};

int tell(const Faults& faults) {
  for (const config::Fault& fault : faults)
    std::fprintf(stderr, "%s\n", fault.text().c_str());
  return kBadInput;
}

std::string shown(const Verdict& v) {
  char numbers[96];
  std::snprintf(numbers, sizeof numbers, "come-back %gs, hold %gs, weigh %g", v.come_back_ms / 1000,
                v.hold_ms / 1000, v.queue_weight);
  return (v.refuse ? "refuse, " : "pass, ") + std::string(numbers) +
         (v.label.empty() ? "" : ", label '" + v.label + "'");
}

std::string shown(const Shape& s) {
  char share[32];
  std::snprintf(share, sizeof share, ", share %g", s.share);
  return (s.drop ? std::string("drop") : "pass") + (s.has_share ? share : "") +
         (s.has_label ? ", label '" + s.label + "'" : "");
}

bool same(double a, double b) {
  return std::abs(a - b) <= 1e-6 * std::max(1.0, std::abs(b));
}

// One file of requests, played in its order.
class Play {
 public:
  Play(Machine& machine, const std::string& file, Faults& faults)
      : machine_(machine), file_(file), faults_(faults) {}

  int all(const std::vector<Node>& nodes) {
    for (const Node& node : nodes) {
      if (node.head() == "set")
        continue;
      if (node.head() == "request")
        request(node);
      else if (node.head() == "event")
        event(node);
      else
        faults_.push_back(
            {file_, node.place, node.shown(), "(set ...), (request ...) or (event ...)"});
    }
    if (!faults_.empty())
      return tell(faults_);
    std::printf("%d as expected, %d not\n", fine_, wrong_);
    return wrong_ == 0 ? kDone : kRefused;
  }

 private:
  void at(Form& form, double& now) {
    Duration later{};
    form.span("after", later, 0ms, 24h);
    now_ += to_ms(later) / 1000;
    now = now_;
  }

  void request(const Node& node) {
    Form form(node, 0, file_, faults_);
    wire::Request r;
    r.call = 1;
    Duration patience = 2s, hint = 0ms;
    at(form, r.now);
    form.text("id", r.id), form.text("class", r.class_index), form.text("tenant", r.tenant),
        form.text("path", r.path), form.text("object", r.object);
    form.flag("again", r.repeat);
    form.span("patience", patience, 0ms, 1h), form.span("hint", hint, 0ms, 1h);
    r.remaining_timeout_ms = to_ms(patience), r.hint_ms = to_ms(hint);
    Verdict wanted;
    if (const Node* expect = form.list("expect")) {
      Form inner(*expect, 0, file_, faults_);
      Duration come_back{}, hold{};
      inner.flag("refuse", wanted.refuse), inner.text("label", wanted.label);
      inner.span("come-back", come_back, 0ms, 24h), inner.span("hold", hold, 0ms, 24h);
      inner.number("weigh", wanted.queue_weight, 0, 1e6, "a factor");
      wanted.come_back_ms = to_ms(come_back), wanted.hold_ms = to_ms(hold);
      inner.end();
    }
    form.end();
    if (!faults_.empty())
      return;
    compare(
        node, wanted, [&] { return machine_.on_request(r); },
        [](const Verdict& a, const Verdict& b) {
          return a.refuse == b.refuse && same(a.come_back_ms, b.come_back_ms) &&
                 same(a.hold_ms, b.hold_ms) && same(a.queue_weight, b.queue_weight) &&
                 a.label == b.label;
        });
  }

  void event(const Node& node) {
    Form form(node, 0, file_, faults_);
    wire::Event e;
    std::string type = "progress";
    double attempt = 1;
    at(form, e.now);
    form.text("request", e.request), form.text("class", e.class_index),
        form.text("tenant", e.tenant), form.text("label", e.label);
    form.choice("type", type, {"started", "progress"});
    form.number("share", e.share, 0, 1, "a share"),
        form.number("attempt", attempt, 1, 100, "a number");
    e.started = type == "started", e.attempt = static_cast<int>(attempt);
    Shape wanted;
    if (const Node* expect = form.list("expect")) {
      Form inner(*expect, 0, file_, faults_);
      inner.flag("drop", wanted.drop);
      wanted.has_label = inner.list("label") != nullptr,
      wanted.has_share = inner.list("share") != nullptr;
      inner.text("label", wanted.label), inner.number("share", wanted.share, 0, 1, "a share");
      inner.end();
    }
    form.end();
    if (!faults_.empty())
      return;
    compare(
        node, wanted, [&] { return machine_.on_progress(e); },
        [](const Shape& a, const Shape& b) {
          return a.drop == b.drop && a.has_label == b.has_label && a.has_share == b.has_share &&
                 a.label == b.label && (!a.has_share || same(a.share, b.share));
        });
  }

  void compare(const Node& node, const auto& wanted, const auto& call, const auto& equal) {
    std::string got;
    try {
      auto answer = call();
      if (equal(answer, wanted))
        return void(++fine_);
      got = shown(answer);
    } catch (const plugins::PluginFault& fault) {
      got = std::string("a fault: ") + fault.what();
    }
    ++wrong_;
    std::printf("%s:%d:%d: it says %s; expected %s\n", file_.c_str(), node.place.line,
                node.place.column, got.c_str(), shown(wanted).c_str());
  }

  Machine& machine_;
  const std::string& file_;
  Faults& faults_;
  double now_ = kThen;
  int fine_ = 0, wrong_ = 0;
};

wire::Request sample(std::uint64_t number) {
  return {.call = number,
          .now = kThen,
          .remaining_timeout_ms = 2000,
          .hint_ms = 40,
          .repeat = false,
          .id = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
          .class_index = "hold-copy",
          .tenant = "t0",
          .path = "/hold-copy/x",
          .object = "1f"};
}

// Keeps so many calls out at a host for so long.
class HostBench final : plugins::Host::User {
 public:
  explicit HostBench(const Package& package)
      : package_(package), reaper_(loop_, [](pid_t, const std::string&) {}) {}

  std::string run(std::size_t many, double lasts) {
    many_ = many;
    plugins::Host::Settings settings;
    settings.answer_within = 5s;  // one that is late is not asked any more
    plugins::Host::User& user = *this;
    host_ = std::make_unique<plugins::Host>(loop_, reaper_, user, settings, 1);
    if (!host_->start(package_, {}, kThen))
      return "no host could be started";
    loop_.at(loop_.now() + from_ms(1000 * lasts) + 50ms, [this] { loop_.stop(); });
    loop_.run();
    if (host_)
      host_->stop();
    return problem_;
  }

  std::vector<double> micros;
  double seconds = 0;
  long memory_kb = 0;

 private:
  void on_ready(plugins::Host& host) override {
    begun_ = loop_.now();
    memory_of(host.pid());
    for (std::size_t i = 0; i < many_; ++i)
      ask();
  }
  void ask() {
    ++last_;
    if (host_->ask(last_, sample(last_)))
      made_[last_] = loop_.now();
  }
  void on_judged(plugins::Host& host, plugins::CallId call, Verdict) override {
    TimePoint now = loop_.now();
    micros.push_back(1000 * to_ms(now - made_[call]));
    made_.erase(call);
    seconds = to_ms(now - begun_) / 1000;
    if (micros.size() % 1000 == 0)
      memory_of(host.pid());
    ask();
  }
  void memory_of(pid_t pid) {
    std::string status = read_file("/proc/" + std::to_string(pid) + "/status");
    auto at = status.find("VmRSS:");
    if (at != std::string::npos)
      memory_kb = std::max(memory_kb, std::atol(status.c_str() + at + 6));
  }
  void on_faulted(plugins::Host&, plugins::CallId, const std::string& why) override {
    problem_ = why, loop_.stop();
  }
  void on_ended(plugins::Host&, const std::string& why,
                const std::vector<plugins::CallId>&) override {
    problem_ = why, loop_.stop();
  }
  void on_shaped(plugins::Host&, plugins::CallId, Shape) override {}
  void on_late(plugins::Host&, plugins::CallId) override {}
  void on_kept(plugins::Host&, const wire::Kept&) override {}
  void on_count(plugins::Host&, const wire::Count&) override {}
  void on_line(plugins::Host&, const wire::Line&) override {}

  const Package& package_;
  net::EventLoop loop_;
  plugins::Reaper reaper_;
  std::unique_ptr<plugins::Host> host_;
  std::map<plugins::CallId, TimePoint> made_;
  plugins::CallId last_ = 0;
  std::size_t many_ = 1;
  TimePoint begun_{};
  std::string problem_;
};

}  // namespace

int plugin_check(const std::string& folder, bool as_json) {
  Faults faults;
  Package package = plugins::load(folder, faults);
  if (!faults.empty())
    return tell(faults);
  Quiet quiet;
  try {
    Machine(wire::hello(package, 0), quiet).load(kThen);
  } catch (const plugins::PluginFault& fault) {
    std::fprintf(stderr, "%s: %s\n", folder.c_str(), fault.what());
    return kBadInput;
  }
  const plugins::Manifest& m = package.manifest;
  if (as_json)
    std::printf("%s\n", json{{"plugin", m.name}, {"version", m.version}}.dump().c_str());
  else
    std::printf("%s: good: plug-in %s %s, %zu settings, %g ms and %zu KiB a call\n", folder.c_str(),
                m.name.c_str(), m.version.c_str(), m.settings.size(), to_ms(m.time),
                m.memory / 1024);
  return kDone;
}

int plugin_test(const std::string& folder, const std::string& requests) {
  Faults faults;
  std::string text = read_file(requests);
  std::vector<Node> nodes = config::read_sexps(text, requests, faults);
  plugins::Wanted wanted;
  for (const Node& node : nodes)
    if (node.head() == "set")
      wanted.values.insert(wanted.values.end(), node.items.begin() + 1, node.items.end());
  Package bare = plugins::load(folder, faults);
  wanted.name = bare.manifest.name;
  Package package = faults.empty() ? plugins::load(folder, wanted, requests, faults) : bare;
  if (!faults.empty())
    return tell(faults);
  Quiet quiet;
  try {
    Machine machine(wire::hello(package, 0), quiet);
    machine.load(kThen);
    int code = Play(machine, requests, faults).all(nodes);
    for (const auto& [name, value] : quiet.counts)
      std::printf("counted %s %g\n", name.c_str(), value);
    return code;
  } catch (const plugins::PluginFault& fault) {
    std::fprintf(stderr, "%s: %s\n", folder.c_str(), fault.what());
    return kBadInput;
  }
}

int plugin_bench(const std::string& folder, double seconds, bool as_json) {
  Faults faults;
  Package package = plugins::load(folder, faults);
  if (!faults.empty())
    return tell(faults);
  if (!package.manifest.has(Entry::on_request))
    return std::fprintf(stderr, "%s has no on_request\n", folder.c_str()), kRefused;
  package.manifest.time = std::max(package.manifest.time, Duration(20ms));
  json out;
  try {
    Quiet quiet;
    Machine machine(wire::hello(package, 0), quiet);
    machine.load(kThen);
    wire::Request request = sample(1);
    std::uint64_t calls = 0;
    TimePoint begun = Clock::now();
    for (; Clock::now() - begun < from_ms(1000 * seconds); ++calls)
      machine.on_request(request);
    out["alone"] = {
        {"calls_per_s", static_cast<double>(calls) / (to_ms(Clock::now() - begun) / 1000)}};
  } catch (const plugins::PluginFault& fault) {
    return std::fprintf(stderr, "%s: %s\n", folder.c_str(), fault.what()), kRefused;
  }
  for (std::size_t many : {std::size_t{1}, std::size_t{32}}) {
    HostBench bench(package);
    std::string problem = bench.run(many, seconds);
    if (!problem.empty() || bench.micros.empty())
      return std::fprintf(stderr, "%s: %s\n", folder.c_str(), problem.c_str()), kRefused;
    std::sort(bench.micros.begin(), bench.micros.end());
    auto at = [&](double share) {
      return bench
          .micros[static_cast<std::size_t>(share * static_cast<double>(bench.micros.size() - 1))];
    };
    out[many == 1 ? "host_one_at_a_time" : "host_32_in_flight"] = {
        {"calls_per_s", static_cast<double>(bench.micros.size()) / bench.seconds},
        {"p50_us", at(0.5)},
        {"p99_us", at(0.99)},
        {"memory_kb", bench.memory_kb}};
  }
  if (as_json)
    return std::printf("%s\n", out.dump(2).c_str()), kDone;
  std::printf("%-20s %12.0f calls a second\n", "inside one process",
              out["alone"]["calls_per_s"].get<double>());
  for (const char* way : {"host_one_at_a_time", "host_32_in_flight"})
    std::printf("%-20s %12.0f calls a second, p50 %.0f us, p99 %.0f us, %ld KiB\n", way,
                out[way]["calls_per_s"].get<double>(), out[way]["p50_us"].get<double>(),
                out[way]["p99_us"].get<double>(), out[way]["memory_kb"].get<long>());
  return kDone;
}

}  // namespace keelflow::cli
