/// Parses lines of KEY=VALUE and converts the values to numbers, flags and lists.
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

/// The values by key. The text must outlive the object. Values that cannot be parsed throw a
/// SettingsError that names the key.
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
      auto equals = line.find('=');
      if (equals == std::string_view::npos)
        throw SettingsError("settings: no '=' in line '" + std::string(line) + "'");
      values_[std::string(line.substr(0, equals))] = line.substr(equals + 1);
    }
  }

  std::optional<std::string_view> find(const std::string& key) const {
    auto it = values_.find(key);
    if (it == values_.end())
      return std::nullopt;
    return it->second;
  }

  std::string_view text(const std::string& key) const {
    auto value = find(key);
    if (!value)
      throw SettingsError("settings: '" + key + "' is missing");
    return *value;
  }

  static double to_number(const std::string& key, std::string_view value) {
    double parsed = 0;
    auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(parsed))
      throw SettingsError("settings: '" + key + "' is not a number: '" + std::string(value) + "'");
    return parsed;
  }

  double number(const std::string& key) const { return to_number(key, text(key)); }
  double number(const std::string& key, double fallback) const {
    auto value = find(key);
    return value ? to_number(key, *value) : fallback;
  }
  static int to_int(const std::string& key, double value) {
    if (value != std::floor(value) || std::abs(value) > 1e9)
      throw SettingsError("settings: '" + key + "' is not a whole number from -1e9 to 1e9");
    return static_cast<int>(value);
  }
  int integer(const std::string& key) const { return to_int(key, number(key)); }
  int integer(const std::string& key, int fallback) const {
    return to_int(key, number(key, fallback));
  }
  bool flag(const std::string& key, bool fallback) const {
    auto value = find(key);
    if (!value)
      return fallback;
    if (*value != "true" && *value != "false")
      throw SettingsError("settings: '" + key + "' is neither true nor false");
    return *value == "true";
  }
  std::vector<std::string_view> list(const std::string& key) const {
    std::vector<std::string_view> items;
    auto value = find(key);
    if (!value || value->empty())
      return items;
    for (std::string_view remaining = *value;;) {
      auto comma = remaining.find(',');
      items.push_back(remaining.substr(0, comma));
      if (comma == std::string_view::npos)
        return items;
      remaining.remove_prefix(comma + 1);
    }
  }
  double item(const std::string& key, std::size_t i, double fallback) const {
    auto items = list(key);
    return i < items.size() ? to_number(key, items[i]) : fallback;
  }

 private:
  std::map<std::string, std::string_view> values_;
};

}  // namespace keelflow::simulator_adapter
