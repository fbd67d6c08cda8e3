#include "soak.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <pcg_random.hpp>
#include <random>
#include <vector>

namespace keelflow::lab {
namespace {

constexpr double kWarmUp = 1.5, kLeaveForEnd = 8;  // seconds without faults at both ends
constexpr int kFewestFaults = 8, kMoreFaults = 10;
constexpr int kMostConfigured = 900;
const std::vector<std::string> kGroups = {"a", "b", "c"};

class Draw {
 public:
  Draw(std::uint64_t seed, const SoakOptions& options)
      : options_(options), random_(seed, 11), answers_random_(seed, 12) {}

  SoakDraw make() {
    head();
    int faults = kFewestFaults + below(kMoreFaults);
    double last = options_.seconds - kLeaveForEnd;
    // A long quiet time before the faults, in some runs.
    double first = chance(0.25) ? last / 2 : kWarmUp;
    drain(uniform(first, last));  // a run without a drain proves nothing
    for (int i = 0; i < faults; ++i)
      fault(uniform(first, last));
    out_.text += "  (expect rules = 0)\n  (expect bad-ends = 0)\n  (expect violations = 0))\n";
    return std::move(out_);
  }

 private:
  int below(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }
  double uniform(double from, double to) {
    return from + (to - from) * std::uniform_real_distribution<double>()(random_);
  }
  bool chance(double p) { return uniform(0, 1) < p; }
  template <typename T>
  const T& one_of(const std::vector<T>& all) {
    return all[static_cast<std::size_t>(below(static_cast<int>(all.size())))];
  }
  std::string node() { return "n" + std::to_string(below(options_.processes)); }
  std::string nodes() { return chance(0.4) ? "all" : node(); }

  void line(const char* format, auto... values) {
    char text[256];
    std::snprintf(text, sizeof text, format, values...);
    out_.text += text;
  }
  void at(double when, const std::string& what) { line("  (at %.3fs %s)\n", when, what.c_str()); }

  void head() {
    int configured =
        chance(0.3) ? options_.processes : std::max(options_.processes, below(kMostConfigured + 1));
    pushed_ = chance(0.35);
    line("(experiment soak\n  (lists %s) (configured %d) (ask-within %s)\n",
         pushed_ ? "push" : "ask", configured, chance(0.3) ? "8s" : "30s");
    line("  (nodes %d) (load %d) (lasts %ds) (rude %.2f) (quitters %.2f)\n", options_.processes,
         10 * options_.processes, options_.seconds, chance(0.5) ? 0.2 : 0.0,
         chance(0.5) ? 0.1 : 0.0);
    if (chance(0.5)) {
      out_.kinds.insert("syscalls");
      line("  (failing-calls %.4f) (short-calls %.4f)\n", uniform(0.0005, 0.01),
           uniform(0.001, 0.05));
    }
    // From a stream of its own, so that seeds noted before still draw the same faults.
    if (std::bernoulli_distribution(0.5)(answers_random_)) {
      out_.kinds.insert("cut-answers");
      line("  (cut-answers %.3f)\n",
           std::uniform_real_distribution<double>(0.01, 0.3)(answers_random_));
    }
    bool short_deadlines = chance(0.4);
    line(
        "  (class price-check (effect safe) (target 400ms) (stretch 2) (run 20ms) (patience %s))\n",
        short_deadlines ? "600ms" : "4s");
    line("  (class hold-copy (effect keyed) (window %s) (target 300ms) (run 30ms) (patience %s))\n",
         chance(0.5) ? "1s" : "10s", short_deadlines ? "800ms" : "5s");
    line(
        "  (class close-sale (effect unsafe) (target 500ms) (run 40ms) (share 0.5) (patience "
        "%s))\n",
        short_deadlines ? "1s" : "8s");
    for (const std::string& group : kGroups)
      line("  (boxes %s (site site-%s) (count %d) (cores 4))\n", group.c_str(), group.c_str(),
           4 + below(5));
  }

