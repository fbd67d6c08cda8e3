// keelflow: serves, and talks to a node that serves. Exit codes: 0 done, 1 refused or not found, 2
// bad input.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>
#include <tuple>

#include "client.h"
#include "config/own_config.h"
#include "node.h"
#include "plugin_commands.h"
#include "plugins/host_main.h"
#include "plugins/plugins.h"
#include "routes/router.h"

namespace keelflow::cli {
namespace {

using nlohmann::json;

constexpr int kDone = 0, kRefused = 1, kBadInput = 2;
constexpr const char* kExitCodes = "Exit codes: 0 done, 1 refused or not found, 2 bad input.";

struct Options {
  std::string file = NodeFiles{}.own, platform, socket, move, plugin, folder, requests;
  bool json = false, watch = false;
  double every = 1, seconds = 1;
};

std::string platform_file(const Options& options) {
  const char* path = std::getenv("EDGE_CONFIG");
  return !options.platform.empty() ? options.platform : path ? path : "";
}

int check(const Options& options) {
  try {
    config::Own own = config::read_own(options.file, false);
    if (std::string platform = platform_file(options); !platform.empty()) {
      const Names n = read_config(platform).names;
      plugins::load_all(own.plugins, options.file, n);
      std::string all;
      for (const std::string& text :
           routes::unknown_names(own.routes, {n.classes, n.tenants, n.zones, n.kinds}))
        all += text + "\n";
      if (!all.empty())
        return std::fputs(all.c_str(), stderr), kBadInput;
    }
    std::printf("%s: good: %zu pools, %zu routes, %zu moves, %zu plug-ins\n", options.file.c_str(),
                own.routes.pools.size(), own.routes.routes.size(), own.moves.size(),
                own.plugins.plugins.size());
    return kDone;
  } catch (const ConfigError& fault) {
    std::fprintf(stderr, "%s\n", fault.what());
    return kBadInput;
  }
}

// The socket that was named, or the one in the file.
std::string socket_of(const Options& options) {
  if (!options.socket.empty())
    return options.socket;
  std::string socket = config::read_own(options.file, true).admin.socket;
  if (socket.empty())
    throw ConfigError("no admin socket: name one by --socket, or set (admin (socket \"...\")) in " +
                      options.file);
  return socket;
}

// Calls, and hands a good answer over. Anything else is told on standard error.
int ask(const Options& options, std::string_view method, const std::string& target,
        const std::function<void(const json&)>& show) {
  Reply reply = call(socket_of(options), method, target);
  if (reply.status == 0)
    return std::fprintf(stderr, "keelflow: %s\n", reply.fault.c_str()), kRefused;
  json body = json::parse(reply.body, nullptr, false);
  if (reply.status != 200) {
    std::string why = body.is_object() ? body.value("error", "") : "";
    return std::fprintf(stderr, "keelflow: %s\n", why.empty() ? "refused" : why.c_str()), kRefused;
  }
  if (options.json)
    std::printf("%s\n", body.dump(2).c_str());
  else
    show(body);
  std::fflush(stdout);
  return kDone;
}

void print_moves(const json& moves) {
  std::printf("%-16s %-9s %6s %7s %8s %8s %8s %8s  %s\n", "move", "state", "step", "share",
              "in-time", "control", "answers", "for", "");
  for (const json& m : moves) {
    const json& e = m["measure"];
    std::string note = m["reason"].get<std::string>().empty() ? m["waits"].get<std::string>()
                                                              : m["reason"].get<std::string>();
    char step[16];
    std::snprintf(step, sizeof step, "%d/%d", m["step"].get<int>(), m["steps"].get<int>());
    std::printf("%-16s %-9s %6s %6.1f%% %7.1f%% %7.1f%% %8d %7.0fs  %s\n",
                m["move"].get<std::string>().c_str(), m["state"].get<std::string>().c_str(), step,
                100 * m["share"].get<double>(), 100 * e["to_in_time"].get<double>(),
                100 * e["from_in_time"].get<double>(), e["to_answers"].get<int>(),
                m["step_s"].get<double>(), note.c_str());
  }
}

void print_plugins(const json& plugins) {
  std::printf("%-18s %-8s %-9s %4s %8s %9s %7s %7s %7s %8s %8s  %s\n", "plug-in", "version",
              "state", "gen", "pid", "asked", "late", "faults", "refused", "held", "mean us", "");
  for (const json& p : plugins) {
    std::string state = p["state"].get<std::string>(), note = p["problem"].get<std::string>();
    if (state == "closed" && !p["ready"].get<bool>())
      state = "loading";
    if (double back = p["back_s"].get<double>(); back > 0)
      note = "back in " + std::to_string(static_cast<int>(back + 0.5)) + " s: " + note;
    std::printf("%-18s %-8s %-9s %4lld %8d %9lld %7lld %7lld %7lld %8lld %8.0f  %s\n",
                p["plugin"].get<std::string>().c_str(), p["version"].get<std::string>().c_str(),
                state.c_str(), p["generation"].get<long long>(), p["pid"].get<int>(),
                p["asked"].get<long long>(), p["late"].get<long long>(),
                p["faults"].get<long long>(), p["refused"].get<long long>(),
                p["held"].get<long long>(), p["mean_us"].get<double>(), note.c_str());
    for (const auto& [name, value] : p["counts"].items())
      std::printf("    %-22s %g\n", name.c_str(), value.get<double>());
  }
}

void print_status(const json& s) {
  std::printf("%s %s at %s%s, %d requests open, %d attempts out\n",
              s["name"].get<std::string>().c_str(), s["version"].get<std::string>().c_str(),
              s["address"].get<std::string>().c_str(),
              s["draining"].get<bool>() ? ", draining" : "", s["open_requests"].get<int>(),
              s["open_attempts"].get<int>());
  if (!s["pools"].empty()) {
    std::printf("\n%-16s %6s %5s %9s %6s %9s %9s %8s %8s %8s\n", "pool", "ready", "warm",
                "draining", "held", "chosen", "served", "refused", "failed", "in-time");
    for (const json& p : s["pools"]) {
      double asked = p["worth_asked"].get<double>();
      std::printf("%-16s %6d %5d %9d %6d %9lld %9lld %8lld %8lld %7.1f%%%s\n",
                  p["pool"].get<std::string>().c_str(), p["ready"].get<int>(), p["warm"].get<int>(),
                  p["draining"].get<int>(), p["held"].get<int>(), p["chosen"].get<long long>(),
                  p["served"].get<long long>(), p["refused"].get<long long>(),
                  p["failed"].get<long long>(),
                  asked > 0 ? 100 * p["worth_in_time"].get<double>() / asked : 0.0,
                  p["live"].get<bool>() ? "" : "  (no more)");
    }
    std::printf("\n");
    for (const json& r : s["routes"]) {
      std::printf("route %-10s", r["route"].get<std::string>().c_str());
      for (const auto& [pool, weight] : r["to"].items())
        std::printf("  %s %.1f%%", pool.c_str(), 100 * weight.get<double>());
      std::printf("\n");
    }
  }
  if (!s["moves"].empty())
    std::printf("\n"), print_moves(s["moves"]);
  if (!s["plugins"].empty())
    std::printf("\n"), print_plugins(s["plugins"]);
  std::printf("\n");
  int column = 0;
  for (const auto& [name, value] : s["counters"].items())
    if (value.get<std::uint64_t>() > 0)
      std::printf("%-24s %10llu%s", name.c_str(), value.get<unsigned long long>(),
                  ++column % 3 == 0 ? "\n" : "   ");
  std::printf("%s", column % 3 == 0 ? "" : "\n");
}

int move_status(const Options& options) {
  for (;;) {
    int code = ask(options, "GET", "/moves", [&](const json& body) {
      json wanted = json::array();
      for (const json& m : body["moves"])
        if (options.move.empty() || m["move"] == options.move)
          wanted.push_back(m);
      print_moves(wanted);
    });
    if (!options.watch || code != kDone)
      return code;
    std::this_thread::sleep_for(std::chrono::duration<double>(options.every));
  }
}

int move_command(const Options& options, const std::string& verb) {
  return ask(options, "POST", "/moves/" + options.move + "/" + verb,
             [&](const json&) { std::printf("%s: %s\n", options.move.c_str(), verb.c_str()); });
}

void print_members(const json& fleet) {
  const json& m = fleet["membership"];
  if (!m.is_object())
    return void(std::printf("membership is off: of %d nodes none is known to live or not\n",
                            fleet["nodes"].get<int>()));
  std::printf("%d of %d nodes live, as n%d has it (its doubt of itself: %d of 8)\n",
              m["living"].get<int>(), fleet["nodes"].get<int>(), fleet["self"].get<int>(),
              m["doubt"].get<int>());
  std::printf("%-7s %-8s %11s %9s %9s  %s\n", "member", "life", "incarnation", "for", "heard",
              "accused by");
  auto seconds = [](const json& s) {
    return s.is_number() ? std::to_string(static_cast<long long>(s.get<double>())) + "s"
                         : std::string("-");
  };
  for (const json& one : m["members"]) {
    std::string accusers;
    for (const json& a : one["accusers"])
      accusers += " n" + std::to_string(a.get<int>());
    std::printf("n%-6d %-8s %11u %9s %9s %s\n", one["member"].get<int>(),
                one["life"].get<std::string>().c_str(), one["incarnation"].get<unsigned>(),
                seconds(one["since_s"]).c_str(), seconds(one["heard_s"]).c_str(), accusers.c_str());
  }
}

void print_homes(const json& fleet) {
  std::printf("%-24s %4s %5s  %s\n", "executor", "pool", "own", "others at home");
  for (const json& one : fleet["homes"]) {
    std::string others;
    for (const json& o : one["others"])
      others += " n" + std::to_string(o.get<int>());
    std::printf("%-24s %4d %5s %s\n", one["executor"].get<std::string>().c_str(),
                one["pool"].get<int>(), one["own"].get<bool>() ? "yes" : "-", others.c_str());
  }
}

void print_turns(const json& fleet) {
  const json& t = fleet["turns"];
  auto count = [&](const char* name) {
    return t[name].get<unsigned long long>();
  };
  std::printf(
      "grants are %s: asked %llu, got %llu, too late %llu; granted %llu, denied %llu, came back "
      "%llu\n",
      t["on"].get<bool>() ? "on" : "off", count("asked"), count("got"), count("late"),
      count("granted"), count("denied"), count("came_back"));
  std::printf("%-24s %4s %6s %6s %9s %9s %5s %9s\n", "cold executor", "pool", "age", "share",
              "left", "held", "of", "granted");
  for (const json& one : t["executors"])
    std::printf("%-24s %4d %5.0fs %6.3f %7.0fms %7.0fms %5s %7.0fms\n",
                one["executor"].get<std::string>().c_str(), one["pool"].get<int>(),
                one["age_s"].get<double>(), one["share"].get<double>(),
                one["left_ms"].get<double>(), one["held_ms"].get<double>(),
                one["held_of"].is_number()
                    ? ("n" + std::to_string(one["held_of"].get<int>())).c_str()
                    : "-",
                one["granted_ms"].get<double>());
}

int fleet_page(const Options& options, void (*show)(const json&)) {
  for (;;) {
    int code = ask(options, "GET", "/fleet", show);
    if (!options.watch || code != kDone)
      return code;
    std::this_thread::sleep_for(std::chrono::duration<double>(options.every));
  }
}

int plugin_command(const Options& options, const std::string& verb) {
  std::string target = "/plugins/" + (options.plugin.empty() ? "" : options.plugin + "/") + verb;
  return ask(options, "POST", target, [&](const json&) {
    std::printf("%s: %s\n", options.plugin.empty() ? "all" : options.plugin.c_str(), verb.c_str());
  });
}

int version(const Options& options) {
  if (options.json)
    std::printf("%s\n", json{{"version", KEELFLOW_VERSION}}.dump().c_str());
  else
    std::printf("keelflow %s\n", KEELFLOW_VERSION);
  return kDone;
}

void add_socket(CLI::App& app, Options& options) {
  app.add_option("--socket", options.socket,
                 "the node's admin socket; else the one that the file names");
  app.add_option("--file", options.file, "keelflow's own settings")->capture_default_str();
  app.add_flag("--json", options.json, "print JSON");
}

int run(int argc, char** argv) {
  Options options;
  std::function<int()> chosen;
  CLI::App app{
      "keelflow: the node of a job dispatch tier. Alone it serves, as 'keelflow run' does."};
  app.footer(std::string("Example: EDGE_CONFIG=/run/balancer/config.json keelflow\n") + kExitCodes);
  app.require_subcommand(0, 1);
  auto command = [&](CLI::App& under, const char* name, const char* what, const char* example,
                     std::function<int()> body) {
    CLI::App* sub = under.add_subcommand(name, what);
    sub->footer(std::string("Example: ") + example + "\n" + kExitCodes);
    sub->callback([&chosen, body = std::move(body)] { chosen = body; });
    return sub;
  };
  // Filled in by the parser before any of them runs.
  CLI::Option* given = nullptr;
  auto serve = [&] {
    return run_node({.platform = platform_file(options),
                     .own = options.file,
                     .is_own_path_given = given && given->count() > 0});
  };
  CLI::App* sub =
      command(app, "run", "serve until SIGTERM", "keelflow run --file deploy/keelflow.sexp", serve);
  given = sub->add_option("--file", options.file, "keelflow's own settings")->capture_default_str();
  sub->add_option("--platform", options.platform,
                  "the platform's JSON; else what EDGE_CONFIG names");

  sub = command(app, "check", "read a settings file and tell all of its faults",
                "keelflow check deploy/keelflow.sexp", [&] { return check(options); });
  sub->add_option("FILE", options.file, "the file")->capture_default_str();
  sub->add_option("--platform", options.platform,
                  "the platform's JSON, to check names against; else what EDGE_CONFIG names");

  add_socket(*command(app, "status", "what a running node does",
                      "keelflow status --socket /run/keelflow/admin",
                      [&] { return ask(options, "GET", "/status", print_status); }),
             options);

  CLI::App* move = app.add_subcommand("move", "shift traffic from one pool to another, in steps");
  move->footer(std::string("Example: keelflow move start new-boxes\n") + kExitCodes);
  move->require_subcommand(1);
  for (const char* verb : {"start", "pause", "resume", "undo"}) {
    std::string name = verb, example = "keelflow move " + name + " new-boxes";
    sub = command(*move, verb, (name + " a move that the settings name").c_str(), example.c_str(),
                  [&options, name] { return move_command(options, name); });
    sub->add_option("NAME", options.move, "the move")->required();
    add_socket(*sub, options);
  }
  sub = command(*move, "status", "where moves stand", "keelflow move status new-boxes --watch",
                [&] { return move_status(options); });
  sub->add_option("NAME", options.move, "one move alone");
  sub->add_flag("--watch", options.watch, "print again until interrupted");
  sub->add_option("--every", options.every, "seconds between")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  add_socket(*sub, options);

  CLI::App* fleet = app.add_subcommand("fleet", "the nodes of the tier, as one of them sees them");
  fleet->footer(std::string("Example: keelflow fleet members\n") + kExitCodes);
  fleet->require_subcommand(1);
  for (auto [name, what, show] :
       {std::tuple("members", "which nodes live, and who says so", &print_members),
        std::tuple("homes", "which executors are home to this node, and who else is at home there",
                   &print_homes),
        std::tuple(
            "turns",
            "this node's parts of cold executors' budgets, and what it was granted and grants",
            &print_turns)}) {
    sub = command(*fleet, name, what, (std::string("keelflow fleet ") + name + " --watch").c_str(),
                  [&options, page = show] { return fleet_page(options, page); });
    sub->add_flag("--watch", options.watch, "print again until interrupted");
    sub->add_option("--every", options.every, "seconds between")
        ->check(CLI::Range(0.1, 3600.0))
        ->capture_default_str();
    add_socket(*sub, options);
  }

  CLI::App* plugin = app.add_subcommand("plugin", "shops' own rules, in hosts of their own");
  plugin->footer(std::string("Example: keelflow plugin list\n") + kExitCodes);
  plugin->require_subcommand(1);
  add_socket(*command(*plugin, "list", "the plug-ins of a running node", "keelflow plugin list",
                      [&] {
                        return ask(options, "GET", "/plugins",
                                   [](const json& body) { print_plugins(body["plugins"]); });
                      }),
             options);
  for (const char* verb : {"reload", "enable", "disable"}) {
    std::string name = verb;
    sub =
        command(*plugin, verb, (name + " a plug-in" + (name == "reload" ? ", or all" : "")).c_str(),
                ("keelflow plugin " + name + " term-rush").c_str(),
                [&options, name] { return plugin_command(options, name); });
    CLI::Option* which = sub->add_option("NAME", options.plugin, "the plug-in");
    if (name != "reload")
      which->required();
    add_socket(*sub, options);
  }
  auto folder = [&](CLI::App* of) {
    of->add_option("DIR", options.folder, "the plug-in's folder")->required();
    return of;
  };
  sub = folder(command(*plugin, "check", "read and load a plug-in, and tell all of its faults",
                       "keelflow plugin check plugins/term-rush",
                       [&] { return plugin_check(options.folder, options.json); }));
  sub->add_flag("--json", options.json, "print JSON");
  sub = folder(
      command(*plugin, "test", "play requests against a plug-in",
              "keelflow plugin test plugins/term-rush --requests plugins/term-rush/test.sexp",
              [&] { return plugin_test(options.folder, options.requests); }));
  sub->add_option("--requests", options.requests,
                  "a file of (request ...) and (event ...), each with what is expected")
      ->required();
  sub = folder(command(*plugin, "bench", "calls a second of its on_request",
                       "keelflow plugin bench plugins/term-rush", [&] {
                         return plugin_bench(options.folder, options.seconds, options.json);
                       }));
  sub->add_option("--seconds", options.seconds, "of each of the three parts")
      ->check(CLI::Range(0.1, 600.0))
      ->capture_default_str();
  sub->add_flag("--json", options.json, "print JSON");

  sub = command(app, "version", "print the version", "keelflow version",
                [&] { return version(options); });
  sub->add_flag("--json", options.json, "print JSON");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? kDone : kBadInput;
  }
  return chosen ? chosen() : serve();
}

}  // namespace
}  // namespace keelflow::cli

int main(int argc, char** argv) {
  // What the node starts for each plug-in; not for people.
  if (argc == 2 && std::string_view(argv[1]) == keelflow::plugins::kHostCommand)
    return keelflow::plugins::host_main(keelflow::plugins::kHostSocket);
  try {
    return keelflow::cli::run(argc, argv);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "keelflow: %s\n", fault.what());
    return keelflow::cli::kBadInput;
  }
}
