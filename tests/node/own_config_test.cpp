// keelflow's own settings and its log's records.
#include "config/own_config.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

namespace keelflow::config {
namespace {

Own good(const std::string& text) {
  Faults faults;
  Own own = decode_own(text, "f", faults);
  for (const Fault& fault : faults)
    ADD_FAILURE() << fault.text();
  return own;
}

std::vector<std::string> told(const std::string& text) {
  Faults faults;
  decode_own(text, "f", faults);
  std::vector<std::string> out;
  for (const Fault& fault : faults)
    out.push_back(fault.text());
  return out;
}

TEST(OwnConfig, ReadsAllSections) {
  Own own = good(R"(
    ; boxes of the new building
    (pool new (site "east" west) (class m2) (block 3 4) (host "s-new"))
    (pool old)
    (route sales (match (class "close-sale") (tenant "river street") (path "/close-sale/x")) (to (old 95) (new 5)) (rehome yes))
    (route all (to (old 1)))
    (move m (route sales) (from old) (to new) (steps 1 10 100) (least-time 1.5s) (most-time 2h) (least-answers 50)
      (cool-off 0ms) (control 10) (margin 0.01) (worse 0.04) (false-alarm 0.001) (miss 0.02) (spread 0.2) (block 500ms))
    (admin (socket "/run/k.sock"))
    (log (format json) (level warning) (file "/var/log/k") (subsystem (moves debug)))
    (fleet (members yes) (turns no) (period 100ms) (least-suspicion 200ms) (most-suspicion 1s))
    (progress (listen "127.0.0.1:3100") (heartbeat 250ms) (store "127.0.0.1:6379") (expiry 5m)))");
  ASSERT_EQ(own.routes.pools.size(), 2u);
  EXPECT_EQ(own.routes.pools[0].sites, (std::vector<std::string>{"east", "west"}));
  EXPECT_EQ(own.routes.pools[0].blocks, (std::vector<int>{3, 4}));
  EXPECT_TRUE(own.routes.routes[0].rehome);
  EXPECT_EQ(own.routes.routes[0].tenants[0], "river street");
  ASSERT_EQ(own.moves.size(), 1u);
  EXPECT_EQ(own.moves[0].min_duration_ms, 1500);
  EXPECT_EQ(own.moves[0].max_duration_ms, 7'200'000);
  EXPECT_EQ(own.moves[0].test.block_ms, 500);
  EXPECT_EQ(own.log.levels.at(log::Subsystem::moves), log::Level::debug);
  EXPECT_TRUE(own.members.on);
  EXPECT_FALSE(own.turns);
  EXPECT_EQ(own.members.most_suspicion, std::chrono::seconds(1));
  EXPECT_EQ(own.progress.heartbeat, std::chrono::milliseconds(250));
  EXPECT_EQ(own.progress.listen->text(), "127.0.0.1:3100");
}

TEST(OwnConfig, AnEmptyFileTurnsNothingOn) {
  Own own = good("; only a comment\n");
  EXPECT_FALSE(own.routes.on());
  EXPECT_TRUE(own.admin.socket.empty());
  EXPECT_FALSE(own.progress.listen);
}

TEST(OwnConfig, AllFaultsAreToldInOneGoEachWithItsPlace) {
  auto all = told(
      "(pool old (hosts \"x\"))\n(route all\n  (to (old ten)))\n(admin (socket))\n(log (level "
      "loud))\n(speed 3)");
  ASSERT_EQ(all.size(), 6u);
  EXPECT_EQ(
      all[0],
      "f:1:11: found ('hosts' ...), wanted one of (block ...) (class ...) (host ...) (site ...)");
  EXPECT_EQ(all[2],
            "f:3:7: found ('old' ...), wanted (POOL WEIGHT), the weight a number from 0 on");
  EXPECT_EQ(all[3], "f:4:8: found ('socket'), wanted one value: (socket VALUE)");
  EXPECT_EQ(all[4], "f:5:13: found 'loud', wanted one of debug info warning error");
}

TEST(OwnConfig, EachKindOfFaultIsFound) {
  for (const char* text :
       {"(pool a",
        "a)",
        "(pool \"a)",
        "(pool)",
        "(admin (socket a b))",
        "(admin) (admin)",
        "(log (level info) (level info))",
        "(progress (listen \"nowhere\"))",
        "(progress (heartbeat 10))",
        "(progress (heartbeat 1d))",
        "(fleet (members maybe))",
        "(fleet (turns 1))",
        "(fleet (period 1ms))",
        "(fleet (least-suspicion 2s))",
        "(fleet (period 800ms))",
        "(fleet) (fleet)",
        "(pool a (block x))",
        "(pool a) (route r)",
        "(pool a) (route r (to (a -1)))",
        "(pool a) (pool a) (route r (to (a 1)))",
        "(pool a) (route r (to (b 1)))",
        "(pool a) (route r (match (class c)) (to (a 1)))",
        "(pool a)",
        "(route r (to (a 1)))",
        "(pool a) (pool b) (route r (to (a 1))) (move m (route r) (from a) (to b))",
        "(pool a) (pool b) (route r (to (a 1) (b 0))) (move m (route x) (from a) (to b))",
        "(pool a) (pool b) (route r (to (a 1) (b 0))) (move m (route r) (from a) (to b) (steps 10 "
        "5 100))",
        "(pool a) (pool b) (route r (to (a 1) (b 0))) (move m (route r) (from a) (to b) (steps "
        "10))",
        "(pool a) (pool b) (route r (to (a 1) (b 0))) (move m (route r) (from a) (to b) (margin "
        "0.4))",
        "(pool a) (pool b) (pool c) (route r (to (a 1) (b 0) (c 0))) (move m (route r) (from a) "
        "(to b)) (move n (route r) (from b) (to c))"})
    EXPECT_FALSE(told(text).empty()) << text;
}

TEST(OwnConfig, NoTextBringsTheReaderDown) {
  std::string deep(100'000, '(');
  EXPECT_FALSE(told(deep).empty());
  const std::string base =
      "(pool a (site \"e\")) (route r (match (class x)) (to (a 1))) (log (level info)) ; c\n";
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    std::string text = base;
    for (int i = 0; i < 4; ++i) {
      std::size_t at = random() % text.size();
      if (random() % 2)
        text[at] = "()\";\\ \n\0x9"[random() % 10];
      else
        text.erase(at, random() % 5);
    }
    Faults faults;
    decode_own(text, "f", faults);
    for (const Fault& fault : faults)
      ASSERT_GE(fault.place.line, 1);
  }
}

TEST(OwnConfig, ALeftoverProgressFileIsAnErrorThatShowsTheNewForm) {
  char name[] = "/tmp/keelflow-test-XXXXXX";
  std::filesystem::path folder = mkdtemp(name);
  std::ofstream(folder / "progress.toml") << "listen = \"127.0.0.1:0\"\n";
  try {
    read_own((folder / "keelflow.sexp").string(), true);
    ADD_FAILURE() << "it was passed over";
  } catch (const ConfigError& fault) {
    EXPECT_NE(std::string(fault.what()).find("(progress"), std::string::npos);
  }
  std::filesystem::remove(folder / "progress.toml");
  EXPECT_NO_THROW(read_own((folder / "keelflow.sexp").string(), true));
  EXPECT_THROW(read_own((folder / "keelflow.sexp").string(), false), ConfigError);
  std::filesystem::remove_all(folder);
}

TEST(Log, ARecordCannotForgeAFieldOrALine) {
  EXPECT_EQ(log::render(false, "e", {{"a", "b c=\"d\"\n"}, {"n", 3}, {"y", true}, {"x", 0.5}}),
            R"(event=e a="b c=\"d\"\n" n=3 y=yes x=0.5)");
  EXPECT_EQ(log::render(true, "e", {{"a", "b\"\n"}, {"n", 3}, {"bad", "\xff"}}),
            R"("event":"e","a":"b\"\n","n":3,"bad":"\ufffd")");
}

TEST(Log, GoesToAFileThatMayBeMovedAwayAndLeavesOutWhatItsLevelSays) {
  char name[] = "/tmp/keelflow-test-XXXXXX";
  std::filesystem::path folder = mkdtemp(name), file = folder / "log";
  log::Settings settings{.json = false,
                         .level = log::Level::warning,
                         .levels = {{log::Subsystem::moves, log::Level::debug}},
                         .file = file.string()};
  log::open(settings);
  EXPECT_FALSE(log::on(log::Subsystem::node, log::Level::info));
  EXPECT_TRUE(log::on(log::Subsystem::moves, log::Level::debug));
  log::info(log::Subsystem::node, "left-out");
  log::write(log::Subsystem::moves, log::Level::debug, "first");
  ASSERT_TRUE(log::close());
  std::string text = read_file(file.string());
  EXPECT_EQ(text.find("left-out"), std::string::npos);
  EXPECT_NE(text.find("level=debug subsystem=moves event=first"), std::string::npos);
  log::open(settings);
  std::filesystem::rename(file, folder / "old");
  log::reopen();
  log::error(log::Subsystem::node, "second");
  ASSERT_TRUE(log::close());
  EXPECT_NE(read_file(file.string()).find("event=second"), std::string::npos);
  settings.file = (folder / "none" / "log").string();
  EXPECT_THROW(log::open(settings), std::system_error);
  std::filesystem::remove_all(folder);
}

// A change of the log is made from the loop. Waiting for a reader that stalls would cost it 300 ms
// each time; the best of three changes is far under that on any machine.
TEST(Log, AChangeDoesNotWaitForAReaderThatStalls) {
  char name[] = "/tmp/keelflow-test-XXXXXX";
  std::filesystem::path folder = mkdtemp(name);
  log::Settings stalled, other;
  stalled.file = (folder / "pipe").string();
  other.file = (folder / "log").string();
  ASSERT_EQ(mkfifo(stalled.file.c_str(), 0600), 0);
  Duration best = Duration::max();
  for (int i = 0; i < 3; ++i) {
    int reader = ::open(stalled.file.c_str(), O_RDWR | O_CLOEXEC);
    ASSERT_GE(reader, 0);
    log::open(stalled);
    for (int n = 0; n < 3000; ++n)
      log::error(log::Subsystem::node, "more-than-a-pipe-holds", {{"text", std::string(100, 'x')}});
    log::error(log::Subsystem::node, "the-last");
    TimePoint begun = Clock::now();
    log::open(other);
    best = std::min(best, Clock::now() - begun);
    // Read to its end, so that the old one's thread is free again.
    std::string seen;
    for (char bytes[65536]; seen.find("the-last") == std::string::npos;) {
      ssize_t got = ::read(reader, bytes, sizeof bytes);
      ASSERT_GT(got, 0);
      seen = seen.substr(seen.size() > 16 ? seen.size() - 16 : 0) +
             std::string(bytes, static_cast<std::size_t>(got));
    }
    log::open(other);
    ASSERT_TRUE(log::close());
    ::close(reader);
  }
  EXPECT_LT(best, std::chrono::milliseconds(200));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace keelflow::config
