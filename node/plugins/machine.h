// The Lua state of one plug-in, with its budgets. It runs in a host, and in the command line's
// `plugin test`; never in the node's own process. A library call that runs in C is no step of Lua's
// and is not ended here: the host's processor clock does that, by ending the host.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "plugins/manifest.h"
#include "plugins/wire.h"

struct lua_State;

namespace keelflow::plugins {

struct PluginFault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What a plug-in does beside answering.
class Outside {
 public:
  virtual ~Outside() = default;
  virtual void kept(const wire::Kept& entry) = 0;
  virtual void count(const wire::Count& count) = 0;
  virtual void line(std::string_view text) = 0;
};

// The table that a plug-in keeps over reloads; of bounded entries and bytes.
class KeptTable {
 public:
  static constexpr std::size_t kMostEntries = 512, kMostBytes = 64 * 1024;
  const std::string* find(std::string_view key, double now) const;
  // False: there is no room. An empty value takes the entry out. Entries that are over make room.
  bool put(const wire::Kept& entry, double now);
  std::vector<wire::Kept> entries() const;
  std::size_t count() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::string value;
    double until = 0;
  };
  static std::size_t size(std::string_view key, std::string_view value) {
    return key.size() + value.size() + 64;
  }
  void erase(std::map<std::string, Entry, std::less<>>::iterator it);
  std::map<std::string, Entry, std::less<>> entries_;
  std::size_t bytes_ = 0;
};

class Machine {
 public:
  // Nothing runs yet. `hello.source` is text; `outside` must outlive the Machine.
  Machine(const wire::Hello& hello, Outside& outside);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  KeptTable& table() { return table_; }
  // Runs the source, checks that its entry points are those of the manifest, and runs its
  // `self_test` if there is one. Throws PluginFault, with the line where Lua knows one.
  void load(double now);
  // Each throws PluginFault: an error in it, out of time, out of memory, or an answer of a wrong
  // type.
  Verdict on_request(const wire::Request& request);
  Shape on_progress(const wire::Event& event);
  void on_answer(const wire::Answer& answer);
  void on_tick(double now);

 private:
  struct Memory {
    std::size_t used = 0, most = 0;
  };
  struct Api;
  static void* allocate(void* memory, void* block, std::size_t old_size, std::size_t new_size);
  void run(int (*body)(lua_State*), void* argument, double now);
  [[noreturn]] void fail();
  bool keep(std::string_view key, std::string_view value, double seconds);
  void tell_count(std::string_view name, double by);

  wire::Hello hello_;
  Outside& outside_;
  KeptTable table_;
  Memory memory_;
  lua_State* lua_ = nullptr;
  Duration ends_{};  // of the call in hand, on the thread's processor clock
  double now_ = 0;
  int changes_ = 0;
};

}  // namespace keelflow::plugins
