#include "run.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <numeric>
#include <optional>

#include "config/form.h"
#include "crowd.h"
#include "directory.h"
#include "network.h"
#include "nodes.h"
#include "views.h"

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Duration kSettle = 300ms;    // for nodes to hear of the boxes before anyone asks
constexpr Duration kToldLate = 1s;     // discovery tells of a crash or a return so much later
constexpr Duration kFrontLearns = 1s;  // that a node is dead
constexpr std::size_t kWindow = 10;    // seconds of the worst window
constexpr Duration kAfter = 30s;       // most that is waited for the last answers

std::string text_of(const std::vector<config::Node>& words, std::size_t i) {
  return i < words.size() ? words[i].atom : "";
}

double number_of(const std::vector<config::Node>& words, std::size_t i, double otherwise) {
  double value = otherwise;
  if (i < words.size() && !config::read_number(words[i], value))
    return otherwise;
  return value;
}

using Seconds = std::vector<std::pair<double, double>>;  // worth asked and in time

double share_of(const Seconds& seconds, std::size_t from, std::size_t to) {
  double asked = 0, in_time = 0;
  for (std::size_t i = from; i < std::min(to, seconds.size()); ++i)
    asked += seconds[i].first, in_time += seconds[i].second;
  return asked > 0 ? in_time / asked : 1;
}

double worst_window(const Seconds& seconds, std::size_t length) {
  double worst = share_of(seconds, 0, std::min(length, seconds.size()));
  for (std::size_t i = 1; i + length <= seconds.size(); ++i)
    worst = std::min(worst, share_of(seconds, i, i + length));
  return worst;
}

// Seconds from the first fault until the last time that two seconds together were under 95 % of
// what was before.
double recovery(const Seconds& seconds, std::size_t fault) {
  double usual = share_of(seconds, 0, fault), last = static_cast<double>(fault);
  for (std::size_t i = fault; i + 2 <= seconds.size(); ++i)
    if (share_of(seconds, i, i + 2) < 0.95 * usual)
      last = static_cast<double>(i + 2);
  return last - static_cast<double>(fault);
}

class Run {
 public:
  Run(const Plan& plan, const RunSettings& settings)
      : plan_(plan),
        settings_(settings),
        random_(settings.seed, 7),
        world_{.loop = loop_,
               .counters = counters_,
               .rules = rules_,
               .cold = plan.cold,
               .slow_start_initial_fraction = plan.slow_start_initial_fraction,
               .works = {},
               .served = {},
               .nodes = {},
               .progress = plan.progress,
               .saved = {},
               .cut_answers = plan.cut_answers,
               .random = pcg32(settings.seed, 8)},
        crowd_(world_, plan, settings.seed) {
    room_for_descriptors();
    auto nodes = static_cast<std::size_t>(plan.nodes);
    for (const BoxPlan& b : plan.boxes)
      for (int i = 1; i <= static_cast<int>(b.count); ++i)
        boxes_.push_back(std::make_unique<Box>(world_, b, b.name + "-" + std::to_string(i), nodes));
    directory_ = std::make_unique<Directory>(world_, boxes_, nodes, plan.pushed);
    char name[] = "/tmp/keelflow-lab-XXXXXX";
    if (!mkdtemp(name))
      throw std::runtime_error("no folder could be made");
    folder_ = name;
    for (std::size_t i = 0; i < nodes; ++i)
      nodes_.push_back(std::make_unique<NodeProcess>(plan, folder_ + "/n" + std::to_string(i),
                                                     static_cast<int>(i), settings.program));
    std::vector<Neighbours> told = plan.relays ? lay_network() : side_by_side();
    for (std::size_t i = 0; i < nodes; ++i)
      nodes_[i]->start(told[i], settings.seed * 1000 + i);
    for (auto& node : nodes_)
      node->wait_until_up();
  }

