// A small Lua script of the operators' that may label requests and shape or drop progress events. It cannot reach
// endpoints, answers, files or the network, and has a limit on steps and one on memory.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "core/time.h"

struct lua_State;

namespace keelflow {

struct HookRequest {
  std::string_view id, cls;
  double patience_ms = 0, hint_ms = 0;
};

struct HookEvent {
  std::string_view request, cls;
  std::string label;
  int attempt = 1;
  double share = 0;
  bool started = false;
};

class Hook {
 public:
  struct Limits {
    int steps = 5000;                    // virtual machine instructions a call
    std::size_t memory = 128 * 1024;     // bytes, over all calls
    Duration time = std::chrono::milliseconds(10);  // library calls in C are no steps; this catches them
    int most_faults = 16;                // in a row; then the script is left out for good
  };

  // Throws std::runtime_error if the script cannot be loaded or fails while loading.
  Hook(const std::string& script, const std::string& name, Limits limits, Counters& counters);
  ~Hook();
  Hook(const Hook&) = delete;
  Hook& operator=(const Hook&) = delete;

  std::string label(const HookRequest& request);  // on_request(request): a string, or nothing
  // on_progress(event): false drops it, a table may set `label` and `share`; anything else leaves it as it is.
  bool shape(HookEvent& event);
  bool active() const { return faults_ < limits_.most_faults; }

 private:
  struct Memory {
    std::size_t used = 0, most = 0;
  };
  static void* allocate(void* memory, void* block, std::size_t old_size, std::size_t new_size);
  bool call(const char* function, int (*body)(lua_State*), void* argument);

  Limits limits_;
  Counters& counters_;
  Memory memory_;
  lua_State* lua_ = nullptr;
  int faults_ = 0;
};

}  // namespace keelflow
