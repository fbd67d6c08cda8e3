#include "plan.h"

#include <algorithm>

#include "config/config.h"
#include "config/form.h"
#include "directory.h"

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
using config::Faults;
using config::Form;
using config::Node;

std::string to_text(const Node& node) {
  if (!node.is_list) {
    if (!node.quoted)
      return node.atom;
    std::string out = "\"";
    for (char c : node.atom) {
      if (c == '"' || c == '\\')
        out += '\\';
      out += c;
    }
    return out + "\"";
  }
  std::string out = "(";
  for (std::size_t i = 0; i < node.items.size(); ++i)
    out += (i ? " " : "") + to_text(node.items[i]);
  return out + ")";
}

void substitute(Node& node, const std::map<std::string, std::string>& values) {
  for (Node& item : node.items)
    substitute(item, values);
  if (node.is_list || !node.atom.starts_with('$'))
    return;
  if (auto it = values.find(node.atom.substr(1)); it != values.end())
    node.atom = it->second;
}

void fail_if(const Faults& faults) {
  if (faults.empty())
    return;
  std::string all;
  for (const config::Fault& fault : faults)
    all += (all.empty() ? "" : "\n") + fault.text();
  throw ConfigError(all);
}

Node root_of(const std::string& text, const std::string& file, Faults& faults) {
  auto all = config::read_sexps(text, file, faults);
  if (all.size() == 1 && all[0].head() == "experiment" && all[0].items.size() >= 2)
    return all[0];
  faults.push_back({file, {}, "something else", "one (experiment NAME ...)"});
  fail_if(faults);
  return {};
}

std::string name_of(const Node& list, Form& form) {
  if (list.items.size() > 1 && !list.items[1].is_list)
    return list.items[1].atom;
  form.fault(list, "a name");
  return "";
}

ClassPlan class_of(const Node& node, const std::string& file, Faults& faults) {
  Form form(node, 1, file, faults);
  ClassPlan c;
  c.name = name_of(node, form);
  std::string idempotency = "safe";
  form.choice("effect", idempotency, {"safe", "keyed", "unsafe"});
  c.idempotency = idempotency == "keyed"    ? scheduler::Idempotency::idempotent_with_key
                  : idempotency == "unsafe" ? scheduler::Idempotency::non_idempotent
                                            : scheduler::Idempotency::idempotent;
  form.span("window", c.window, 0ms, 1h);
  form.span("target", c.target, 0ms, 1h);
  form.span("patience", c.patience, 10ms, 1h);
  form.span("run", c.run, 1ms, 1h);
  form.span("checkpoint", c.checkpoint, 0ms, 1h);
  form.number("stretch", c.objective_runtime_factor, 0, 100, "a factor");
  form.number("value", c.value, 0, 1e6, "a worth");
  form.number("share", c.share, 0, 1e6, "a share");
  form.number("spread", c.spread, 0, 2, "a spread");
  form.number("retries", c.retries, 0, 10, "a number");
  form.end();
  return c;
}

BoxPlan boxes_of(const Node& node, const std::string& file, Faults& faults) {
  Form form(node, 1, file, faults);
  BoxPlan b;
  b.name = name_of(node, form);
  form.text("site", b.site);
  form.number("count", b.count, 1, 1000, "a number");
  form.number("cores", b.cores, 1, 64, "a number");
  form.number("speed", b.speed, 0.01, 100, "a factor");
  form.number("queue", b.queue, 0, 1000, "a number");
  form.flag("cold", b.cold);
  form.end();
  return b;
}

ZonePlan zone_of(const Node& node, const std::string& file, Faults& faults) {
  Form form(node, 1, file, faults);
  ZonePlan z;
  z.name = name_of(node, form);
  form.text("region", z.region);
  form.number("nodes", z.nodes, 0, 40, "a number");
  form.number("load", z.load, 0, 1e6, "a share");
  form.end();
  return z;
}

enum class Word : std::uint8_t {
  place,
  node,
  nodes,
  seconds,
  boxes,
  share,
  time,
  up_or_down,
  call_fault,
  any
};
struct Verb {
  std::vector<Word> wanted;
  std::size_t least;  // words; the others may be left out
  const char* form;
  bool of_links = false;
};