  ~Run() {
    nodes_.clear();
    if (settings_.keep)
      std::fprintf(stderr, "kept: %s\n", folder_.c_str());
    else
      std::filesystem::remove_all(folder_);
  }

  Outcome play() {
    TimePoint start = began_ = loop_.now() + kSettle;
    loop_.at(start, [this] { crowd_.begin(); });
    stopped_.resize(nodes_.size());
    known_.resize(nodes_.size());
    look();
    for (const Change& change : plan_.changes)
      loop_.at(start + change.at, [this, &change] { apply(change); });
    loop_.at(start + plan_.lasts, [this] {
      crowd_.stop();
      last_ = loop_.now() + kAfter;
      wait_for_answers();
    });
    if (settings_.live)
      live(start + 1s, 1);
    loop_.run();
    return judge();
  }

 private:
  static void room_for_descriptors() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }

  // Nodes and stand-ins talk directly.
  std::vector<Neighbours> side_by_side() {
    std::vector<Neighbours> told;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      world_.nodes.push_back(nodes_[i]->address());
      told.push_back({directory_->address(i), std::nullopt, {}});
    }
    return told;
  }

  // Everything has its place, and each link a relay.
  std::vector<Neighbours> lay_network() {
    network_ = std::make_unique<Network>(loop_, settings_.seed);
    world_.network = network_.get();
    std::vector<net::Address> real, mail;
    for (std::size_t i = 0, zone = 0, of_zone = 0; i < nodes_.size(); ++i, ++of_zone) {
      while (zone < plan_.zones.size() &&
             of_zone >= static_cast<std::size_t>(plan_.zones[zone].nodes))
        ++zone, of_zone = 0;
      world_.node_zones.push_back(plan_.zones.empty() ? "" : plan_.zones[zone].name);
      world_.node_regions.push_back(plan_.zones.empty() ? "" : plan_.zones[zone].region);
      world_.node_places.push_back(
          network_->add("n" + std::to_string(i), world_.node_zones[i], world_.node_regions[i]));
      real.push_back(nodes_[i]->address());
      if (plan_.peers)
        mail.push_back(free_address(SOCK_DGRAM));
    }
    auto region = [this](const std::string& zone) {
      for (const ZonePlan& z : plan_.zones)
        if (z.name == zone)
          return z.region;
      return std::string();
    };
    std::vector<Network::Place> places;
    for (auto& box : boxes_)
      places.push_back(network_->add(box->host(), box->group(), region(box->group()), true));
    Network::Place discovery = world_.discovery_place = network_->add("discovery", "", ""),
                   clients = network_->add("clients", "", "");
    for (std::size_t i = 0; i < boxes_.size(); ++i)
      boxes_[i]->stand_in(*network_, places[i], region(boxes_[i]->group()), real);
    std::vector<Neighbours> told;
    const auto& at = world_.node_places;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      world_.nodes.push_back(network_->stream(clients, at[i], real[i]));
      told.push_back(
          {network_->stream(at[i], discovery, directory_->address(i)), std::nullopt, {}});
      if (!plan_.peers)
        continue;
      told[i].peer_listen = mail[i];
      for (std::size_t j = 0; j < nodes_.size(); ++j)
        told[i].peers.push_back(i == j ? mail[i]
                                       : network_->datagrams(at[i], at[j], mail[i], mail[j]));
    }
    return told;
  }

  static std::size_t number_of_node(const std::string& word) {
    return static_cast<std::size_t>(std::atoi(word.c_str() + 1));
  }

  void apply(const Change& change) {
    const auto& w = change.words;
    if (change.verb != "load" && change.verb != "delay" && !first_fault_)
      first_fault_ = loop_.now();
    if (apply_to_links(change) || apply_to_node(change) || apply_to_discovery(change))
      return;
    if (change.verb == "load" && text_of(w, 1) == "zone")
      return crowd_.zone_load(text_of(w, 2), number_of(w, 0, 1));
    if (change.verb == "load")
      return crowd_.load(number_of(w, 0, 1), text_of(w, 1));
    if (change.verb == "settings") {
      for (auto& node : nodes_)
        node->settings(text_of(w, 0));
      return;
    }
    if (change.verb == "command") {
      auto space = text_of(w, 0).find(' ');
      for (auto& node : nodes_)
        node->command(text_of(w, 0).substr(space + 1), text_of(w, 0).substr(0, space));
      return;
    }
    if (change.verb == "reload")
      return reload(static_cast<int>(number_of(w, 0, 1)), from_ms(number_of(w, 1, 100)));
    if (change.verb == "terminate") {
      auto number = static_cast<std::size_t>(number_of(w, 0, 0));
      if (number >= nodes_.size())
        return;
      crowd_.leave(number);
      return nodes_[number]->terminate();  // its front brings nothing new
    }
    // The others are about a share of the boxes whose names begin so, drawn by the seed.
    std::vector<Box*> wanted;
    for (auto& box : boxes_)
      if (box->host().starts_with(text_of(w, 0)))
        wanted.push_back(box.get());
    bool back = change.verb == "revive" || change.verb == "ready";
    if (back)
      std::erase_if(wanted, [&](Box* b) {
        return change.verb == "revive" ? b->up() : b->health() != Box::Health::draining;
      });
    double share = change.verb == "slow" ? number_of(w, 2, 1) : number_of(w, 1, 1);
    std::shuffle(wanted.begin(), wanted.end(), random_);
    wanted.resize(static_cast<std::size_t>(std::ceil(share * static_cast<double>(wanted.size()))));
    for (Box* box : wanted)
      apply_to(*box, change);
  }

  bool apply_to_links(const Change& change) {
    if (!network_)
      return false;
    const auto& w = change.words;
    const std::string &verb = change.verb, from = text_of(w, 0), to = text_of(w, 1);
    double share = number_of(w, 2, 0);
    Duration delay{}, jitter{};
    if (w.size() > 2)
      config::read_span(w[2], delay);
    if (w.size() > 3)
      config::read_span(w[3], jitter);
    auto cut = [](Network::Link& link) {
      link.cut = true;
    };
    if (verb == "cut" || verb == "split")
      network_->change(from, to, cut);
    else if (verb == "heal" && from == "all" && w.size() == 1)
      network_->heal_all();
    else if (verb == "heal")
      network_->heal(from, to), network_->heal(to, from);
    else if (verb == "loss")
      network_->change(from, to, [&](Network::Link& link) { link.loss = share; });
    else if (verb == "double")
      network_->change(from, to, [&](Network::Link& link) { link.doubled = share; });
    else if (verb == "delay")
      network_->change(from, to,
                       [&](Network::Link& link) { link.delay = delay, link.jitter = jitter; });
    else if (verb == "vanish")
      network_->change("boxes:" + from, "all", cut), network_->change("all", "boxes:" + from, cut);
    else if (verb != "reset" && verb != "return")
      return false;
    if (verb == "split")
      network_->change(to, from, cut);
    look();
    if (verb == "return")
      network_->heal("boxes:" + from, "all"), network_->heal("all", "boxes:" + from),
          network_->reset("all", "boxes:" + from);
    if (verb == "reset")
      network_->reset(from, to);
    after_fault(verb == "reset" || verb == "return");
    return true;
  }

  static double unix_now_ms() {
    return Milliseconds(std::chrono::system_clock::now().time_since_epoch()).count();
  }

  // What is true of the nodes from now on.
  void look() {
    Views::Truth truth{unix_now_ms(), {}, {}};
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      truth.well.push_back(!nodes_[i]->killed() && !stopped_[i]);
      truth.hears.emplace_back();
      for (std::size_t j = 0; j < nodes_.size(); ++j)
        truth.hears[i].push_back(!network_ ||
                                 network_->hears(world_.node_places[i], world_.node_places[j]));
    }
    views_.now(std::move(truth));
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      world_.drains.reachable(i, reaches_discovery(i), loop_.now());
  }

  // Of an attempt whose link has broken the node can only know that it gave it up.
  void after_fault(bool reset) {
    for (auto& box : boxes_)
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Network::Place node = world_.node_places[i];
        if (reset || network_->link(node, box->place()).cut ||
            network_->link(box->place(), node).cut)
          box->unheard(i);
      }
  }

  bool apply_to_node(const Change& change) {
    if (change.verb == "clock") {
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (text_of(change.words, 0) == "all" || i == number_of_node(text_of(change.words, 0)))
          nodes_[i]->step_clock(number_of(change.words, 1, 0));
      return true;
    }
    if (change.verb == "hup") {
      nodes_[number_of_node(text_of(change.words, 0))]->reload();
      return true;
    }
    if (change.verb != "stall" && change.verb != "kill" && change.verb != "start")
      return false;
    std::size_t i = number_of_node(text_of(change.words, 0));
    NodeProcess& node = *nodes_[i];
    if (change.verb == "kill") {
      crowd_.faulty(i);
      known_[i] = directory_->known(i);
      node.kill();
      look();
      if (network_)
        network_->down(world_.node_places[i], true);
      loop_.at(loop_.now() + kFrontLearns, [this, i] {
        if (nodes_[i]->killed())
          crowd_.leave(i);
      });
    } else if (change.verb == "start" && node.killed()) {
      world_.drains.heard(i);  // the watch that fell silent was of its former life
      node.start_again(settings_.seed * 1000 + 500 + i, known_[i]);
      wait_for_start(i, loop_.now());
    } else if (change.verb == "stall") {
      Duration span{};
      config::read_span(change.words[1], span);
      crowd_.faulty(i);
      node.stall(true);
      stopped_[i] = true;
      look();
      loop_.at(loop_.now() + span, [this, i] {
        nodes_[i]->stall(false);
        stopped_[i] = false;
        look();
        crowd_.faulty_until(i, loop_.now());
      });
    }
    return true;
  }

  bool apply_to_discovery(const Change& change) {
    const auto& w = change.words;
    if (change.verb == "discovery") {
      directory_->down(text_of(w, 0) == "down");
      discovery_down_ = text_of(w, 0) == "down";
      look();
      return true;
    }
    if (change.verb != "calls" && change.verb != "silence" && change.verb != "unwatch")
      return false;
    std::vector<CallFault> faults;
    for (std::size_t k = 1; k < w.size(); ++k)
      faults.push_back(*call_fault(w[k].atom));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (text_of(w, 0) != "all" && i != number_of_node(text_of(w, 0)))
        continue;
      if (change.verb == "calls")
        directory_->fail_next(i, faults);
      if (change.verb == "silence")
        directory_->silence(i);
      if (change.verb == "unwatch")
        directory_->reset(i);
    }
    return true;
  }

  bool reaches_discovery(std::size_t i) const {
    if (discovery_down_)
      return false;
    Network::Place node = world_.node_places.empty() ? 0 : world_.node_places[i];
    return !network_ || (network_->hears(node, world_.discovery_place) &&
                         network_->hears(world_.discovery_place, node));
  }

  void wait_for_start(std::size_t i, TimePoint began) {
    ready_s_ = std::max(ready_s_, to_ms(loop_.now() - began) / 1000);
    if (!nodes_[i]->up())
      return void(loop_.at(loop_.now() + 5ms, [this, i, began] { wait_for_start(i, began); }));
    if (network_)
      network_->down(world_.node_places[i], false);
    crowd_.faulty_until(i, loop_.now());
    crowd_.join(i);
    look();
  }

  // So many reloads of the plug-ins at all nodes, so many milliseconds apart.
  void reload(int times, Duration apart) {
    if (times <= 0)
      return;
    for (auto& node : nodes_)
      reloads_ += node->reload_plugins();
    loop_.at(loop_.now() + apart, [this, times, apart] { reload(times - 1, apart); });
  }

  void apply_to(Box& box, const Change& change) {
    auto tell = [this, &box](Duration late) {
      loop_.at(loop_.now() + late, [this, &box] { directory_->changed(box); });
    };
    if (change.verb == "slow")
      return box.slow(number_of(change.words, 1, 2));
    if (change.verb == "crash")
      return box.crash(), tell(kToldLate);
    if (change.verb == "revive")
      return box.revive(), tell(kToldLate);
    drained_ += change.verb == "remove" || change.verb == "drain";
    if (change.verb == "remove")
      box.remove();
    else
      box.drain(change.verb == "drain");
    tell(0ms);
  }

  void wait_for_answers() {
    if (!crowd_.waiting() || loop_.now() >= last_) {
      for (auto& node : nodes_)
        finals_.push_back(node->status()), fleets_.push_back(node->page("/fleet"));
      views_.end(unix_now_ms());
      for (auto& node : nodes_)
        cpu_ += node->cpu_seconds(), memory_ = std::max(memory_, node->memory_kb());
      for (auto& node : nodes_)
        node->terminate();
      return wait_for_ends();
    }
    loop_.at(loop_.now() + 20ms, [this] { wait_for_answers(); });
  }

  void wait_for_ends() {
    bool all = std::all_of(nodes_.begin(), nodes_.end(),
                           [](auto& node) { return node->killed() || node->ended(); });
    if (all || loop_.now() > last_ + 10s)
      return loop_.stop();
    loop_.at(loop_.now() + 20ms, [this] { wait_for_ends(); });
  }

  void live(TimePoint when, int second) {
    loop_.at(when, [this, when, second] {
      if (loop_.now() < when + 500ms)
        print(second);
      if (!last_.time_since_epoch().count())
        live(when + 1s, second + 1);
    });
  }

  void print(int second) {
    const auto& seconds = crowd_.seconds();
    // The last second's answers are still on their way; the one before is nearly whole.
    std::size_t at = static_cast<std::size_t>(std::max(0, second - 2));
    double share = at < seconds.size() && seconds[at].first > 0
                       ? 100 * seconds[at].second / seconds[at].first
                       : 100;
    std::string moves;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      json s = nodes_[i]->status();
      if (!s.is_object())
        continue;
      for (const json& m : s["moves"]) {
        char text[96];
        std::snprintf(text, sizeof text, "  n%zu %s %.0f%% to %s", i,
                      m["state"].get<std::string>().c_str(), 100 * m["share"].get<double>(),
                      m["to"].get<std::string>().c_str());
        moves += text;
      }
    }
    std::printf("%3d s  %6llu jobs  in time %5.1f %%  rules broken %llu%s\n", second,
                static_cast<unsigned long long>(crowd_.jobs()), share,
                static_cast<unsigned long long>(rules_.broken()), moves.c_str());
    std::fflush(stdout);
  }

  Outcome judge() {
    Outcome out;
    auto& m = out.metrics;
    double asked = 0, in_time = 0, refused = 0, failed = 0, silent = 0, tries = 0, worst = 1;
    for (std::size_t i = 0; i < plan_.classes.size(); ++i) {
      const ClassFigures& f = crowd_.figures()[i];
      asked += f.worth_asked, in_time += f.worth_in_time;
      refused += static_cast<double>(f.refused), failed += static_cast<double>(f.failed),
          silent += static_cast<double>(f.silent);
      tries += static_cast<double>(f.tries);
      double share = f.worth_asked > 0 ? f.worth_in_time / f.worth_asked : 1;
      m["in-time:" + plan_.classes[i].name] = share;
      worst = std::min(worst, share);
    }
    m["jobs"] = static_cast<double>(crowd_.jobs());
    m["tries"] = tries, m["refused"] = refused, m["failed"] = failed, m["silent"] = silent;
    m["in-time"] = asked > 0 ? in_time / asked : 0;
    m["in-time-worst-class"] = worst;
    m["rules"] = static_cast<double>(rules_.broken());
    for (const auto& [rule, count] : rules_.by_rule())
      m["rule:" + rule] = static_cast<double>(count);
    m["p50-ms"] = crowd_.latency(0.5), m["p99-ms"] = crowd_.latency(0.99);
    m["cpu-us-per-try"] = tries > 0 ? 1e6 * cpu_ / tries : 0;
    m["reports"] = static_cast<double>(world_.reports),
    m["resumed"] = static_cast<double>(world_.resumed);
    m["memory-kb"] = static_cast<double>(memory_);
    m["ready-s"] = ready_s_;
    m["calls-failed"] = m["calls-shortened"] = 0;
    for (const auto& node : nodes_)
      m["calls-failed"] += static_cast<double>(node->calls_failed()),
          m["calls-shortened"] += static_cast<double>(node->calls_shortened());
    m["endpoints-not-ready"] = static_cast<double>(drained_);
    m["violations"] = 0;
    for (const json& status : finals_)
      if (status.is_object())
        m["violations"] += status["counters"].value("invariant_violations", 0.0);
    m["longest-ms"] = crowd_.latency(1), m["reloads"] = reloads_;
    for (const char* counter : {"plugin_asked", "plugin_not_asked", "plugin_late", "plugin_faults",
                                "plugin_hosts_ended", "plugin_reloads"}) {
      double sum = 0;
      for (const json& status : finals_)
        if (status.is_object())
          sum += status["counters"].value(counter, 0.0);
      m[counter] = sum;
    }
    m["bad-ends"] = static_cast<double>(std::count_if(
        nodes_.begin(), nodes_.end(), [](auto& n) { return !n->killed() && n->exit_code() != 0; }));
    look_at_moves(m);
    look_at_network(m, tries);
    out.breaches = rules_.examples();
    out.seconds = crowd_.seconds();
    out.nodes = finals_;
    for (const Expectation& e : plan_.expectations) {
      double value = m.contains(e.metric) ? m[e.metric] : -1;
      bool holds = m.contains(e.metric) && (e.op == "="    ? value == e.value
                                            : e.op == "<=" ? value <= e.value
                                                           : value >= e.value);
      char text[160];
      std::snprintf(text, sizeof text, "%s is %g, wanted %s %g", e.metric.c_str(), value,
                    e.op.c_str(), e.value);
      if (!holds)
        out.missed.push_back(text);
    }
    return out;
  }

  void look_at_network(std::map<std::string, double>& m, double tries) {
    double attempts = std::max(1.0, static_cast<double>(world_.attempts));
    m["attempts"] = static_cast<double>(world_.attempts);
    m["cross-zone"] = static_cast<double>(world_.cross_zone) / attempts;
    m["cross-region"] = static_cast<double>(world_.cross_region) / attempts;
    m["cold-fullest"] = world_.cold_fullest;
    m["fallen"] = static_cast<double>(world_.fallen);
    m["lost-with-node"] = static_cast<double>(crowd_.lost_with_node());
    m["peer-bytes-per-try"] =
        network_ && tries > 0 ? static_cast<double>(network_->datagram_bytes()) / tries : 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      views_.read(static_cast<int>(i), nodes_[i]->log());
    m["agree-s"] = views_.agree_s();
    m["false-deaths"] = views_.false_deaths();
    look_at_homes(m);
    const auto& seconds = crowd_.seconds();
    m["worst-window"] = worst_window(seconds, kWindow);
    auto fault =
        first_fault_ ? std::chrono::floor<std::chrono::seconds>(*first_fault_ - began_).count() : 0;
    m["recover-s"] = fault > 0 ? recovery(seconds, static_cast<std::size_t>(fault)) : 0;
  }

  // Endpoints home to each node, in times the mean.
  void look_at_homes(std::map<std::string, double>& m) {
    std::vector<double> homes;
    for (const json& fleet : fleets_) {
      if (!fleet.is_object())
        continue;
      homes.push_back(0);
      for (const json& one : fleet["homes"])
        homes.back() += one["own"].get<bool>();
    }
    double sum = std::accumulate(homes.begin(), homes.end(), 0.0);
    if (sum <= 0)
      return;
    m["homes-least"] =
        *std::min_element(homes.begin(), homes.end()) * static_cast<double>(homes.size()) / sum;
    m["homes-most"] =
        *std::max_element(homes.begin(), homes.end()) * static_cast<double>(homes.size()) / sum;
  }

  // Moves are each node's own: of figures the worst node's counts.
  void look_at_moves(std::map<std::string, double>& m) {
    m["undone"] = m["done"] = m["undo-step"] = m["undo-s"] = m["moved-worth-lost"] =
        m["most-share"] = 0;
    for (const json& status : finals_) {
      if (!status.is_object())
        continue;
      for (const json& move : status["moves"]) {
        m["most-share"] = std::max(m["most-share"], move["share"].get<double>());
        m["done"] += move["state"] == "done";
        std::map<std::string, std::pair<double, double>> worth;  // by pool: asked, in time
        for (const json& pool : status["pools"])
          worth[pool["pool"]] = {pool["worth_asked"], pool["worth_in_time"]};
        auto [asked_new, good_new] = worth[move["to"]];
        auto [asked_old, good_old] = worth[move["from"]];
        if (asked_new > 0 && asked_old > 0)
          m["moved-worth-lost"] += asked_new * (good_old / asked_old - good_new / asked_new);
        if (move["state"] != "undone")
          continue;
        m["undone"] += 1;
        m["undo-step"] = std::max(m["undo-step"], move["step"].get<double>());
        double step = 0, undone = 0;
        for (const json& event : move["history"]) {
          if (event["what"].get<std::string>().starts_with("step "))
            step = event["unix_ms"];
          if (event["what"].get<std::string>().starts_with("undone"))
            undone = event["unix_ms"];
        }
        m["undo-s"] = std::max(m["undo-s"], (undone - step) / 1000);
      }
    }
  }

  const Plan& plan_;
  const RunSettings& settings_;
  pcg32 random_;
  net::EventLoop loop_;
  Counters counters_;
  Rules rules_;
  World world_;
  std::unique_ptr<Network> network_;  // null: loopback alone
  TimePoint began_{};
  std::optional<TimePoint> first_fault_;
  std::vector<std::unique_ptr<Box>> boxes_;
  Crowd crowd_;
  std::unique_ptr<Directory> directory_;
  std::string folder_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::vector<json> finals_, fleets_;
  std::vector<bool> stopped_;  // by SIGSTOP
  std::vector<json> known_;    // by node: the list that it had when it was killed
  bool discovery_down_ = false;
  std::size_t drained_ = 0;  // endpoints that were made to drain or to leave the list
  Views views_;
  double cpu_ = 0, reloads_ = 0,
         ready_s_ = 0;  // ready: the longest that a node took that was started again
  long memory_ = 0;
  TimePoint last_{};
};

}  // namespace

Outcome run(const Plan& plan, const RunSettings& settings) {
  return Run(plan, settings).play();
}

json to_json(const Outcome& o) {
  return {{"metrics", o.metrics},
          {"breaches", o.breaches},
          {"missed", o.missed},
          {"seconds", o.seconds},
          {"nodes", o.nodes}};
}

Outcome from_json(const json& j) {
  Outcome o;
  o.metrics = j.at("metrics").get<std::map<std::string, double>>();
  o.breaches = j.at("breaches").get<std::vector<std::string>>();
  o.missed = j.at("missed").get<std::vector<std::string>>();
  o.seconds = j.at("seconds").get<std::vector<std::pair<double, double>>>();
  o.nodes = j.at("nodes");
  return o;
}

}  // namespace keelflow::lab
