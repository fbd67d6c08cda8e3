#include "config/own_config.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "config/form.h"

namespace keelflow::config {
namespace {

using namespace std::chrono_literals;

// Of (pool NAME ...) and the like.
std::string name_of(const Node& node, Form& form) {
  if (node.items.size() > 1 && !node.items[1].is_list && !node.items[1].atom.empty())
    return node.items[1].atom;
  form.fault(node, "a name: (" + std::string(node.head()) + " NAME ...)");
  return "";
}

class Decoder {
 public:
  Decoder(const std::string& file, Faults& faults) : file_(file), faults_(faults) {}

  Own decode(const std::vector<Node>& sections) {
    const std::map<std::string, std::function<void(const Node&)>, std::less<>> known = {
        {"pool",
         [this](const Node& n) {
           pool(n);
         }},
        {"route",
         [this](const Node& n) {
           route(n);
         }},
        {"move",
         [this](const Node& n) {
           move(n);
         }},
        {"admin",
         [this](const Node& n) {
           once(n), admin(n);
         }},
        {"log",
         [this](const Node& n) {
           once(n), log(n);
         }},
        {"plugins",
         [this](const Node& n) {
           once(n), plugins(n);
         }},
        {"fleet",
         [this](const Node& n) {
           once(n), fleet(n);
         }},
        {"progress", [this](const Node& n) {
           once(n), progress(n);
         }}};
    for (const Node& section : sections) {
      auto it = known.find(section.head());
      if (it != known.end()) {
        it->second(section);
        continue;
      }
      std::string wanted = "one of";
      for (const auto& [word, read] : known)
        wanted += " (" + word + " ...)";
      faults_.push_back({file_, section.place, section.shown(), wanted});
    }
    check();
    return std::move(own_);
  }

 private:
  void once(const Node& node) {
    if (!seen_.insert(std::string(node.head())).second)
      faults_.push_back(
          {file_, node.place, node.shown(), "'" + std::string(node.head()) + "' only once"});
  }

  void pool(const Node& node) {
    Form form(node, 1, file_, faults_);
    routes::PoolSpec pool{
        .name = name_of(node, form), .sites = {}, .kinds = {}, .hosts = {}, .blocks = {}};
    form.words("site", pool.sites);
    form.words("class", pool.kinds);
    form.words("host", pool.hosts);
    std::vector<double> blocks;
    form.numbers("block", blocks, 0, 1e9, "a whole number", true);
    for (double b : blocks)
      pool.blocks.push_back(static_cast<int>(b));
    form.end();
    place_["pool " + pool.name] = node.place;
    own_.routes.pools.push_back(std::move(pool));
  }

  void route(const Node& node) {
    Form form(node, 1, file_, faults_);
    routes::RouteSpec route;
    route.name = name_of(node, form);
    if (const Node* match = form.list("match")) {
      Form inner(*match, 0, file_, faults_);
      inner.words("class", route.classes);
      inner.words("tenant", route.tenants);
      inner.words("path", route.paths);
      inner.end();
    }
    if (const Node* to = form.list("to")) {
      for (std::size_t i = 1; i < to->items.size(); ++i) {
        const Node& item = to->items[i];
        double weight = 0;
        if (item.items.size() != 2 || item.head().empty() || !read_number(item.items[1], weight) ||
            weight < 0)
          form.fault(item, "(POOL WEIGHT), the weight a number from 0 on");
        else
          route.to.emplace_back(item.items[0].atom, weight);
      }
    } else {
      form.fault(node, "(to (POOL WEIGHT) ...)");
    }
    form.flag("rehome", route.rehome);
    form.end();
    place_["route " + route.name] = node.place;
    own_.routes.routes.push_back(std::move(route));
  }

  void move(const Node& node) {
    Form form(node, 1, file_, faults_);
    moves::MoveSpec m;
    m.name = name_of(node, form);
    form.text("route", m.route);
    form.text("from", m.from);
    form.text("to", m.to);
    form.numbers("steps", m.steps, 0.001, 100, "a percentage");
    auto span = [&](const char* key, double& ms, Duration least, Duration most) {
      Duration value = from_ms(ms);
      form.span(key, value, least, most);
      ms = to_ms(value);
    };
    span("least-time", m.min_duration_ms, 100ms, 24h);
    span("most-time", m.max_duration_ms, 1s, 24h * 7);
    span("cool-off", m.cool_off_ms, 0ms, 24h);
    span("block", m.test.block_ms, 50ms, 60s);
    double answers = static_cast<double>(m.min_answers);
    form.number("least-answers", answers, 8, 1e9, "a number");
    m.min_answers = static_cast<std::uint64_t>(answers);
    form.number("control", m.control, 0.1, 50, "a percentage");
    form.number("false-alarm", m.test.false_alarm, 1e-6, 0.5, "a chance");
    form.number("miss", m.test.miss, 1e-6, 0.5, "a chance");
    form.number("margin", m.test.margin, 0, 0.5, "a share");
    form.number("worse", m.test.worse, 0.001, 0.9, "a share");
    form.number("spread", m.test.effect_size, 0.001, 1, "a share");
    form.end();
    place_["move " + m.name] = node.place;
    own_.moves.push_back(std::move(m));
  }

