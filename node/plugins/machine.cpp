#include "plugins/machine.h"

#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <lua.hpp>

namespace keelflow::plugins {
namespace {

using namespace std::chrono_literals;

constexpr int kStepsBetweenLooks = 1000;
constexpr Duration kLoadTime = 200ms;  // of processor time, for the source and for its own test

// Left out: whatever reaches the outside (io, os, load, require), and what could dodge the budget
// inside Lua: pcall and coroutines, and metatables, whose finalizers run without being counted.
constexpr const char* kBase[] = {"assert", "error",    "ipairs",   "next", "pairs",
                                 "select", "tonumber", "tostring", "type"};

Duration processor_time() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

Machine* self(lua_State* lua) {
  return *static_cast<Machine**>(lua_getextraspace(lua));
}

void set(lua_State* lua, const char* key, std::string_view value) {
  lua_pushlstring(lua, value.data(), value.size());
  lua_setfield(lua, -2, key);
}
void set(lua_State* lua, const char* key, double value) {
  lua_pushnumber(lua, value);
  lua_setfield(lua, -2, key);
}
void set(lua_State* lua, const char* key, bool value) {
  lua_pushboolean(lua, value);
  lua_setfield(lua, -2, key);
}

// Of the table at the top. Absent or of another type are told apart: the second is the author's
// mistake.
bool number(lua_State* lua, const char* key, double& into) {
  int type = lua_getfield(lua, -1, key);
  if (type != LUA_TNIL && type != LUA_TNUMBER)
    luaL_error(lua, "'%s' is no number", key);
  if (type == LUA_TNUMBER)
    into = lua_tonumber(lua, -1);
  lua_pop(lua, 1);
  if (type == LUA_TNUMBER && !std::isfinite(into))
    luaL_error(lua, "'%s' is not finite", key);
  return type == LUA_TNUMBER;
}

bool flag(lua_State* lua, const char* key) {
  int type = lua_getfield(lua, -1, key);
  bool value = lua_toboolean(lua, -1);
  lua_pop(lua, 1);
  if (type != LUA_TNIL && type != LUA_TBOOLEAN)
    luaL_error(lua, "'%s' is neither true nor false", key);
  return value;
}

// Leaves the text on the stack, as it must live until the caller has copied it.
const char* text(lua_State* lua, const char* key, std::size_t& size) {
  int type = lua_getfield(lua, -1, key);
  if (type == LUA_TNIL)
    return nullptr;
  if (type != LUA_TSTRING)
    luaL_error(lua, "'%s' is no string", key);
  const char* out = lua_tolstring(lua, -1, &size);
  size = std::min(size, kMostLabel);
  return out;
}

void check_keys(lua_State* lua, std::initializer_list<const char*> known) {
  for (lua_pushnil(lua); lua_next(lua, -2) != 0; lua_pop(lua, 1)) {
    const char* key = lua_type(lua, -2) == LUA_TSTRING ? lua_tostring(lua, -2) : "?";
    if (std::none_of(known.begin(), known.end(),
                     [&](const char* k) { return std::string_view(k) == key; }))
      luaL_error(lua, "an answer may not have '%s'", key);
  }
}

struct RequestCall {
  const wire::Request& request;
  Verdict verdict;
};
struct EventCall {
  const wire::Event& event;
  Shape shape;
};

}  // namespace

// What the source may call. No object with a destructor lives across a call that can raise: an
// error is a long jump.
struct Machine::Api {
  static int now(lua_State* lua) { return lua_pushnumber(lua, self(lua)->now_), 1; }

  static int get(lua_State* lua) {
    std::size_t size = 0;
    const char* key = luaL_checklstring(lua, 1, &size);
    const std::string* value = self(lua)->table_.find({key, size}, self(lua)->now_);
    if (!value)
      return lua_pushnil(lua), 1;
    lua_pushlstring(lua, value->data(), value->size());
    return 1;
  }

  // keep.set(KEY, VALUE [, SECONDS]): false where there is no room.
  static int put(lua_State* lua) {
    std::size_t key_size = 0, value_size = 0;
    const char* key = luaL_checklstring(lua, 1, &key_size);
    const char* value = lua_isnoneornil(lua, 2) ? "" : luaL_checklstring(lua, 2, &value_size);
    double seconds = luaL_optnumber(lua, 3, 0);
    luaL_argcheck(lua, key_size > 0 && key_size <= wire::kMostKey, 1, "a key has 1 to 64 bytes");
    luaL_argcheck(lua, value_size <= wire::kMostKept, 2, "a value has at most 1024 bytes");
    luaL_argcheck(lua, std::isfinite(seconds) && seconds >= 0, 3, "seconds from 0 on");
    if (++self(lua)->changes_ > wire::kMostChanges)
      return luaL_error(lua, "more than %d changes of its table in one call", wire::kMostChanges);
    lua_pushboolean(lua, self(lua)->keep({key, key_size}, {value, value_size}, seconds));
    return 1;
  }

