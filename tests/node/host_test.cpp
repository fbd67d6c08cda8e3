// One host and the node's side of it: real processes, and rogues that stand in for them.
#include "plugins/host.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>

#include <filesystem>

#include "plugins/machine.h"

namespace keelflow::plugins {
namespace {

using namespace std::chrono_literals;

Package package(const std::string& name, const std::string& source,
                std::initializer_list<Entry> entries = {Entry::on_request}) {
  Package out;
  out.manifest.name = name;
  for (Entry e : entries)
    out.manifest.entries[static_cast<std::size_t>(e)] = true;
  out.source = source;
  return out;
}

// Plays with one host until a condition holds.
class Stage final : public Host::User {
 public:
  explicit Stage(Package p, Host::Settings settings = {}) : package_(std::move(p)) {
    if (settings.program == Host::Settings{}.program)
      settings.program = KEELFLOW_PROGRAM;
    Host::User& user = *this;
    host = std::make_unique<Host>(loop, reaper, user, settings, 1);
    started = host->start(package_, table, 1000);
  }
  ~Stage() override { host->stop(); }

  bool until(const std::function<bool()>& holds) {
    TimerId limit = loop.at(loop.now() + 20s, [this] { loop.stop(); }), next = 0;
    std::function<void()> look = [&] {
      if (holds())
        return loop.stop();
      next = loop.at(loop.now() + 1ms, look);
    };
    look();
    loop.run();
    loop.cancel(limit);
    loop.cancel(next);
    return holds();
  }
  CallId ask() {
    wire::Request r;
    r.call = ++last;
    r.now = 1000, r.id = "A", r.class_index = "sale", r.tenant = "t";
    return host->ask(last, r) ? last : 0;
  }

  net::EventLoop loop;
  std::vector<std::string> gone;
  Reaper reaper{loop, [this](pid_t, const std::string& how) {
                  gone.push_back(how);
                }};
  std::vector<wire::Kept> table;
  std::unique_ptr<Host> host;
  bool started = false, ready = false;
  std::vector<std::pair<CallId, Verdict>> judged;
  std::vector<std::string> faults, lines;
  std::vector<CallId> late, open_at_end;
  std::map<std::string, double> counts;
  std::vector<wire::Kept> kept;
  std::string ended;
  std::uint32_t dropped = 0;
  CallId last = 0;

 private:
  void on_ready(Host&) override { ready = true; }
  void on_judged(Host&, CallId call, Verdict v) override {
    judged.emplace_back(call, std::move(v));
  }
  void on_shaped(Host&, CallId, Shape) override {}
  void on_faulted(Host&, CallId, const std::string& why) override { faults.push_back(why); }
  void on_late(Host&, CallId call) override { late.push_back(call); }
  void on_kept(Host&, const wire::Kept& entry) override { kept.push_back(entry); }
  void on_count(Host&, const wire::Count& c) override { counts[c.name] += c.by; }
  void on_line(Host&, const wire::Line& l) override {
    lines.push_back(l.text), dropped += l.dropped;
  }
  void on_ended(Host&, const std::string& why, const std::vector<CallId>& open) override {
    ended = why, open_at_end = open;
  }