  void drain(double when) {
    out_.drains = true;
    const std::string& group = one_of(kGroups);
    bool removed = chance(0.4);
    char what[64];
    std::snprintf(what, sizeof what, removed ? "(remove %s %.2f)" : "(drain %s %.2f)",
                  group.c_str(), uniform(0.2, 0.6));
    at(when, what);
    if (!removed && chance(0.5))
      at(when + uniform(4, 10), "(ready " + group + ")");
    out_.kinds.insert(removed ? "remove" : "drain");
  }

  void fault(double when) {
    switch (below(10)) {
      case 0:
        return drain(when);
      case 1:
        return discovery_down(when);
      case 2:
      case 3:
        return calls(when);
      case 4:
        return watches(when);
      case 5:
        return kill(when);
      case 6:
        return stall(when);
      case 7:
        return reload(when);
      case 8:
        return clock(when);
      default:
        return crash(when);
    }
  }

  void discovery_down(double when) {
    out_.kinds.insert("discovery-down");
    at(when, "(discovery down)");
    at(when + (chance(0.3) ? uniform(8, 14) : uniform(0.5, 5)), "(discovery up)");
    if (chance(0.7))
      drain(when + uniform(0, 6));
  }

  void calls(double when) {
    static const std::vector<std::string> faults = {"refused", "endless", "reset", "silent",
                                                    "head",    "half",    "cut",   "slow"};
    out_.kinds.insert("calls");
    int affected = 1 + below(options_.processes);
    for (int i = 0; i < affected; ++i) {
      std::string what = "(calls " + node();
      for (int k = 1 + below(5); k > 0; --k)
        what += " " + one_of(faults);
      at(when, what + ")");
    }
    watches(when + 0.01);
  }

  void watches(double when) {
    bool silent = chance(0.5);
    out_.kinds.insert(silent ? "silence" : "unwatch");
    at(when, (silent ? "(silence " : "(unwatch ") + nodes() + ")");
    if (chance(0.6))
      drain(when + uniform(0, 4));
  }

  void kill(double when) {
    out_.kinds.insert("kill");
    int count = 1 + below(std::max(1, options_.processes / 3));
    double back = when + uniform(0.2, 9);
    for (int i = 0; i < count; ++i) {
      std::string victim = node();
      if (!killed_.insert(victim).second)
        continue;
      at(when, "(kill " + victim + ")");
      at(back, "(start " + victim + ")");
    }
    if (chance(0.7))
      drain(uniform(when, back));
  }

  void stall(double when) {
    out_.kinds.insert("stall");
    static const std::vector<std::string> spans = {"150ms", "150ms", "900ms", "3s", "7s"};
    std::string victim = node();
    if (killed_.contains(victim) || !stalled_.insert(victim).second)
      return;
    at(when, "(stall " + victim + " " + one_of(spans) + ")");
    if (chance(0.6))
      drain(when + uniform(0, 2));
  }

  void reload(double when) {
    out_.kinds.insert("reload");
    std::string victim = node();
    int times = 1 + below(4);
    for (int i = 0; i < times; ++i)
      at(when + 0.1 * i, "(hup " + victim + ")");
  }

  void clock(double when) {
    out_.kinds.insert("clock");
    static const std::vector<std::string> steps = {"-3600", "-5", "5", "3600"};
    at(when, "(clock " + nodes() + " " + one_of(steps) + ")");
  }

  void crash(double when) {
    out_.kinds.insert("crash");
    const std::string& group = one_of(kGroups);
    char what[64];
    std::snprintf(what, sizeof what, "(crash %s %.2f)", group.c_str(), uniform(0.1, 0.4));
    at(when, what);
    at(when + uniform(2, 8), "(revive " + group + ")");
  }

  SoakOptions options_;
  pcg32 random_, answers_random_;
  SoakDraw out_;
  std::set<std::string> killed_, stalled_;
  bool pushed_ = false;
};

}  // namespace

SoakDraw draw_soak(std::uint64_t seed, const SoakOptions& options) {
  return Draw(seed, options).make();
}

}  // namespace keelflow::lab
