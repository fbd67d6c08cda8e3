#include "hooks/hook.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <lua.hpp>
#include <stdexcept>

#include "log/log.h"

namespace keelflow {
namespace {

constexpr std::size_t kMostLabel = 200;

// Only what ends within its count of steps is left in. Taken out are: whatever reaches the outside (io, os, load,
// require); pcall and coroutines, which could catch or dodge the step limit; and library loops that run in C and
// are not counted (patterns that backtrack, rep, table.move, table.sort).
constexpr const char* kBase[] = {"assert", "error", "ipairs", "next", "pairs", "select", "tonumber", "tostring", "type"};
constexpr const char* kString[] = {"byte", "char", "format", "len", "lower", "reverse", "sub", "upper"};
constexpr const char* kTable[] = {"concat", "insert", "remove"};
constexpr const char* kMath[] = {"abs", "ceil", "floor", "fmod", "max", "min", "pi", "huge"};

template <std::size_t N>
void keep_only(lua_State* lua, int table, const char* const (&names)[N]) {
  table = lua_absindex(lua, table);
  lua_newtable(lua);
  for (const char* name : names) {
    lua_getfield(lua, table, name);
    lua_setfield(lua, -2, name);
  }
  // Emptied in place, since the metatable of strings refers to this very table.
  for (lua_pushnil(lua); lua_next(lua, table) != 0;) {
    lua_pop(lua, 1);
    lua_pushvalue(lua, -1);
    lua_pushnil(lua);
    lua_settable(lua, table);
  }
  for (const char* name : names) {
    lua_getfield(lua, -1, name);
    lua_setfield(lua, table, name);
  }
  lua_pop(lua, 1);
}

int open_sandbox(lua_State* lua) {
  luaL_requiref(lua, "_G", luaopen_base, 1);
  keep_only(lua, -1, kBase);
  luaL_requiref(lua, "string", luaopen_string, 1);
  keep_only(lua, -1, kString);
  luaL_requiref(lua, "table", luaopen_table, 1);
  keep_only(lua, -1, kTable);
  luaL_requiref(lua, "math", luaopen_math, 1);
  keep_only(lua, -1, kMath);
  lua_settop(lua, 0);
  return 0;
}

void out_of_steps(lua_State* lua, lua_Debug*) { luaL_error(lua, "out of steps"); }

void set(lua_State* lua, const char* key, std::string_view value) {
  lua_pushlstring(lua, value.data(), value.size());
  lua_setfield(lua, -2, key);
}
void set(lua_State* lua, const char* key, double value) {
  lua_pushnumber(lua, value);
  lua_setfield(lua, -2, key);
}

struct LabelCall {
  const HookRequest& request;
  std::string label;
};
struct ShapeCall {
  HookEvent& event;
  bool keep = true;
};

std::string take_label(lua_State* lua, int at) {
  if (lua_type(lua, at) != LUA_TSTRING) return {};
  std::size_t size = 0;
  const char* text = lua_tolstring(lua, at, &size);
  return {text, std::min(size, kMostLabel)};
}

// These run inside lua_pcall: no object with a destructor may live across a call that can raise.
int run_label(lua_State* lua) {
  auto* call = static_cast<LabelCall*>(lua_touserdata(lua, 1));
  if (lua_getglobal(lua, "on_request") != LUA_TFUNCTION) return 0;
  lua_newtable(lua);
  set(lua, "id", call->request.id);
  set(lua, "class", call->request.cls);
  set(lua, "patience_ms", call->request.patience_ms);
  set(lua, "hint_ms", call->request.hint_ms);
  lua_call(lua, 1, 1);
  call->label = take_label(lua, -1);
  return 0;
}

int run_shape(lua_State* lua) {
  auto* call = static_cast<ShapeCall*>(lua_touserdata(lua, 1));
  HookEvent& event = call->event;
  if (lua_getglobal(lua, "on_progress") != LUA_TFUNCTION) return 0;
  lua_newtable(lua);
  set(lua, "request", event.request);
  set(lua, "class", event.cls);
  set(lua, "label", event.label);
  set(lua, "type", event.started ? "started" : "progress");
  set(lua, "attempt", event.attempt);
  set(lua, "share", event.share);
  lua_call(lua, 1, 1);
  if (lua_isboolean(lua, -1)) call->keep = lua_toboolean(lua, -1);
  if (!lua_istable(lua, -1)) return 0;
  if (lua_getfield(lua, -1, "label") == LUA_TSTRING) event.label = take_label(lua, -1);
  if (lua_getfield(lua, -2, "share") == LUA_TNUMBER) {
    double share = lua_tonumber(lua, -1);
    if (std::isfinite(share)) event.share = std::clamp(share, 0.0, 1.0);
  }
  return 0;
}

}  // namespace

void* Hook::allocate(void* memory, void* block, std::size_t old_size, std::size_t new_size) {
  auto& account = *static_cast<Memory*>(memory);
  if (!block) old_size = 0;  // then it tells the kind of object
  if (new_size == 0) {
    account.used -= old_size;
    std::free(block);
    return nullptr;
  }
  if (new_size > old_size && account.used + (new_size - old_size) > account.most) return nullptr;
  void* fresh = std::realloc(block, new_size);
  if (fresh) account.used = account.used - old_size + new_size;
  return fresh;
}

Hook::Hook(const std::string& script, const std::string& name, Limits limits, Counters& counters)
    : limits_(limits), counters_(counters), memory_{0, limits.memory}, lua_(lua_newstate(allocate, &memory_)) {
  if (!lua_) throw std::runtime_error("hook: no memory");
  auto must = [&](int status) {
    if (status == LUA_OK) return;
    std::string text = lua_isstring(lua_, -1) ? lua_tostring(lua_, -1) : "unknown fault";
    lua_close(lua_);
    throw std::runtime_error("hook: " + text);
  };
  lua_pushcfunction(lua_, open_sandbox);
  must(lua_pcall(lua_, 0, 0, 0));
  must(luaL_loadbufferx(lua_, script.data(), script.size(), name.c_str(), "t"));  // text: bytecode is not checked
  lua_sethook(lua_, out_of_steps, LUA_MASKCOUNT, limits_.steps);
  must(lua_pcall(lua_, 0, 0, 0));
}

Hook::~Hook() { lua_close(lua_); }

bool Hook::call(const char* function, int (*body)(lua_State*), void* argument) {
  if (!active()) return false;
  lua_sethook(lua_, out_of_steps, LUA_MASKCOUNT, limits_.steps);  // the count starts anew
  lua_pushcfunction(lua_, body);
  lua_pushlightuserdata(lua_, argument);
  TimePoint begun = Clock::now();
  bool fine = lua_pcall(lua_, 1, 0, 0) == LUA_OK;
  if (fine && Clock::now() - begun > limits_.time) {
    fine = false;
    lua_pushliteral(lua_, "out of time");
  }
  if (fine) {
    faults_ = 0;
  } else {
    ++counters_.hook_faults;
    ++faults_;
    log::warning(log::Subsystem::progress, "hook-fault",
                 {{"function", function}, {"fault", lua_isstring(lua_, -1) ? lua_tostring(lua_, -1) : "?"}, {"left-out", !active()}});
  }
  lua_settop(lua_, 0);
  return fine;
}

std::string Hook::label(const HookRequest& request) {
  LabelCall argument{request, {}};
  return call("on_request", run_label, &argument) ? argument.label : "";
}

bool Hook::shape(HookEvent& event) {
  HookEvent before = event;
  ShapeCall argument{event};
  if (!call("on_progress", run_shape, &argument)) event = before;
  else if (!argument.keep) return ++counters_.hook_dropped, false;
  return true;
}

}  // namespace keelflow