  static int count(lua_State* lua) {
    std::size_t size = 0;
    const char* name = luaL_checklstring(lua, 1, &size);
    double by = luaL_optnumber(lua, 2, 1);
    luaL_argcheck(lua, size > 0 && size <= wire::kMostName, 1,
                  "a counter's name has 1 to 40 bytes");
    luaL_argcheck(lua, std::isfinite(by) && by >= 0, 2, "a counter only grows");
    self(lua)->tell_count({name, size}, by);
    return 0;
  }

  static int log(lua_State* lua) {
    std::size_t size = 0;
    const char* line = luaL_checklstring(lua, 1, &size);
    self(lua)->outside_.line({line, std::min(size, wire::kMostLine)});
    return 0;
  }

  static void out_of_time(lua_State* lua, lua_Debug*) {
    if (processor_time() >= self(lua)->ends_)
      luaL_error(lua, "out of time");
  }

  static int open(lua_State* lua) {
    luaL_requiref(lua, "_G", luaopen_base, 0);
    lua_newtable(lua);
    for (const char* name : kBase) {
      lua_getfield(lua, -2, name);
      lua_setfield(lua, -2, name);
    }
    for (const auto& [name, open_library] :
         {std::pair<const char*, lua_CFunction>{"string", luaopen_string},
          {"table", luaopen_table},
          {"math", luaopen_math},
          {"utf8", luaopen_utf8}}) {
      luaL_requiref(lua, name, open_library, 0);
      lua_setfield(lua, -2, name);
    }
    lua_getfield(lua, -1, "string");  // string.dump gives bytecode, which nothing here takes
    lua_pushnil(lua);
    lua_setfield(lua, -2, "dump");
    lua_pop(lua, 1);
    lua_newtable(lua);
    lua_pushcfunction(lua, get), lua_setfield(lua, -2, "get");
    lua_pushcfunction(lua, put), lua_setfield(lua, -2, "set");
    lua_setfield(lua, -2, "keep");
    lua_pushcfunction(lua, now), lua_setfield(lua, -2, "now");
    lua_pushcfunction(lua, count), lua_setfield(lua, -2, "count");
    lua_pushcfunction(lua, log), lua_setfield(lua, -2, "log");
    settings(lua);
    lua_setfield(lua, -2, "settings");
    lua_rawseti(lua, LUA_REGISTRYINDEX,
                LUA_RIDX_GLOBALS);  // the source sees these and nothing else
    return 0;
  }

  static void settings(lua_State* lua) {
    lua_newtable(lua);
    for (const auto& [name, value] : self(lua)->hello_.values) {
      if (const auto* yes = std::get_if<bool>(&value))
        lua_pushboolean(lua, *yes);
      if (const auto* figure = std::get_if<double>(&value))
        lua_pushnumber(lua, *figure);
      if (const auto* word = std::get_if<std::string>(&value))
        lua_pushlstring(lua, word->data(), word->size());
      if (const auto* words = std::get_if<std::vector<std::string>>(&value)) {
        lua_newtable(lua);
        for (std::size_t i = 0; i < words->size(); ++i) {
          lua_pushlstring(lua, (*words)[i].data(), (*words)[i].size());
          lua_rawseti(lua, -2, static_cast<lua_Integer>(i + 1));
        }
      }
      lua_setfield(lua, -2, name.c_str());
    }
  }