const std::map<std::string, Verb, std::less<>>& verbs() {
  using enum Word;
  static const std::map<std::string, Verb, std::less<>> all = {
      {"load", {{any, any}, 1, "(load FACTOR [CLASS or zone ZONE])"}},
      {"slow", {{any, any, any}, 1, "(slow BOXES FACTOR [SHARE])"}},
      {"crash", {{any, any}, 1, "(crash BOXES [SHARE])"}},
      {"revive", {{any}, 1, "(revive BOXES)"}},
      {"drain", {{any, any}, 1, "(drain BOXES [SHARE])"}},
      {"ready", {{any}, 1, "(ready BOXES)"}},
      {"remove", {{boxes, share}, 1, "(remove BOXES [SHARE])"}},
      {"discovery", {{up_or_down}, 1, "(discovery up) or (discovery down)"}},
      {"calls",
       {{nodes, call_fault, call_fault, call_fault, call_fault, call_fault},
        2,
        "(calls NODE or all FAULT ...), five faults at most"}},
      {"silence", {{nodes}, 1, "(silence NODE or all)"}},
      {"unwatch", {{nodes}, 1, "(unwatch NODE or all)"}},
      {"command", {{any}, 1, "(command \"VERB MOVE\")"}},
      {"reload", {{any, any}, 1, "(reload TIMES MS)"}},
      {"settings", {{any}, 1, "(settings \"TEXT\")"}},
      {"terminate", {{any}, 1, "(terminate NODE)"}},
      {"cut", {{place, place}, 2, "(cut FROM TO)", true}},
      {"split", {{place, place}, 2, "(split FROM TO)", true}},
      {"heal", {{place, place}, 1, "(heal FROM TO) or (heal all)", true}},
      {"loss", {{place, place, share}, 3, "(loss FROM TO SHARE)", true}},
      {"double", {{place, place, share}, 3, "(double FROM TO SHARE)", true}},
      {"delay", {{place, place, time, time}, 3, "(delay FROM TO TIME [JITTER])", true}},
      {"reset", {{place, place}, 2, "(reset FROM TO)", true}},
      {"stall", {{node, time}, 2, "(stall NODE TIME)"}},
      {"kill", {{node}, 1, "(kill NODE)"}},
      {"hup", {{node}, 1, "(hup NODE)"}},
      {"clock",
       {{nodes, seconds}, 2, "(clock NODE or all SECONDS), by which its wall clock is stepped"}},
      {"start", {{node}, 1, "(start NODE)"}},
      {"vanish", {{boxes}, 1, "(vanish BOXES)", true}},
      {"return", {{boxes}, 1, "(return BOXES)", true}},
  };
  return all;
}

bool is_node(const Plan& plan, const std::string& word) {
  for (int i = 0; i < static_cast<int>(plan.nodes); ++i)
    if (word == "n" + std::to_string(i))
      return true;
  return false;
}

bool is_boxes(const Plan& plan, const std::string& word) {
  return std::any_of(plan.boxes.begin(), plan.boxes.end(), [&](const BoxPlan& b) {
    for (int i = 1; i <= static_cast<int>(b.count); ++i)
      if ((b.name + "-" + std::to_string(i)).starts_with(word))
        return true;
    return false;
  });
}

bool is_place(const Plan& plan, const std::string& word) {
  if (word == "all" || word == "discovery" || word == "clients")
    return true;
  if (word.starts_with("boxes:"))
    return is_boxes(plan, word.substr(6));
  for (const ZonePlan& z : plan.zones)
    if (word == z.name || word == z.region)
      return true;
  return is_node(plan, word);
}

// What is wrong with a word of a change, in terms of what was wanted; empty: nothing.
const char* fault_of(const Plan& plan, Word wanted, const Node& word) {
  double number = 0;
  Duration span{};
  if (wanted == Word::place && !is_place(plan, word.atom))
    return "a node (n0), a zone, a region, boxes:PREFIX, discovery, clients or all";
  if (wanted == Word::node && !is_node(plan, word.atom))
    return "a node, as n0";
  if (wanted == Word::nodes && word.atom != "all" && !is_node(plan, word.atom))
    return "a node, as n0, or all";
  if (wanted == Word::up_or_down && word.atom != "up" && word.atom != "down")
    return "up or down";
  if (wanted == Word::call_fault && !call_fault(word.atom))
    return "refused, endless, reset, silent, head, half, cut or slow";
  if (wanted == Word::boxes && !is_boxes(plan, word.atom))
    return "the beginning of some boxes' names";
  if (wanted == Word::share && (!config::read_number(word, number) || number < 0 || number > 1))
    return "a share from 0 to 1";
  if (wanted == Word::seconds && !config::read_number(word, number))
    return "a number of seconds, less than 0 for back";
  if (wanted == Word::time && !config::read_span(word, span))
    return "a time, as 250ms";
  return nullptr;
}

void check_change(const Plan& plan, const Node& what, Form& form) {
  auto verb = verbs().find(what.head());
  if (verb == verbs().end()) {
    std::string all;
    for (const auto& [name, of] : verbs())
      all += " " + name;
    return form.fault(what, "one of" + all);
  }
  std::size_t words = what.items.size() - 1;
  bool zone_load = verb->first == "load" && words == 3 && what.items[2].atom == "zone";
  if (zone_load) {
    bool known = std::any_of(plan.zones.begin(), plan.zones.end(),
                             [&](const ZonePlan& z) { return z.name == what.items[3].atom; });
    return known ? void() : form.fault(what.items[3], "a zone");
  }
  bool heal_all = verb->first == "heal" && words == 1 && what.items[1].atom == "all";
  if (words < verb->second.least || words > verb->second.wanted.size() ||
      (verb->first == "heal" && words == 1 && !heal_all))
    return form.fault(what, verb->second.form);
  for (std::size_t i = 0; i < words; ++i)
    if (const char* wanted = fault_of(plan, verb->second.wanted[i], what.items[i + 1]))
      form.fault(what.items[i + 1], wanted);
}

}  // namespace

