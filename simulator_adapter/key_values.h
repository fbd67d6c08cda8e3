/// Lines of KEY=VALUE, and their values as numbers, flags and lists.
#pragma once

#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulator_adapter/settings_decoder.h"

namespace keelflow::simulator_adapter {

/// The values by key. The text must outlive it. What cannot be read throws SettingsError naming the
/// key.
class KeyValues {
 public:
  explicit KeyValues(std::string_view text) {
    while (!text.empty()) {
      auto end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
      if (line.empty())
        continue;
      auto eq = line.find('=');
      if (eq == std::string_view::npos)
        throw SettingsError("settings: no '=' in line '" + std::string(line) + "'");
      values_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
    }
  }

  std::optional<std::string_view> find(const std::string& key) const {
    auto it = values_.find(key);
    if (it == values_.end())
      return std::nullopt;
    return it->second;
  }

  std::string_view text(const std::string& key) const {
    auto v = find(key);
    if (!v)
      throw SettingsError("settings: '" + key + "' is missing");
    return *v;
  }

  static double to_number(const std::string& key, std::string_view v) {
    double d = 0;
    auto [end, error] = std::from_chars(v.data(), v.data() + v.size(), d);
    if (error != std::errc() || end != v.data() + v.size() || !std::isfinite(d))
      throw SettingsError("settings: '" + key + "' is not a number: '" + std::string(v) + "'");
    return d;
  }

  double number(const std::string& key) const { return to_number(key, text(key)); }
  double number(const std::string& key, double otherwise) const {
    auto v = find(key);
    return v ? to_number(key, *v) : otherwise;
  }
  static int to_int(const std::string& key, double d) {
    if (d != std::floor(d) || std::abs(d) > 1e9)
      throw SettingsError("settings: '" + key + "' is not a whole number");
    return static_cast<int>(d);
  }
  int integer(const std::string& key) const { return to_int(key, number(key)); }
  int integer(const std::string& key, int otherwise) const {
    return to_int(key, number(key, otherwise));
  }
  bool flag(const std::string& key, bool otherwise) const {
    auto v = find(key);
    if (!v)
      return otherwise;
    if (*v != "true" && *v != "false")
      throw SettingsError("settings: '" + key + "' is neither true nor false");
    return *v == "true";
  }
  std::vector<std::string_view> list(const std::string& key) const {
    std::vector<std::string_view> items;
    auto v = find(key);
    if (!v || v->empty())
      return items;
    for (std::string_view remaining = *v;;) {
      auto comma = remaining.find(',');
      items.push_back(remaining.substr(0, comma));
      if (comma == std::string_view::npos)
        return items;
      remaining.remove_prefix(comma + 1);
    }
  }
  double item(const std::string& key, std::size_t i, double otherwise) const {
    auto items = list(key);
    return i < items.size() ? to_number(key, items[i]) : otherwise;
  }

 private:
  std::map<std::string, std::string_view> values_;
};

}  // namespace keelflow::simulator_adapter
