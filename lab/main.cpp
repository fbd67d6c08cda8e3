// keelflow_lab: experiments with stand-in boxes, clients and discovery round real nodes.
// Exit codes: 0 all expectations held, 1 some did not, 2 bad input.
#include <fcntl.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "config/config.h"
#include "demo.h"
#include "run.h"
#include "soak.h"

namespace keelflow::lab {
namespace {

using nlohmann::json;

struct Task {
  Variant variant;
  std::uint64_t seed = 1;
  Outcome outcome;
  std::string fault;
  bool over = false;
};

struct Child {
  pid_t pid = -1;
  int fd = -1;
  std::size_t task = 0;
  std::string text;
};

// Each run is a process of its own: a fault in one does not take the others along.
Child begin(const std::string& text, const std::string& file, Task& task, std::size_t number,
            RunSettings settings) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0)  // a node that outlives its run must not keep the result open
    throw std::runtime_error("no pipe");
  pid_t pid = fork();
  if (pid == 0) {
    ::close(ends[0]);
    std::string out;
    try {
      settings.seed = task.seed;
      out = to_json(run(read_plan(text, file, task.variant), settings)).dump();
    } catch (const std::exception& fault) {
      out = json{{"fault", fault.what()}}.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    for (std::size_t at = 0; at < out.size();) {
      ssize_t done = ::write(ends[1], out.data() + at, out.size() - at);
      if (done <= 0)
        break;
      at += static_cast<std::size_t>(done);
    }
    _exit(0);
  }
  ::close(ends[1]);
  return {pid, ends[0], number, {}};
}

void finish(Child& child, Task& task) {
  ::close(child.fd);
  int status = 0;
  waitpid(child.pid, &status, 0);
  json result = json::parse(child.text, nullptr, false);
  if (!result.is_object())
    task.fault = "the run ended without a result, " +
                 std::string(WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                                 : "of its own");
  else if (result.contains("fault"))
    task.fault = result["fault"].get<std::string>();
  else
    task.outcome = from_json(result);
  task.over = true;
}

void run_all(const std::string& text, const std::string& file, std::vector<Task>& tasks,
             const RunSettings& settings, std::size_t jobs) {
  std::vector<Child> children;
  std::size_t next = 0, over = 0;
  while (over < tasks.size()) {
    for (; next < tasks.size() && children.size() < jobs; ++next)
      children.push_back(begin(text, file, tasks[next], next, settings));
    std::vector<pollfd> ready;
    for (const Child& child : children)
      ready.push_back({child.fd, POLLIN, 0});
    poll(ready.data(), ready.size(), -1);
    for (std::size_t i = children.size(); i-- > 0;) {
      if (ready[i].revents == 0)
        continue;
      char piece[64 * 1024];
      ssize_t got = ::read(children[i].fd, piece, sizeof piece);
      if (got > 0) {
        children[i].text.append(piece, static_cast<std::size_t>(got));
        continue;
      }
      finish(children[i], tasks[children[i].task]);
      children.erase(children.begin() + static_cast<std::ptrdiff_t>(i));
      ++over;
      if (isatty(2))
        std::fprintf(stderr, "\r%zu of %zu runs", over, tasks.size());
    }
  }
  if (isatty(2))
    std::fprintf(stderr, "\n");
}

double middle(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

bool report(const std::vector<Task>& tasks) {
  const char* shown[] = {"jobs",   "in-time",          "rules",         "refused", "failed",
                         "p50-ms", "p99-ms",           "undone",        "done",    "undo-step",
                         "undo-s", "moved-worth-lost", "cpu-us-per-try"};
  bool all = true;
  std::vector<std::string> names;
  for (const Task& task : tasks)
    if (std::find(names.begin(), names.end(), task.variant.name) == names.end())
      names.push_back(task.variant.name);
  for (const std::string& name : names) {
    std::size_t runs = 0, good = 0;
    for (const Task& task : tasks)
      if (task.variant.name == name)
        ++runs, good += task.fault.empty() && task.outcome.good();
    std::printf("%s%s%zu of %zu runs as expected\n", name.c_str(), name.empty() ? "" : ": ", good,
                runs);
    std::printf("  %-18s %10s %10s %10s\n", "", "median", "least", "most");
    for (const char* metric : shown) {
      std::vector<double> values;
      for (const Task& task : tasks)
        if (task.variant.name == name && task.outcome.metrics.contains(metric))
          values.push_back(task.outcome.metrics.at(metric));
      std::printf("  %-18s %10.4g %10.4g %10.4g\n", metric, middle(values, 0.5), middle(values, 0),
                  middle(values, 1));
    }
    for (const Task& task : tasks) {
      if (task.variant.name != name || (task.fault.empty() && task.outcome.good()))
        continue;
      all = false;
      std::printf("  seed %llu:", static_cast<unsigned long long>(task.seed));
      if (!task.fault.empty())
        std::printf(" %s", task.fault.c_str());
      for (const std::string& text : task.outcome.missed)
        std::printf(" %s;", text.c_str());
      std::printf("\n");
      for (const std::string& text : task.outcome.breaches)
        std::printf("    %s\n", text.c_str());
    }
  }
  return all;
}

struct Options {
  std::string file, program, seeds = "1", out;
  std::size_t jobs = 1;
  bool keep = false;
};

std::vector<std::uint64_t> seeds_of(const std::string& text) {
  auto dots = text.find("..");
  std::uint64_t first = std::stoull(text.substr(0, dots)),
                last = dots == text.npos ? first : std::stoull(text.substr(dots + 2));
  if (last < first || last - first > 100'000)
    throw ConfigError("--seeds wants N or A..B");
  std::vector<std::uint64_t> out;
  for (std::uint64_t s = first; s <= last; ++s)
    out.push_back(s);
  return out;
}

int run_file(const Options& options) {
  std::string text = read_file(options.file);
  std::vector<Task> tasks;
  for (const Variant& variant : variants(text, options.file)) {
    read_plan(text, options.file, variant);  // its faults, before anything is started
    for (std::uint64_t seed : seeds_of(options.seeds))
      tasks.push_back({.variant = variant, .seed = seed, .outcome = {}, .fault = {}});
  }
  run_all(text, options.file, tasks,
          {.program = options.program, .seed = 1, .live = false, .keep = options.keep},
          options.jobs);
  if (!options.out.empty()) {
    json all = json::array();
    for (const Task& task : tasks) {
      json one = to_json(task.outcome);
      one.update({{"variant", task.variant.name}, {"seed", task.seed}, {"fault", task.fault}});
      all.push_back(std::move(one));
    }
    std::ofstream(options.out) << all.dump(1) << "\n";
  }
  return report(tasks) ? 0 : 1;
}

struct SoakSettings {
  SoakOptions draw;
  std::uint64_t seed = 1, runs = 1;
  bool replay = false;
};

// Why a run proves nothing; empty: it does.
std::string unproved(const SoakDraw& drawn, const Outcome& outcome) {
  if (!drawn.drains || outcome.metrics.at("endpoints-not-ready") < 1)
    return "no endpoint drained";
  if (drawn.kinds.contains("syscalls") &&
      outcome.metrics.at("calls-failed") + outcome.metrics.at("calls-shortened") < 1)
    return "no system call failed";
  return "";
}

int soak(const Options& options, const SoakSettings& settings) {
  std::size_t passed = 0, failed = 0;
  json all = json::array();
  for (std::uint64_t seed = settings.seed; seed < settings.seed + settings.runs; ++seed) {
    SoakDraw drawn = draw_soak(seed, settings.draw);
    if (settings.replay)
      std::printf("%s", drawn.text.c_str());
    std::vector<Task> tasks = {{.variant = {}, .seed = seed, .outcome = {}, .fault = {}}};
    run_all(drawn.text, "soak", tasks,
            {.program = options.program,
             .seed = seed,
             .live = false,
             .keep = settings.replay || options.keep},
            1);
    Outcome& outcome = tasks[0].outcome;
    if (tasks[0].fault.empty())
      tasks[0].fault = unproved(drawn, outcome);
    bool good = tasks[0].fault.empty() && outcome.good();
    ++(good ? passed : failed);
    std::string kinds;
    for (const std::string& kind : drawn.kinds)
      kinds += " " + kind;
    std::printf("seed %llu: %s; drawn:%s\n", static_cast<unsigned long long>(seed),
                good ? "held" : "failed", kinds.c_str());
    if (!tasks[0].fault.empty())
      std::printf("  %s\n", tasks[0].fault.c_str());
    for (const std::string& text : outcome.missed)
      std::printf("  %s\n", text.c_str());
    for (const std::string& text : outcome.breaches)
      std::printf("    %s\n", text.c_str());
    std::fflush(stdout);
    json one = to_json(outcome);
    one.update({{"seed", seed},
                {"fault", tasks[0].fault},
                {"drawn", drawn.kinds},
                {"experiment", drawn.text}});
    all.push_back(std::move(one));
  }
  if (!options.out.empty())
    std::ofstream(options.out) << all.dump(1) << "\n";
  std::printf("%zu passed, %zu failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}

int demo(const Options& options) {
  std::printf(
      "two nodes, two pools of four boxes, one move; the new boxes are as good as the old\n");
  Outcome outcome =
      run(read_plan(kDemo, "demo", {}),
          {.program = options.program, .seed = 1, .live = true, .keep = options.keep});
  auto& m = outcome.metrics;
  std::printf(
      "%.0f jobs, %.1f %% of their worth in time, half answered within %.0f ms; %.0f rules broken; "
      "the move is done at %.0f of 2 nodes\n",
      m["jobs"], 100 * m["in-time"], m["p50-ms"], m["rules"], m["done"]);
  for (const std::string& text : outcome.missed)
    std::printf("not as expected: %s\n", text.c_str());
  return outcome.good() ? 0 : 1;
}

int main_of(int argc, char** argv) {
  Options options;
  options.program =
      (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "keelflow").string();
  CLI::App app{"keelflow_lab: stand-in boxes, clients and discovery round real nodes."};
  app.footer(
      "Example: keelflow_lab run lab/experiments/move-slow-pool.sexp --seeds 1..20 --jobs 8\n"
      "Exit codes: 0 all expectations held, 1 some did not, 2 bad input.");
  app.require_subcommand(1);
  CLI::App* sub =
      app.add_subcommand("demo", "two nodes, two pools, fifteen seconds of traffic with one move");
  sub->add_option("--program", options.program, "the node to start")->capture_default_str();
  CLI::App* all = app.add_subcommand("run", "play an experiment");
  all->add_option("FILE", options.file, "the experiment")->required()->check(CLI::ExistingFile);
  all->add_option("--seeds,--seed", options.seeds, "N or A..B")->capture_default_str();
  all->add_option("--jobs", options.jobs, "runs at the same time")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  all->add_option("--json", options.out, "keep all figures in this file");
  all->add_option("--program", options.program, "the node to start")->capture_default_str();
  all->add_flag("--keep", options.keep, "keep the nodes' folders");
  SoakSettings soak_settings;
  std::uint64_t replay = 0;
  CLI::App* random = app.add_subcommand(
      "soak", "random faults that overlap, drawn from a seed, judged by the rules");
  random->add_option("--seed", soak_settings.seed, "of the first run; the others follow")
      ->capture_default_str();
  random->add_option("--runs", soak_settings.runs, "how many")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  random->add_option("--processes", soak_settings.draw.processes, "real ones")
      ->check(CLI::Range(2, 40))
      ->capture_default_str();
  random->add_option("--seconds", soak_settings.draw.seconds, "of each run")
      ->check(CLI::Range(15, 3600))
      ->capture_default_str();
  CLI::Option* again = random->add_option(
      "--replay", replay, "the same draws again; the nodes' folders with their logs are kept");
  random->add_option("--json", options.out, "keep all figures in this file");
  random->add_option("--program", options.program, "the node to start")->capture_default_str();
  random->add_flag("--keep", options.keep, "keep the nodes' folders");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : 2;
  }
  if (again->count() > 0)
    soak_settings.seed = replay, soak_settings.runs = 1, soak_settings.replay = true;
  if (random->parsed())
    return soak(options, soak_settings);
  return sub->parsed() ? demo(options) : run_file(options);
}

}  // namespace
}  // namespace keelflow::lab

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return keelflow::lab::main_of(argc, argv);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "keelflow_lab: %s\n", fault.what());
    return 2;
  }
}