  void admin(const Node& node) {
    Form form(node, 0, file_, faults_);
    form.text("socket", own_.admin.socket);
    if (own_.admin.socket.size() > 100)
      form.fault(node, "a path of at most 100 characters");
    form.end();
  }

  void log(const Node& node) {
    Form form(node, 0, file_, faults_);
    std::string format = "text", level(log::word(own_.log.level));
    form.choice("format", format, {"text", "json"});
    own_.log.json = format == "json";
    form.choice("level", level, log::level_words());
    own_.log.level = *log::level_of(level);
    form.text("file", own_.log.file);
    if (const Node* list = form.list("subsystem")) {
      Form inner(*list, 0, file_, faults_);
      for (log::Subsystem s : log::all_subsystems()) {
        std::string word(log::word(own_.log.level));
        inner.choice(std::string(log::word(s)).c_str(), word, log::level_words());
        if (word != log::word(own_.log.level))
          own_.log.levels[s] = *log::level_of(word);
      }
      inner.end();
    }
    form.end();
  }

  void progress(const Node& node) {
    Form form(node, 0, file_, faults_);
    auto address = [&](const char* key, std::optional<net::Address>& into) {
      std::string text;
      form.text(key, text);
      if (text.empty())
        return;
      into = net::parse_address(text);
      if (!into)
        form.fault(*form.list(key), "an address as in \"127.0.0.1:3100\"");
    };
    address("listen", own_.progress.listen);
    address("store", own_.progress.store);
    if (const Node* hook = form.list("hook"))
      form.fault(*hook,
                 "no hook: it is a plug-in now, as in (plugins (plugin progress-labels)); see "
                 "docs/operators/plugins.md");
    form.span("heartbeat", own_.progress.heartbeat, 100ms, 1h);
    form.span("expiry", own_.progress.expiry, 1s, 24h * 7);
    form.end();
  }

  void fleet(const Node& node) {
    Form form(node, 0, file_, faults_);
    MembershipAgent::Settings& m = own_.members;
    form.flag("members", m.on);
    form.flag("turns", own_.turns);
    form.span("period", m.period, 50ms, 10s);
    form.span("least-suspicion", m.least_suspicion, 50ms, 1min);
    form.span("most-suspicion", m.most_suspicion, 50ms, 1min);
    if (m.least_suspicion > m.most_suspicion)
      form.fault(node, "a least-suspicion that is not over most-suspicion");
    if (m.least_suspicion < m.period)
      form.fault(
          node, "a least-suspicion not under the period: who is accused needs one to clear itself");
    form.end();
  }

