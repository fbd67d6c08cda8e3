#include "config/form.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace keelflow::config {
namespace {

std::string plain(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", value);
  return text;
}

std::string plain(Duration span) {
  double ms = to_ms(span);
  for (auto [unit, size] : {std::pair{"h", 3600e3}, {"m", 60e3}, {"s", 1e3}})
    if (ms >= size && std::fmod(ms, size) == 0)
      return plain(ms / size) + unit;
  return plain(ms) + "ms";
}

}  // namespace

bool read_number(const Node& node, double& into) {
  if (node.is_list || node.quoted)
    return false;
  const char* end = node.atom.data() + node.atom.size();
  auto [at, error] = std::from_chars(node.atom.data(), end, into);
  return error == std::errc() && at == end && std::isfinite(into);
}

bool read_span(const Node& node, Duration& into) {
  if (node.is_list || node.quoted)
    return false;
  double value = 0;
  const char* end = node.atom.data() + node.atom.size();
  auto [at, error] = std::from_chars(node.atom.data(), end, value);
  if (error != std::errc() || !std::isfinite(value) || value < 0 || value > 1e9)
    return false;
  std::string_view unit(at, static_cast<std::size_t>(end - at));
  double size = unit == "ms"  ? 1
                : unit == "s" ? 1e3
                : unit == "m" ? 60e3
                : unit == "h" ? 3600e3
                              : 0;
  into = from_ms(value * size);
  return size > 0;
}

Form::Form(const Node& list, std::size_t positional, const std::string& file, Faults& faults)
    : node_(list), first_(1 + positional), file_(file), faults_(faults) {}

void Form::fault(const Node& at, std::string wanted) {
  faults_.push_back({file_, at.place, at.shown(), std::move(wanted)});
}

std::vector<const Node*> Form::lists(const char* key) {
  known_.insert(key);
  std::vector<const Node*> out;
  for (std::size_t i = first_; i < node_.items.size(); ++i)
    if (node_.items[i].head() == key)
      out.push_back(&node_.items[i]);
  return out;
}

const Node* Form::list(const char* key) {
  auto all = lists(key);
  for (std::size_t i = 1; i < all.size(); ++i)
    fault(*all[i], std::string("'") + key + "' only once");
  return all.empty() ? nullptr : all.front();
}

const Node* Form::one(const char* key) {
  const Node* found = list(key);
  if (!found)
    return nullptr;
  if (found->items.size() == 2)
    return &found->items[1];
  fault(*found, std::string("one value: (") + key + " VALUE)");
  return nullptr;
}

void Form::text(const char* key, std::string& into) {
  const Node* value = one(key);
  if (!value)
    return;
  if (value->is_list || value->atom.empty())
    return fault(*value, "a word or a \"string\"");
  into = value->atom;
}

void Form::words(const char* key, std::vector<std::string>& into) {
  const Node* found = list(key);
  if (!found)
    return;
  if (found->items.size() < 2)
    return fault(*found, std::string("at least one value: (") + key + " VALUE ...)");
  for (std::size_t i = 1; i < found->items.size(); ++i) {
    if (found->items[i].is_list)
      fault(found->items[i], "a word or a \"string\"");
    else
      into.push_back(found->items[i].atom);
  }
}

void Form::number(const char* key, double& into, double least, double most, const char* what) {
  const Node* value = one(key);
  double got = 0;
  if (!value)
    return;
  if (!read_number(*value, got) || got < least || got > most)
    return fault(*value, std::string(what) + " from " + plain(least) + " to " + plain(most));
  into = got;
}

void Form::numbers(const char* key, std::vector<double>& into, double least, double most,
                   const char* what, bool whole) {
  const Node* found = list(key);
  if (!found)
    return;
  into.clear();
  if (found->items.size() < 2)
    return fault(*found, std::string("at least one value: (") + key + " VALUE ...)");
  for (std::size_t i = 1; i < found->items.size(); ++i) {
    double got = 0;
    bool fine = read_number(found->items[i], got) && got >= least && got <= most &&
                (!whole || got == std::floor(got));
    if (fine)
      into.push_back(got);
    else
      fault(found->items[i], std::string(what) + " from " + plain(least) + " to " + plain(most));
  }
}

void Form::span(const char* key, Duration& into, Duration least, Duration most) {
  const Node* value = one(key);
  Duration got{};
  if (!value)
    return;
  if (!read_span(*value, got) || got < least || got > most)
    return fault(*value, "a time from " + plain(least) + " to " + plain(most) +
                             ", as in 250ms, 30s, 5m, 2h");
  into = got;
}

void Form::flag(const char* key, bool& into) {
  std::string word = into ? "yes" : "no";
  choice(key, word, {"yes", "no"});
  into = word == "yes";
}

void Form::choice(const char* key, std::string& into, const std::vector<std::string>& of) {
  const Node* value = one(key);
  if (!value)
    return;
  if (!value->is_list && std::find(of.begin(), of.end(), value->atom) != of.end()) {
    into = value->atom;
    return;
  }
  std::string wanted = "one of";
  for (const std::string& word : of)
    wanted += " " + word;
  fault(*value, wanted);
}

void Form::end() {
  for (std::size_t i = first_; i < node_.items.size(); ++i) {
    const Node& item = node_.items[i];
    if (known_.contains(std::string(item.head())))
      continue;
    std::string wanted = "one of";
    for (const std::string& key : known_)
      wanted += " (" + key + " ...)";
    fault(item, wanted);
  }
}

}  // namespace keelflow::config