std::vector<Variant> variants(const std::string& text, const std::string& file) {
  Faults faults;
  Node root = root_of(text, file, faults);
  std::vector<Variant> out = {{}};
  for (const Node& item : root.items) {
    if (item.head() != "vary" || item.items.size() < 3)
      continue;
    std::vector<Variant> more;
    for (const Variant& variant : out)
      for (std::size_t i = 2; i < item.items.size(); ++i) {
        Variant next = variant;
        const std::string &name = item.items[1].atom, &value = item.items[i].atom;
        next.name += (next.name.empty() ? "" : " ") + name + "=" + value;
        next.values[name] = value;
        more.push_back(std::move(next));
      }
    out = std::move(more);
  }
  return out;
}

Plan read_plan(const std::string& text, const std::string& file, const Variant& variant) {
  Faults faults;
  Node root = root_of(text, file, faults);
  substitute(root, variant.values);
  Form form(root, 1, file, faults);
  Plan plan;
  plan.name = root.items[1].atom;
  form.number("nodes", plan.nodes, 1, 40, "a number");
  form.number("configured", plan.configured, 0, 900, "a number of processes");
  form.number("load", plan.load, 0.1, 100'000, "requests a second");
  form.number("tenants", plan.tenants, 1, 100, "a number");
  form.number("objects", plan.objects, 1, 1e9, "a number");
  form.number("rude", plan.rude, 0, 1, "a share");
  form.number("quitters", plan.quitters, 0, 1, "a share");
  form.number("cut-answers", plan.cut_answers, 0, 1, "a share");
  form.number("failing-calls", plan.failing_calls, 0, 0.2, "a share up to 0.2");
  form.number("short-calls", plan.short_calls, 0, 1, "a share");
  form.span("lasts", plan.lasts, 1s, 24h);
  form.span("progress", plan.progress, 0ms, 1h);
  form.number("cold-from", plan.slow_start_initial_fraction, 0.01, 1, "a share");
  form.span("cold", plan.cold, 100ms, 1h);
  plan.needs_shim = plan.failing_calls > 0 || plan.short_calls > 0;
  std::string lists = "ask";
  form.choice("lists", lists, {"ask", "push"});
  plan.pushed = lists == "push";
  form.span("ask-within", plan.ask_within, 1s, 1h);
  form.flag("peers", plan.peers);
  form.flag("relays", plan.relays);
  for (const Node* node : form.lists("zone"))
    plan.zones.push_back(zone_of(*node, file, faults));
  if (!plan.zones.empty())
    plan.nodes = 0;
  for (const ZonePlan& z : plan.zones)
    plan.nodes += z.nodes;
  if (plan.nodes < 1 || plan.nodes > 40)
    form.fault(root, "1 to 40 nodes in all zones together");
  plan.relays = plan.relays || plan.peers || !plan.zones.empty();
  for (const Node* node : form.lists("class"))
    plan.classes.push_back(class_of(*node, file, faults));
  for (const Node* node : form.lists("boxes")) {
    plan.boxes.push_back(boxes_of(*node, file, faults));
    bool known = plan.zones.empty() ||
                 std::any_of(plan.zones.begin(), plan.zones.end(),
                             [&](const ZonePlan& z) { return z.name == plan.boxes.back().site; });
    if (!known)
      form.fault(*node, "a site that is one of the zones");
  }
  for (const Node* node : form.lists("at")) {
    Change change;
    bool fine = node->items.size() >= 3 && config::read_span(node->items[1], change.at);
    for (std::size_t i = 2; fine && i < node->items.size(); ++i) {
      const Node& what = node->items[i];
      change.verb = what.head();
      change.words.assign(what.items.begin() + (what.items.empty() ? 0 : 1), what.items.end());
      check_change(plan, what, form);
      plan.needs_shim = plan.needs_shim || change.verb == "clock";
      if (auto verb = verbs().find(change.verb); verb != verbs().end())
        plan.relays = plan.relays || verb->second.of_links;
      plan.changes.push_back(change);
    }
    if (!fine)
      form.fault(*node, "(at TIME (WHAT ...) ...)");
  }
  for (const Node* node : form.lists("expect")) {
    Expectation e;
    bool fine = node->items.size() == 4 && config::read_number(node->items[3], e.value);
    if (fine)
      e.metric = node->items[1].atom, e.op = node->items[2].atom;
    if (!fine || (e.op != "=" && e.op != "<=" && e.op != ">="))
      form.fault(*node, "(expect METRIC = or <= or >= NUMBER)");
    else
      plan.expectations.push_back(std::move(e));
  }
  form.text("plugins", plan.plugins);
  form.lists("vary");
  if (const Node* settings = form.list("settings"))
    for (std::size_t i = 1; i < settings->items.size(); ++i)
      plan.settings += to_text(settings->items[i]) + "\n";
  form.end();
  if (plan.classes.empty())
    form.fault(root, "at least one (class NAME ...)");
  if (plan.boxes.empty())
    form.fault(root, "at least one (boxes NAME ...)");
  fail_if(faults);
  return plan;
}

}  // namespace keelflow::lab