  static int start(lua_State* lua) {
    const wire::Hello& hello = self(lua)->hello_;
    lua_pushfstring(lua, "=%s/main.lua", hello.name.c_str());
    // Text only: Lua does not check bytecode.
    if (luaL_loadbufferx(lua, hello.source.data(), hello.source.size(), lua_tostring(lua, -1),
                         "t") != LUA_OK)
      return lua_error(lua);
    lua_call(lua, 0, 0);
    for (std::size_t i = 0; i < kEntries.size(); ++i) {
      bool wanted = hello.entries >> i & 1,
           there = lua_getglobal(lua, kEntries[i].data()) == LUA_TFUNCTION;
      if (wanted && !there)
        return luaL_error(lua, "the manifest names %s, which the source does not define",
                          kEntries[i].data());
      if (!wanted && there)
        return luaL_error(lua, "the source defines %s, which the manifest does not name",
                          kEntries[i].data());
      lua_pop(lua, 1);
    }
    if (lua_getglobal(lua, "self_test") != LUA_TFUNCTION)
      return 0;
    lua_call(lua, 0, 1);
    if (lua_isboolean(lua, -1) && !lua_toboolean(lua, -1))
      return luaL_error(lua, "its self_test said false");
    return 0;
  }

  static int request(lua_State* lua) {
    auto* call = static_cast<RequestCall*>(lua_touserdata(lua, 1));
    const wire::Request& r = call->request;
    lua_getglobal(lua, "on_request");
    lua_newtable(lua);
    set(lua, "id", r.id), set(lua, "class", r.class_index), set(lua, "tenant", r.tenant),
        set(lua, "path", r.path);
    set(lua, "object", r.object), set(lua, "again", r.repeat);
    set(lua, "patience", r.remaining_timeout_ms / 1000), set(lua, "hint", r.hint_ms / 1000);
    lua_call(lua, 1, 1);
    if (lua_isnil(lua, -1))
      return 0;
    if (!lua_istable(lua, -1))
      return luaL_error(lua, "on_request must return nothing or a table");
    check_keys(lua, {"refuse", "come_back", "hold", "weigh", "label"});
    Verdict& v = call->verdict;
    v.refuse = flag(lua, "refuse");
    if (number(lua, "come_back", v.come_back_ms))
      v.come_back_ms *= 1000;
    if (number(lua, "hold", v.hold_ms))
      v.hold_ms *= 1000;
    number(lua, "weigh", v.queue_weight);
    if (v.come_back_ms < 0 || v.hold_ms < 0 || v.queue_weight <= 0)
      return luaL_error(lua, "a time is below zero, or a weight not above it");
    std::size_t size = 0;
    if (const char* label = text(lua, "label", size))
      v.label.assign(label, size);
    return 0;
  }

  static int progress(lua_State* lua) {
    auto* call = static_cast<EventCall*>(lua_touserdata(lua, 1));
    const wire::Event& e = call->event;
    lua_getglobal(lua, "on_progress");
    lua_newtable(lua);
    set(lua, "request", e.request), set(lua, "class", e.class_index), set(lua, "tenant", e.tenant),
        set(lua, "label", e.label);
    set(lua, "type", e.started ? std::string_view("started") : "progress");
    set(lua, "attempt", static_cast<double>(e.attempt)), set(lua, "share", e.share);
    lua_call(lua, 1, 1);
    Shape& s = call->shape;
    if (lua_isnil(lua, -1))
      return 0;
    if (lua_isboolean(lua, -1))
      return s.drop = !lua_toboolean(lua, -1), 0;
    if (!lua_istable(lua, -1))
      return luaL_error(lua, "on_progress must return nothing, false or a table");
    check_keys(lua, {"label", "share"});
    s.has_share = number(lua, "share", s.share);
    std::size_t size = 0;
    if (const char* label = text(lua, "label", size))
      s.has_label = true, s.label.assign(label, size);
    return 0;
  }

  static int answer(lua_State* lua) {
    const auto& a = *static_cast<const wire::Answer*>(lua_touserdata(lua, 1));
    lua_getglobal(lua, "on_answer");
    lua_newtable(lua);
    set(lua, "id", a.id), set(lua, "class", a.class_index), set(lua, "tenant", a.tenant),
        set(lua, "how", a.how);
    set(lua, "elapsed", a.elapsed_ms / 1000);
    lua_call(lua, 1, 0);
    return 0;
  }