  Package package_;
};

const char* kPass = "function on_request(r) return {label = r.class, hold = 0.25} end";

TEST(Host, AnswersCallsManyInFlight) {
  Stage s(package("p", kPass));
  ASSERT_TRUE(s.until([&] { return s.ready; })) << s.ended;
  for (int i = 0; i < 50; ++i)
    EXPECT_NE(s.ask(), 0u);
  ASSERT_TRUE(s.until([&] { return s.judged.size() == 50; })) << s.ended;
  EXPECT_EQ(s.judged.front().second.label, "sale");
  EXPECT_EQ(s.judged.front().second.hold_ms, 250);
}

TEST(Host, WhoWritesRubbishIsEnded) {
  for (const char* way : {"twice", "forged", "malformed", "longer", "huge", "nan", "ready-again",
                          "label", "flood", "early", "leaves"}) {
    Host::Settings settings;
    settings.program = ROGUE_HOST;
    Stage s(package(way, ""), settings);
    ASSERT_TRUE(s.until([&] { return s.ready || !s.ended.empty(); })) << way;
    if (s.ready)
      s.ask();
    ASSERT_TRUE(s.until([&] { return !s.ended.empty(); })) << way;
    EXPECT_NE(s.ended.find(std::string(way) == "leaves" ? "has ended" : "rubbish"),
              std::string::npos)
        << way << ": " << s.ended;
    EXPECT_LE(s.judged.size(), 1u) << way;
    ASSERT_TRUE(s.until([&] { return !s.gone.empty(); })) << way << ": not waited for";
  }
}

TEST(Host, AnAnswerAfterItsDeadlineIsPassedOver) {
  Host::Settings settings;
  settings.program = ROGUE_HOST;
  settings.answer_within = 30ms;
  settings.silence = 10s;
  Stage s(package("late", ""), settings);
  ASSERT_TRUE(s.until([&] { return s.ready; }));
  CallId first = s.ask(), second = s.ask();  // it answers the first with the second
  ASSERT_TRUE(s.until([&] { return s.judged.size() == 2; }));
  (void)first, (void)second;
  CallId third = s.ask();
  ASSERT_TRUE(s.until([&] { return s.late.size() == 1; }));
  EXPECT_EQ(s.late[0], third);
  EXPECT_TRUE(s.host->behind());
  EXPECT_EQ(s.ask(), 0u) << "one that is behind is not asked";
  EXPECT_EQ(s.judged.size(), 2u);
  EXPECT_EQ(s.ended, "");
}

TEST(Host, AClientThatHasGoneTakesItsCallBackAndItsAnswerIsStillOwed) {
  Stage s(package("p", kPass));
  ASSERT_TRUE(s.until([&] { return s.ready; }));
  CallId first = s.ask();
  s.host->forget(first);
  EXPECT_FALSE(s.host->behind());
  CallId second = s.ask();
  ASSERT_TRUE(s.until([&] { return s.judged.size() == 1; }));
  EXPECT_EQ(s.judged[0].first, second);
  EXPECT_EQ(s.ended, "");
}

TEST(Host, ALoopInLuaIsEndedByItsBudgetAndTheHostLives) {
  Host::Settings settings;
  settings.answer_within = 5s;
  Stage s(
      package("p",
              "n = 0 function on_request(r) n = n + 1 if n == 1 then while true do end end end"),
      settings);
  ASSERT_TRUE(s.until([&] { return s.ready; }));
  s.ask(), s.ask();
  ASSERT_TRUE(s.until([&] { return s.judged.size() == 1; })) << s.ended;
  ASSERT_EQ(s.faults.size(), 1u);
  EXPECT_NE(s.faults[0].find("out of time"), std::string::npos);
  EXPECT_EQ(s.ended, "");
}

TEST(Host, ALoopInALibraryIsEndedByTheProcessorClock) {
  Host::Settings settings;
  settings.answer_within = 10s, settings.silence = 10s;  // so that nothing else ends it
  Stage s(package("p",
                  "function on_request(r) return {label = string.find(('a'):rep(60), "
                  "('a*'):rep(20) .. 'b')} end"),
          settings);
  ASSERT_TRUE(s.until([&] { return s.ready; }));
  CallId call = s.ask();
  ASSERT_TRUE(s.until([&] { return !s.gone.empty(); }));
  EXPECT_EQ(s.gone[0], "signal " + std::to_string(SIGPROF));
  EXPECT_EQ(s.open_at_end, std::vector<CallId>{call});
}

TEST(Host, OneThatIsStoppedIsSilentAndEnded) {
  Host::Settings settings;
  settings.silence = 200ms;
  Stage s(package("p", kPass), settings);
  ASSERT_TRUE(s.until([&] { return s.ready; }));
  kill(s.host->pid(), SIGSTOP);
  CallId call = s.ask();
  ASSERT_TRUE(s.until([&] { return !s.gone.empty(); }));
  EXPECT_EQ(s.late, std::vector<CallId>{call});
  EXPECT_NE(s.ended.find("silent"), std::string::npos);
}

TEST(Host, CrashesTellWhatWasOpen) {
  for (int number : {SIGSEGV, SIGABRT, SIGKILL}) {
    Host::Settings settings;
    settings.answer_within = 10s;
    Stage s(package("p", kPass), settings);
    ASSERT_TRUE(s.until([&] { return s.ready; }));
    kill(s.host->pid(), SIGSTOP);
    CallId call = s.ask();
    kill(s.host->pid(), number), kill(s.host->pid(), SIGCONT);
    ASSERT_TRUE(s.until([&] { return !s.gone.empty(); }));
    EXPECT_EQ(s.open_at_end, std::vector<CallId>{call}) << number;
    EXPECT_TRUE(s.judged.empty());
  }
}

TEST(Host, WhatDoesNotLoadSaysWhere) {
  const std::pair<const char*, const char*> cases[] = {
      {"function on_request(", "p/main.lua:1"},
      {"x = nothing.at.all", "p/main.lua:1"},
      {"", "does not define"},
      {"function on_request() end function on_tick() end", "does not name"},
      {"function on_request() end function self_test() return false end", "self_test"},
      {"while true do end", "out of time"},
      {"local t = {} for i = 1, 1e9 do t[i] = i end", "not enough memory"}};
  for (auto [source, why] : cases) {
    Stage s(package("p", source));
    ASSERT_TRUE(s.until([&] { return !s.ended.empty(); })) << source;
    EXPECT_NE(s.ended.find(why), std::string::npos) << source << ": " << s.ended;
    EXPECT_FALSE(s.ready);
  }
  Host::Settings settings;
  settings.program = ROGUE_HOST;
  settings.load_within = 100ms;
  Stage never(package("never-ready", ""), settings);
  ASSERT_TRUE(never.until([&] { return !never.ended.empty(); }));
  EXPECT_NE(never.ended.find("in time"), std::string::npos);
}

// Each is a fault of its call; the host goes on, and the next call is answered.
TEST(Host, TheSandboxHasNoWayOutAndStaysWithinItsLimits) {
  for (const char* body : {"io.open('/etc/passwd')",
                           "os.getenv('HOME')",
                           "load('return 1')()",
                           "require('os')",
                           "dofile('/etc/passwd')",
                           "pcall(error)",
                           "coroutine.create(print)",
                           "setmetatable({}, {})",
                           "debug.getregistry()",
                           "collectgarbage()",
                           "string.dump(on_request)",
                           "('x'):rep(60000000)",
                           "local s = 'x' while true do s = s .. s end",
                           "local function f() return f() + 1 end f()",
                           "return {hold = 0/0}",
                           "return {hold = -1}",
                           "return {weigh = 0}",
                           "return {refuse = 1}",
                           "return {lable = 'x'}",
                           "return 'x'",
                           "keep.set('', 'x')",
                           "keep.set(('k'):rep(65), 'x')",
                           "keep.set('k', ('x'):rep(1025))",
                           "for i = 1, 17 do keep.set('k', 'x') end",
                           "count('n', -1)",
                           "count(('n'):rep(41))",
                           "log()",
                           "error({})"}) {
    Host::Settings settings;
    settings.answer_within = 5s;
    Stage s(package("p", std::string("n = 0 function on_request(r) n = n + 1 if n == 1 then ") +
                             body + " end end"),
            settings);
    ASSERT_TRUE(s.until([&] { return s.ready; })) << body;
    s.ask(), s.ask();
    ASSERT_TRUE(s.until([&] { return s.judged.size() == 1 || !s.ended.empty(); })) << body;
    EXPECT_EQ(s.faults.size(), 1u) << body;
    EXPECT_EQ(s.ended, "") << body;
  }
}

TEST(Host, AFloodOfLinesIsHeldBackAndCounted) {
  Host::Settings settings;
  settings.answer_within = 10s;
  Package p = package("p", "function on_request(r) for i = 1, 5000 do log('x') end end");
  p.manifest.time = 100ms;
  Stage s(std::move(p), settings);
  ASSERT_TRUE(s.until([&] { return s.ready; }));
  s.ask();
  ASSERT_TRUE(s.until([&] { return s.judged.size() == 1; })) << s.ended;
  EXPECT_GE(s.lines.size(), 20u);
  EXPECT_LE(s.lines.size(), 40u) << "twenty, and ten for each second that it took";
}

TEST(Host, TheTableGoesInAndComesOut) {
  Stage s(package("p",
                  "function on_request(r) keep.set('n', tostring(tonumber(keep.get('n') or 0) + "
                  "1)) return {label = keep.get('n')} end"));
  ASSERT_TRUE(s.until([&] { return s.ready; }));
  s.ask(), s.ask();
  ASSERT_TRUE(s.until([&] { return s.judged.size() == 2; }));
  EXPECT_EQ(s.judged[1].second.label, "2");
  ASSERT_EQ(s.kept.size(), 2u);
  EXPECT_EQ(s.kept[1].value, "2");
}

TEST(KeptTable, IsBoundedAndWhatIsOverMakesRoom) {
  KeptTable table;
  for (std::size_t i = 0; i < KeptTable::kMostEntries; ++i)
    EXPECT_TRUE(table.put({"k" + std::to_string(i), "v", i == 7 ? 50.0 : 0}, 10));
  EXPECT_FALSE(table.put({"more", "v", 0}, 10));
  EXPECT_NE(table.find("k7", 10), nullptr);
  EXPECT_EQ(table.find("k7", 50), nullptr);
  EXPECT_TRUE(table.put({"more", "v", 0}, 50));
  KeptTable heavy;
  int fit = 0;
  for (int i = 0; i < 200; ++i)
    fit += heavy.put({"k" + std::to_string(i), std::string(1024, 'x'), 0}, 0);
  EXPECT_LT(fit, 64);
  EXPECT_LE(heavy.bytes(), KeptTable::kMostBytes);
  EXPECT_TRUE(heavy.put({"k0", "", 0}, 0));
  EXPECT_EQ(heavy.find("k0", 0), nullptr);
}

TEST(Wire, NoCutAndNoChangedByteOfAPacketIsMisread) {
  Verdict v{.refuse = true, .come_back_ms = 5, .hold_ms = 6, .queue_weight = 2, .label = "label"};
  for (const wire::ToNode& message :
       {wire::ToNode(wire::Judged{7, v}), wire::ToNode(wire::Kept{"k", "v", 3}),
        wire::ToNode(wire::Line{"text", 2}),
        wire::ToNode(wire::Shaped{1, {.drop = true, .label = "x", .share = 0.5}})}) {
    std::string packet = wire::encode(message);
    auto back = wire::decode_to_node(packet);
    ASSERT_TRUE(back && back->index() == message.index());
    EXPECT_EQ(wire::encode(*back), packet);
    for (std::size_t size = 0; size < packet.size(); ++size)
      EXPECT_FALSE(wire::decode_to_node(packet.substr(0, size))) << size;
    for (std::size_t i = 0; i < packet.size(); ++i)
      for (int bit = 0; bit < 8; ++bit) {
        std::string other = packet;
        other[i] = static_cast<char>(other[i] ^ (1 << bit));
        auto read = wire::decode_to_node(other);
        EXPECT_TRUE(!read || wire::encode(*read) == other) << "another message, but a whole one";
      }
  }
}

TEST(Host, WithoutADescriptorItIsNotStartedAndSaysWhy) {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  net::EventLoop loop;
  Reaper reaper(loop, [](pid_t, const std::string&) {});
  struct Nobody final : Host::User {
    void on_ready(Host&) override {}
    void on_judged(Host&, CallId, Verdict) override {}
    void on_shaped(Host&, CallId, Shape) override {}
    void on_faulted(Host&, CallId, const std::string&) override {}
    void on_late(Host&, CallId) override {}
    void on_kept(Host&, const wire::Kept&) override {}
    void on_count(Host&, const wire::Count&) override {}
    void on_line(Host&, const wire::Line&) override {}
    void on_ended(Host&, const std::string&, const std::vector<CallId>&) override { ADD_FAILURE(); }
  } nobody;
  Host host(loop, reaper, nobody, {}, 1);
  rlimit none{3, before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  bool started = host.start(package("p", kPass), {}, 0);
  int error = errno;
  setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_FALSE(started);
  EXPECT_EQ(error, EMFILE);
}

}  // namespace
}  // namespace keelflow::plugins
