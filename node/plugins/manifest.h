// A plug-in's folder: plugin.sexp says what it is and what it may use, main.lua is its source. Both
// are read by the node, once for each load; the host is handed what it needs and opens no file.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/sexp.h"
#include "core/time.h"
#include "plugins/verdict.h"

namespace keelflow::plugins {

inline constexpr int kApi = 1;
inline constexpr std::size_t kMostSource = 64 * 1024, kMostPlugins = 16, kMostLabel = 200;

enum class Entry : std::uint8_t { on_request, on_progress, on_answer, on_tick };
inline constexpr std::array<std::string_view, 4> kEntries = {"on_request", "on_progress",
                                                             "on_answer", "on_tick"};

using Value = std::variant<bool, double, std::string,
                           std::vector<std::string>>;  // double: numbers, and spans in seconds
using Values = std::map<std::string, Value>;

struct Manifest {
  struct Setting {
    std::string type;  // flag, number, text, words, span
    Value value;       // the default
  };
  std::string name, version;
  std::array<bool, kEntries.size()> entries{};
  std::vector<std::string> classes, tenants;     // that it sees; empty: all
  Duration time = std::chrono::milliseconds(2);  // processor time of a call
  std::size_t memory = 1024 * 1024;              // bytes that its Lua state may use
  Duration tick = std::chrono::seconds(1);       // between two calls of on_tick
  Fallback fallback = Fallback::allow;
  std::map<std::string, Setting> settings;
  bool has(Entry e) const { return entries[static_cast<std::size_t>(e)]; }
};

struct Package {  // what a host is started with
  Manifest manifest;
  std::string source;
  Values values;                  // of its settings, as the node's file has them
  std::uint64_t fingerprint = 0;  // of all that
};

// One (plugin NAME ...) of the node's file.
struct Wanted {
  std::string name;
  bool enabled = true;
  Duration answer_within = std::chrono::milliseconds(20);  // then its fallback holds
  std::vector<config::Node> values;                        // (KEY VALUE...) of (set ...)
  config::Place place;
};

// All faults, of the manifest, of the source's size and of the values. `file` is the node's file,
// for the values.
Package load(const std::string& folder, const Wanted& wanted, const std::string& file,
             config::Faults& faults);
// A folder alone, with its defaults.
Package load(const std::string& folder, config::Faults& faults);

}  // namespace keelflow::plugins