  static int tick(lua_State* lua) {
    lua_getglobal(lua, "on_tick");
    lua_pushnumber(lua, self(lua)->now_);
    lua_call(lua, 1, 0);
    return 0;
  }
};

// ---- the table ----

const std::string* KeptTable::find(std::string_view key, double now) const {
  auto it = entries_.find(key);
  return it != entries_.end() && (it->second.until == 0 || it->second.until > now)
             ? &it->second.value
             : nullptr;
}

void KeptTable::erase(std::map<std::string, Entry, std::less<>>::iterator it) {
  bytes_ -= size(it->first, it->second.value);
  entries_.erase(it);
}

bool KeptTable::put(const wire::Kept& entry, double now) {
  if (entry.key.empty() || entry.key.size() > wire::kMostKey ||
      entry.value.size() > wire::kMostKept)
    return false;
  if (auto it = entries_.find(entry.key); it != entries_.end())
    erase(it);
  if (entry.value.empty())
    return true;
  auto fits = [&] {
    return entries_.size() < kMostEntries && bytes_ + size(entry.key, entry.value) <= kMostBytes;
  };
  for (auto it = entries_.begin(); !fits() && it != entries_.end();) {
    auto next = std::next(it);
    if (it->second.until != 0 && it->second.until <= now)
      erase(it);
    it = next;
  }
  if (!fits())
    return false;
  bytes_ += size(entry.key, entry.value);
  entries_[entry.key] = {entry.value, entry.until};
  return true;
}

std::vector<wire::Kept> KeptTable::entries() const {
  std::vector<wire::Kept> out;
  for (const auto& [key, entry] : entries_)
    out.push_back({key, entry.value, entry.until});
  return out;
}

// ---- the state ----

void* Machine::allocate(void* memory, void* block, std::size_t old_size, std::size_t new_size) {
  auto& account = *static_cast<Memory*>(memory);
  if (!block)
    old_size = 0;  // then it tells the kind of object
  if (new_size == 0) {
    account.used -= old_size;
    std::free(block);
    return nullptr;
  }
  if (new_size > old_size && account.used + (new_size - old_size) > account.most)
    return nullptr;
  void* fresh = std::realloc(block, new_size);
  if (fresh)
    account.used = account.used - old_size + new_size;
  return fresh;
}

Machine::Machine(const wire::Hello& hello, Outside& outside)
    : hello_(hello),
      outside_(outside),
      memory_{0, hello.memory},
      lua_(lua_newstate(allocate, &memory_)) {
  if (!lua_)
    throw PluginFault("its memory does not hold an empty Lua state");
  *static_cast<Machine**>(lua_getextraspace(lua_)) = this;
}

Machine::~Machine() {
  lua_close(lua_);
}

void Machine::fail() {
  std::string why =
      lua_type(lua_, -1) == LUA_TSTRING ? lua_tostring(lua_, -1) : "an error that is no string";
  lua_settop(lua_, 0);
  throw PluginFault(why.substr(0, wire::kMostText));
}

void Machine::run(int (*body)(lua_State*), void* argument, double now) {
  now_ = now;
  changes_ = 0;
  ends_ = processor_time() + from_ms(hello_.time_ms);
  lua_sethook(lua_, Api::out_of_time, LUA_MASKCOUNT, kStepsBetweenLooks);  // the count starts anew
  lua_pushcfunction(lua_, body);
  lua_pushlightuserdata(lua_, argument);
  if (lua_pcall(lua_, 1, 0, 0) != LUA_OK)
    fail();
  lua_settop(lua_, 0);
}

void Machine::load(double now) {
  now_ = now;
  lua_pushcfunction(lua_, Api::open);
  if (lua_pcall(lua_, 0, 0, 0) != LUA_OK)
    fail();
  ends_ = processor_time() + kLoadTime;
  lua_sethook(lua_, Api::out_of_time, LUA_MASKCOUNT, kStepsBetweenLooks);
  lua_pushcfunction(lua_, Api::start);
  if (lua_pcall(lua_, 0, 0, 0) != LUA_OK)
    fail();
  lua_settop(lua_, 0);
}

Verdict Machine::on_request(const wire::Request& request) {
  RequestCall call{request, {}};
  run(Api::request, &call, request.now);
  return std::move(call.verdict);
}

Shape Machine::on_progress(const wire::Event& event) {
  EventCall call{event, {}};
  run(Api::progress, &call, event.now);
  return std::move(call.shape);
}

void Machine::on_answer(const wire::Answer& answer) {
  run(Api::answer, const_cast<wire::Answer*>(&answer), answer.now);
}
void Machine::on_tick(double now) {
  run(Api::tick, nullptr, now);
}

bool Machine::keep(std::string_view key, std::string_view value, double seconds) {
  wire::Kept entry{std::string(key), std::string(value), seconds > 0 ? now_ + seconds : 0};
  if (!table_.put(entry, now_))
    return false;
  outside_.kept(entry);
  return true;
}

void Machine::tell_count(std::string_view name, double by) {
  outside_.count({std::string(name), by});
}

}  // namespace keelflow::plugins
