#include "plugins/manifest.h"

#include <xxhash.h>

#include <algorithm>
#include <filesystem>

#include "config/config.h"
#include "config/form.h"

namespace keelflow::plugins {
namespace {

using namespace std::chrono_literals;
using config::Faults;
using config::Form;
using config::Node;

const std::vector<std::string> kTypes = {"flag", "number", "text", "words", "span"};

// The values that follow a setting's name. False: they are not of that type.
bool read_value(const std::string& type, const std::vector<Node>& items, std::size_t first,
                Value& into) {
  if (items.size() <= first)
    return type == "words" ? (into = std::vector<std::string>{}, true) : false;
  if (type != "words" && items.size() != first + 1)
    return false;
  const Node& one = items[first];
  double number = 0;
  Duration span{};
  if (type == "flag" && !one.is_list && (one.atom == "yes" || one.atom == "no"))
    return into = one.atom == "yes", true;
  if (type == "number" && config::read_number(one, number))
    return into = number, true;
  if (type == "span" && config::read_span(one, span))
    return into = to_ms(span) / 1000, true;
  if (type == "text" && !one.is_list)
    return into = one.atom, true;
  if (type != "words")
    return false;
  std::vector<std::string> words;
  for (std::size_t i = first; i < items.size(); ++i) {
    if (items[i].is_list)
      return false;
    words.push_back(items[i].atom);
  }
  into = std::move(words);
  return true;
}

std::string wanted_for(const std::string& type) {
  return type == "flag"     ? "yes or no"
         : type == "number" ? "a number"
         : type == "span"   ? "a time, as in 250ms, 30s, 5m, 2h"
         : type == "text"   ? "one word or \"string\""
                            : "words or \"strings\"";
}

void setting(const Node& node, Form& form, Manifest& out) {
  const auto& items = node.items;
  bool named = items.size() >= 3 && !items[1].is_list && !items[2].is_list;
  if (!named || std::find(kTypes.begin(), kTypes.end(), items[2].atom) == kTypes.end())
    return form.fault(node,
                      "(setting NAME TYPE DEFAULT), the type one of flag number text words span");
  Manifest::Setting made{items[2].atom, {}};
  if (!read_value(made.type, items, 3, made.value))
    return form.fault(node, "a default that is " + wanted_for(made.type));
  if (!out.settings.emplace(items[1].atom, std::move(made)).second)
    form.fault(node, "each setting once");
}

Manifest decode(const Node& root, const std::string& file, Faults& faults) {
  Form form(root, 1, file, faults);
  Manifest out;
  if (root.items.size() > 1 && !root.items[1].is_list)
    out.name = root.items[1].atom;
  else
    form.fault(root, "a name: (plugin NAME ...)");
  form.text("version", out.version);
  double api = 0;
  form.number("api", api, kApi, kApi, "the api's number,");
  if (api == 0)
    form.fault(root, "(api 1)");
  std::vector<std::string> entries;
  form.words("entry", entries);
  if (entries.empty())
    form.fault(root, "(entry NAME ...), one or more of on_request on_progress on_answer on_tick");
  for (const std::string& entry : entries) {
    auto at = std::find(kEntries.begin(), kEntries.end(), entry);
    if (at != kEntries.end())
      out.entries[static_cast<std::size_t>(at - kEntries.begin())] = true;
    else
      form.fault(*form.list("entry"),
                 "entry points out of on_request on_progress on_answer on_tick");
  }
  if (const Node* sees = form.list("sees")) {
    Form inner(*sees, 0, file, faults);
    inner.words("class", out.classes);
    inner.words("tenant", out.tenants);
    inner.end();
  }
  if (const Node* budget = form.list("budget")) {
    Form inner(*budget, 0, file, faults);
    inner.span("time", out.time, 100us, 100ms);
    double kilobytes = static_cast<double>(out.memory) / 1024;
    inner.number("memory", kilobytes, 64, 16 * 1024, "kilobytes");
    out.memory = static_cast<std::size_t>(kilobytes * 1024);
    inner.end();
  }
  form.span("tick", out.tick, 100ms, 1h);
  std::string fallback = "allow";
  form.choice("fallback", fallback, {"allow", "refuse"});
  out.fallback = fallback == "refuse" ? Fallback::refuse : Fallback::allow;
  for (const Node* node : form.lists("setting"))
    setting(*node, form, out);
  form.end();
  return out;
}

std::string text_of(const Value& value) {
  if (const auto* flag = std::get_if<bool>(&value))
    return *flag ? "y" : "n";
  if (const auto* number = std::get_if<double>(&value))
    return std::to_string(*number);
  if (const auto* text = std::get_if<std::string>(&value))
    return *text;
  std::string out;
  for (const std::string& word : std::get<std::vector<std::string>>(value))
    out += word + '\0';
  return out;
}

std::string read(const std::string& path, std::size_t most, Faults& faults) {
  std::error_code error;
  auto size = std::filesystem::file_size(path, error);
  if (error)
    return faults.push_back({path, {}, error.message(), "a file that can be read"}), "";
  if (size > most)
    return faults.push_back(
               {path, {}, std::to_string(size) + " bytes", "at most " + std::to_string(most)}),
           "";
  return read_file(path);
}

}  // namespace

Package load(const std::string& folder, Faults& faults) {
  Package out;
  std::string file = folder + "/plugin.sexp", text = read(file, kMostSource, faults);
  if (!faults.empty())
    return out;
  auto roots = config::read_sexps(text, file, faults);
  if (roots.size() != 1 || roots[0].head() != "plugin") {
    faults.push_back({file, roots.empty() ? config::Place{} : roots[0].place,
                      roots.empty() ? "nothing" : roots[0].shown(), "one (plugin NAME ...)"});
    return out;
  }
  out.manifest = decode(roots[0], file, faults);
  out.source = read(folder + "/main.lua", kMostSource, faults);
  for (const auto& [name, s] : out.manifest.settings)
    out.values[name] = s.value;
  std::string all = text + '\0' + out.source;
  out.fingerprint = XXH3_64bits(all.data(), all.size());
  return out;
}

Package load(const std::string& folder, const Wanted& wanted, const std::string& file,
             Faults& faults) {
  std::size_t before = faults.size();
  Package out = load(folder, faults);
  if (faults.size() > before)
    return out;
  if (out.manifest.name != wanted.name)
    faults.push_back(
        {file, wanted.place,
         "plug-in '" + wanted.name + "', whose manifest says '" + out.manifest.name + "'",
         "one name"});
  for (const Node& node : wanted.values) {
    auto known = out.manifest.settings.find(std::string(node.head()));
    if (known == out.manifest.settings.end()) {
      std::string names;
      for (const auto& [name, s] : out.manifest.settings)
        names += " " + name;
      faults.push_back(
          {file, node.place, node.shown(),
           names.empty() ? "no setting: '" + wanted.name + "' has none" : "one of" + names});
      continue;
    }
    if (!read_value(known->second.type, node.items, 1, out.values[known->first]))
      faults.push_back({file, node.place, node.shown(), wanted_for(known->second.type)});
  }
  std::string all;
  for (const auto& [name, value] : out.values)
    all += name + '\0' + text_of(value) + '\0';
  out.fingerprint ^= XXH3_64bits(all.data(), all.size());
  return out;
}

}  // namespace keelflow::plugins
