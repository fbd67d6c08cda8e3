// Structured logging: an event, then fields, as key=value or as JSON lines. Records go through a
// bounded queue to a thread that writes them; when whoever reads the log stalls, the oldest are
// dropped and counted, and the loop goes on. spdlog does the queue, the thread and the levels.
// Nothing is formatted for a record that its level leaves out.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace keelflow::log {

enum class Subsystem : std::uint8_t {
  node,
  inbound,
  routes,
  moves,
  admin,
  progress,
  plugins,
  fleet,
  discovery
};
enum class Level : std::uint8_t { debug, info, warning, error };

std::string_view word(Subsystem subsystem);
std::string_view word(Level level);
std::optional<Level> level_of(std::string_view word);
const std::vector<std::string>& level_words();
const std::vector<Subsystem>& all_subsystems();

struct Settings {
  bool json = false;
  Level level = Level::info;
  std::map<Subsystem, Level> levels;  // where they differ
  std::string file;                   // empty: standard error
};

using Value = std::variant<std::string_view, double, std::int64_t, std::uint64_t, bool>;
struct Field {
  Field(std::string_view k, std::string_view v) : key(k), value(v) {}
  Field(std::string_view k, const std::string& v) : key(k), value(std::string_view(v)) {}
  Field(std::string_view k, const char* v) : key(k), value(std::string_view(v)) {}
  Field(std::string_view k, double v) : key(k), value(v) {}
  Field(std::string_view k, int v) : key(k), value(std::int64_t{v}) {}
  Field(std::string_view k, std::uint64_t v) : key(k), value(v) {}
  Field(std::string_view k, bool v) : key(k), value(v) {}
  std::string_view key;
  Value value;
};

// Starts logging, or goes over to other settings. Signals must be blocked before, as a thread is
// started. Before it and after `close`, records are dropped. Throws std::system_error if the file
// cannot be opened.
void open(const Settings& settings);
void reopen();  // the file, after it was renamed
// Waits a little for what is queued to be written. False: whoever reads stalls; the process then
// ends by _exit, as the thread cannot be joined.
bool close();

bool on(Subsystem subsystem, Level level);
void write(Subsystem subsystem, Level level, std::string_view event,
           const std::vector<Field>& fields = {});
std::uint64_t dropped();

inline void info(Subsystem s, std::string_view event, const std::vector<Field>& fields = {}) {
  write(s, Level::info, event, fields);
}
inline void warning(Subsystem s, std::string_view event, const std::vector<Field>& fields = {}) {
  write(s, Level::warning, event, fields);
}
inline void error(Subsystem s, std::string_view event, const std::vector<Field>& fields = {}) {
  write(s, Level::error, event, fields);
}

// For tests: a record's text as it is written, without time and level.
std::string render(bool json, std::string_view event, const std::vector<Field>& fields);

}  // namespace keelflow::log
