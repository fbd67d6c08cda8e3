// Random runs of the Promela model (turns/turns.pml), played step by step with real Dispatchers and
// SlowStartLeases: what the model grants, sends, takes and drops, they do.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <sstream>

#include "slow_start_leases_world.h"

namespace keelflow::fleet {
namespace {

using namespace keelflow::scheduler;

constexpr int kNodes = 10;
constexpr Time kUnit = 50;  // ms that a unit of the model stands for
// Steps of 100 ms, grants of 500, 550 to the owner, given back from 125 ms before the end on,
// windows of two seconds.
const std::string kRatios =
    " -DSTEP=2 -DLENGTH=10 -DGIVEN_FOR=11 -DEARLY=2 -DWINDOW=40 -DPART=400 -DJOB=100 -DWANT=200 "
    "-DEND=400 -DLIVES=3 -DMOST=6 -DOFTEN ";

std::vector<std::string> run_of(unsigned seed) {
  std::string command = "spin -n" + std::to_string(seed) + " -T" + kRatios + TURNS_MODEL + " 2>&1";
  std::vector<std::string> lines;
  std::FILE* pipe = popen(command.c_str(), "r");
  if (!pipe)
    return lines;
  std::array<char, 256> line;
  while (std::fgets(line.data(), line.size(), pipe)) {
    std::string text(line.data());
    if (text.find("assert") != std::string::npos || text.find("rror") != std::string::npos)
      ADD_FAILURE() << text;
    if (auto at = text.find('#'); at != std::string::npos)
      lines.push_back(text.substr(at + 1, text.find_last_not_of(" \n") - at));
  }
  pclose(pipe);
  return lines;
}

class Replay {
 public:
  explicit Replay(std::vector<std::string> lines) : lines_(std::move(lines)) {
    s_.overload_multiple = 400.0 * 8 / (0.62 * s_.overload_window_ms) +
                           1e-9;  // so that the first owner's part is 400 ms of work
    auto order = order_at({kWarmingUp, 0, 0, 0, EndpointState::ready, 1, kStartedAt}, kNodes);
    ranks_ = {order[8], order[9], order[0]};  // two that have no part, and the owner
    for (int rank : ranks_)
      is_alive_[static_cast<std::size_t>(rank)] = true;
    now_ = kStartedAt - 1;  // before it: nothing can have been sent yet
    for (int i = 0; i < 3; ++i)
      begin(i);
    now_ = kStartedAt;
  }

  void play() {
    while (at_ < lines_.size() && !::testing::Test::HasFailure())
      step(lines_[at_++]);
  }
  int grants = 0, returns = 0, late_grants = 0, restarts = 0;

 private:
  struct Datagram {
    int from, to;
    std::string bytes;
  };

  void begin(int i) {
    nodes_[static_cast<std::size_t>(i)] =
        std::make_unique<Node>(s_, ranks_[static_cast<std::size_t>(i)], now_, is_alive_);
  }
  Node& node(int i) {
    Node& n = *nodes_[static_cast<std::size_t>(i)];
    n.bench.now = now_;
    return n;
  }
  bool next_is(const std::string& line) {
    if (at_ >= lines_.size() || lines_[at_] != line)
      return false;
    ++at_;
    return true;
  }

  // The messages that node sent are those that the model sends, in this order.
  void expect_messages(int i) {
    for (const SendPeerMessage& message : node(i).messages()) {
      int to = 0;
      while (ranks_[static_cast<std::size_t>(to)] != message.peer)
        ++to;
      if (next_is("sent"))
        net_.push_back({i, to, message.bytes});
      else if (!next_is("unsent"))
        ADD_FAILURE() << "line " << at_ << ": a word that the model does not send";
    }
    EXPECT_FALSE(at_ < lines_.size() && (lines_[at_] == "sent" || lines_[at_] == "unsent"))
        << "line " << at_ << ": the model sends a word";
  }

  void deliver() {
    Datagram datagram = net_.front();
    net_.pop_front();
    node(datagram.to)
        .bench.play(PeerMessage{ranks_[static_cast<std::size_t>(datagram.from)], datagram.bytes});
    returns += decode_slow_start_message(datagram.bytes)->kind == SlowStartMessage::Kind::returned;
    if (at_ < lines_.size() && lines_[at_].starts_with("grant ")) {
      auto messages = node(datagram.to).messages();
      ASSERT_EQ(messages.size(), 1u) << "line " << at_;
      EXPECT_EQ("grant " + std::to_string(decode_slow_start_message(messages[0].bytes)->work_ms),
                lines_[at_++]);
      ++grants;
      if (next_is("sent"))
        net_.push_back({datagram.to, datagram.from, messages[0].bytes});
      else
        EXPECT_TRUE(next_is("unsent"));
      return;
    }
    expect_messages(datagram.to);
    double held = node(datagram.to).room().granted;
    if (next_is("late")) {
      EXPECT_EQ(held, 0);
      ++late_grants;
    } else if (at_ < lines_.size() && lines_[at_].starts_with("got ")) {
      EXPECT_EQ("got " + std::to_string(static_cast<int>(held)), lines_[at_++]);
    } else {
      EXPECT_TRUE(next_is("nothing")) << "line " << at_;
    }
  }

  void step(const std::string& line) {
    std::istringstream fields(line);
    std::string what, how;
    fields >> what;
    if (what == "tick") {
      now_ += 2 * kUnit;
      node(2).bench.play(ClientDisconnected{});  // any event: with it the waiting time ends
    }
    if (what == "deliver")
      deliver();
    if (what == "lose")
      net_.pop_front();
    if (what == "double")
      net_.push_back(net_.front());
    if (what == "rotate") {
      net_.push_back(net_.front());
      net_.pop_front();
    }
    if (what == "again") {
      begin(0);
      ++restarts;
    }
    if (line == "owner again") {
      begin(2);
      ++restarts;
    }
    if (what == "own") {
      fields >> how;
      EXPECT_EQ(node(2).job(), how == "used") << "line " << at_;
    }
    if (what == "arrive") {
      int i = 0;
      fields >> i >> how;
      EXPECT_EQ(node(i).job(), how == "used") << "line " << at_;
      expect_messages(i);
    }
  }

  std::vector<std::string> lines_;
  std::size_t at_ = 0;
  Settings s_ = many(kNodes);
  std::array<int, 3> ranks_{};
  std::vector<bool> is_alive_ = std::vector<bool>(kNodes, false);
  std::array<std::unique_ptr<Node>, 3> nodes_;
  std::deque<Datagram> net_;
  Time now_ = kStartedAt;
};

TEST(SlowStartLeasesReplay, TheProgramDoesWhatTheModelDoes) {
  int grants = 0, returns = 0, late_grants = 0, restarts = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    auto lines = run_of(seed);
    ASSERT_GT(lines.size(), 100u) << "is spin installed? .ci/packages does it";
    Replay replay(lines);
    replay.play();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
    grants += replay.grants;
    returns += replay.returns;
    late_grants += replay.late_grants;
    restarts += replay.restarts;
  }
  RecordProperty("seen", std::to_string(grants) + " grants " + std::to_string(returns) +
                             " given back " + std::to_string(late_grants) + " late " +
                             std::to_string(restarts) + " restarts");
  // Runs in which nothing happens would prove nothing.
  EXPECT_GT(grants, 100);
  EXPECT_GT(returns, 5);
  EXPECT_GT(late_grants, 3);
  EXPECT_GT(restarts, 60);
}

}  // namespace
}  // namespace keelflow::fleet