  void plugins(const Node& node) {
    Form form(node, 0, file_, faults_);
    keelflow::plugins::Settings& p = own_.plugins;
    form.text("folder", p.folder);
    form.number("most-held", p.most_held, 0, 20'000, "a number");
    form.number("most-held-kb", p.most_held_kb, 0, 65'536, "kilobytes");
    form.span("most-hold", p.most_hold, 0ms, 1h);
    form.number("in-flight", p.in_flight, 1, 4096, "a number");
    form.span("silence", p.silence, 50ms, 60s);
    form.number("nice", p.nice, 0, 19, "a number");
    if (const Node* list = form.list("breaker")) {
      Form inner(*list, 0, file_, faults_);
      auto number = [&](const char* key, int& into, double least, double most) {
        double value = into;
        inner.number(key, value, least, most, "a number");
        into = static_cast<int>(value);
      };
      number("strikes", p.breaker.failures, 1, 1000);
      number("give-up", p.breaker.give_up, 1, 30);
      number("good-trials", p.breaker.required_trial_successes, 1, 1000);
      auto times = {std::pair{"window", &p.breaker.window_ms},
                    {"back-off", &p.breaker.initial_backoff_ms},
                    {"most-back-off", &p.breaker.max_backoff_ms},
                    {"out", &p.breaker.out_ms},
                    {"calm", &p.breaker.backoff_reset_ms}};
      for (auto [key, ms] : times) {
        Duration value = from_ms(*ms);
        inner.span(key, value, 10ms, 24h);
        *ms = to_ms(value);
      }
      inner.number("jitter", p.breaker.jitter, 0, 0.9, "a share");
      inner.end();
    }
    for (const Node* one : form.lists("plugin")) {
      Form inner(*one, 1, file_, faults_);
      keelflow::plugins::Wanted wanted;
      wanted.name = name_of(*one, inner);
      wanted.place = one->place;
      inner.flag("enabled", wanted.enabled);
      inner.span("answer-within", wanted.answer_within, 1ms, 1s);
      if (const Node* values = inner.list("set"))
        for (std::size_t i = 1; i < values->items.size(); ++i) {
          if (values->items[i].head().empty())
            inner.fault(values->items[i], "(SETTING VALUE)");
          else
            wanted.values.push_back(values->items[i]);
        }
      inner.end();
      bool twice = std::any_of(p.plugins.begin(), p.plugins.end(),
                               [&](const auto& other) { return other.name == wanted.name; });
      if (twice)
        inner.fault(*one, "each plug-in once");
      if (wanted.name.find('/') != std::string::npos || wanted.name.starts_with('.'))
        inner.fault(*one, "the name of a folder");
      p.plugins.push_back(std::move(wanted));
    }
    if (p.plugins.size() > keelflow::plugins::kMostPlugins)
      form.fault(node, "at most " + std::to_string(keelflow::plugins::kMostPlugins) + " plug-ins");
    form.end();
  }

  // What hangs together over several sections.
  void check() {
    auto at = [&](const std::string& what) {
      return place_.contains(what) ? place_[what] : Place{};
    };
    for (const std::string& text : routes::faults(own_.routes))
      faults_.push_back(
          {file_, place_.empty() ? Place{} : place_of(text), text, "routes and pools that fit"});
    std::map<std::string, std::string> used;  // pool, by which move
    std::set<std::string> names;
    for (const moves::MoveSpec& m : own_.moves) {
      Place place = at("move " + m.name);
      auto fault = [&](std::string found, std::string wanted) {
        faults_.push_back({file_, place, std::move(found), std::move(wanted)});
      };
      if (!names.insert(m.name).second)
        fault("a second move '" + m.name + "'", "names that differ");
      for (const std::string& text : moves::faults(m))
        fault(text, "a move that can be made");
      const routes::RouteSpec* route = nullptr;
      for (const routes::RouteSpec& r : own_.routes.routes)
        if (r.name == m.route)
          route = &r;
      if (!route) {
        fault("move '" + m.name + "' of route '" + m.route + "'",
              "the name of a route of this file");
        continue;
      }
      for (const std::string& pool : {m.from, m.to}) {
        bool there = std::any_of(route->to.begin(), route->to.end(),
                                 [&](auto& to) { return to.first == pool; });
        if (!there)
          fault("pool '" + pool + "'", "a pool that route '" + m.route + "' sends to");
        auto [it, fresh] = used.emplace(pool, m.name);
        if (!fresh && it->second != m.name)
          fault("pool '" + pool + "' in move '" + m.name + "' and in '" + it->second + "'",
                "moves that share no pool");
      }
    }
  }

  // The section that a message of routes::faults is about: the one whose name it holds in quotes
  // first.
  Place place_of(const std::string& text) const {
    for (const char* what : {"route ", "pool "}) {
      auto from = text.find(std::string(what) + "'");
      if (from == std::string::npos)
        continue;
      from = text.find('\'', from) + 1;
      auto it = place_.find(what + text.substr(from, text.find('\'', from) - from));
      if (it != place_.end())
        return it->second;
    }
    return {};
  }

  const std::string& file_;
  Faults& faults_;
  Own own_;
  std::set<std::string> seen_;
  std::map<std::string, Place> place_;
};

constexpr const char* kProgressForm = R"(
  (progress
    (listen "127.0.0.1:3100")     ; where clients connect
    (heartbeat 10s)
    (store "127.0.0.1:6379")
    (expiry 10m)))";

}  // namespace

Own decode_own(std::string_view text, const std::string& file, Faults& faults) {
  Own own = Decoder(file, faults).decode(read_sexps(text, file, faults));
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  return own;
}

Own read_own(const std::string& file, bool optional) {
  auto old = std::filesystem::path(file).parent_path() / "progress.toml";
  if (std::filesystem::exists(old))
    throw ConfigError(old.string() + " is not read any more: its settings go into " + file +
                      ", in this form:" + kProgressForm);
  if (optional && !std::filesystem::exists(file))
    return {};
  Faults faults;
  Own own = decode_own(read_file(file), file, faults);
  if (faults.empty())
    return own;
  std::string all;
  for (const Fault& fault : faults)
    all += (all.empty() ? "" : "\n") + fault.text();
  throw ConfigError(all);
}

}  // namespace keelflow::config
