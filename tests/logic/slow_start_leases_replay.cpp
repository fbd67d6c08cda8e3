/// Plays random runs of the Promela model (turns/turns.pml) step by step with real Dispatchers and
/// SlowStartLeases, and checks that they grant, send, accept and reject the same as the model.
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
constexpr Time kUnitMs = 50;  // one time unit of the model
// Parameters of the model. Times are in units of kUnitMs: STEP is 100 ms, LENGTH (a lease at the
// borrower) 500 ms, OWNER_LENGTH (the same lease at the owner) 550 ms, RETURN_BEFORE_END 100 ms and
// WINDOW 2 s. The code returns a lease from 125 ms before its end; time advances in steps of 100 ms
// here, so the model's 100 ms stand for it. PART, JOB_WORK and REQUESTED_WORK are ms of work. A
// run ends at END, 400 units or 20 s.
const std::string kModelParameters =
    " -DSTEP=2 -DLENGTH=10 -DOWNER_LENGTH=11 -DRETURN_BEFORE_END=2 -DWINDOW=40 -DPART=400 "
    "-DJOB_WORK=100 -DREQUESTED_WORK=200 -DEND=400 -DMAX_RESTARTS=3 -DMAX_IN_FLIGHT=6 "
    "-DREPLAY_WEIGHTS ";

std::vector<std::string> run_model(unsigned seed) {
  std::string command =
      "spin -n" + std::to_string(seed) + " -T" + kModelParameters + TURNS_MODEL + " 2>&1";
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

/// Plays one run of the model: two borrowers (0 and 1) and the owner (2).
class Replay {
 public:
  explicit Replay(std::vector<std::string> lines) : lines_(std::move(lines)) {
    // The first owner's part is 400 ms of work.
    settings_.overload_multiple = 400.0 * 8 / (0.62 * settings_.overload_window_ms) + 1e-9;
    auto order = order_at({kWarmingEndpoint, 0, 0, 0, EndpointState::ready, 1, kStartedAt}, kNodes);
    ranks_ = {order[8], order[9], order[0]};  // two without a part of the budget, and the owner
    for (int rank : ranks_)
      is_alive_[static_cast<std::size_t>(rank)] = true;
    now_ = kStartedAt - 1;  // before the endpoint's start, so nothing can have been sent yet
    for (int i = 0; i < 3; ++i)
      start(i);
    now_ = kStartedAt;
  }

  void run_to_end() {
    while (next_line_ < lines_.size() && !::testing::Test::HasFailure())
      step(lines_[next_line_++]);
  }
  int grants = 0;
  int returns = 0;
  int late_grants = 0;
  int restarts = 0;

 private:
  struct Datagram {
    int from = 0;
    int to = 0;
    std::string bytes;
  };

  void start(int i) {
    nodes_[static_cast<std::size_t>(i)] =
        std::make_unique<Node>(settings_, ranks_[static_cast<std::size_t>(i)], now_, is_alive_);
  }
  Node& node(int i) {
    Node& n = *nodes_[static_cast<std::size_t>(i)];
    n.harness.now = now_;
    return n;
  }
  bool consume_if(const std::string& line) {
    if (next_line_ >= lines_.size() || lines_[next_line_] != line)
      return false;
    ++next_line_;
    return true;
  }

  // Checks that the node sent the same messages as the model in the same order.
  void expect_messages(int i) {
    for (const SendPeerMessage& message : node(i).messages()) {
      int to = 0;
      while (ranks_[static_cast<std::size_t>(to)] != message.peer)
        ++to;
      if (consume_if("sent"))
        net_.push_back({i, to, message.bytes});
      else if (!consume_if("unsent"))
        ADD_FAILURE() << "line " << next_line_ << ": a message that the model does not send";
    }
    EXPECT_FALSE(next_line_ < lines_.size() &&
                 (lines_[next_line_] == "sent" || lines_[next_line_] == "unsent"))
        << "line " << next_line_ << ": the model sends a message that the code does not send";
  }

  void deliver() {
    Datagram datagram = net_.front();
    net_.pop_front();
    node(datagram.to)
        .harness.handle(
            PeerMessage{ranks_[static_cast<std::size_t>(datagram.from)], datagram.bytes});
    returns += decode_slow_start_message(datagram.bytes)->kind == SlowStartMessage::Kind::returned;
    if (next_line_ < lines_.size() && lines_[next_line_].starts_with("grant ")) {
      auto messages = node(datagram.to).messages();
      ASSERT_EQ(messages.size(), 1u) << "line " << next_line_;
      EXPECT_EQ("grant " + std::to_string(decode_slow_start_message(messages[0].bytes)->work_ms),
                lines_[next_line_++]);
      ++grants;
      if (consume_if("sent"))
        net_.push_back({datagram.to, datagram.from, messages[0].bytes});
      else
        EXPECT_TRUE(consume_if("unsent"));
      return;
    }
    expect_messages(datagram.to);
    double held = node(datagram.to).budget().granted;
    if (consume_if("late")) {
      EXPECT_EQ(held, 0);
      ++late_grants;
    } else if (next_line_ < lines_.size() && lines_[next_line_].starts_with("got ")) {
      EXPECT_EQ("got " + std::to_string(static_cast<int>(held)), lines_[next_line_++]);
    } else {
      EXPECT_TRUE(consume_if("nothing")) << "line " << next_line_;
    }
  }

  void step(const std::string& line) {
    std::istringstream fields(line);
    std::string action;
    std::string outcome;
    fields >> action;
    if (action == "tick") {
      now_ += 2 * kUnitMs;
      // Any event makes the node notice the end of its wait.
      node(2).harness.handle(ClientDisconnected{});
    }
    if (action == "deliver")
      deliver();
    if (action == "lose")
      net_.pop_front();
    if (action == "double")
      net_.push_back(net_.front());
    if (action == "rotate") {
      net_.push_back(net_.front());
      net_.pop_front();
    }
    if (action == "again") {
      start(0);
      ++restarts;
    }
    if (line == "owner again") {
      start(2);
      ++restarts;
    }
    if (action == "own") {
      fields >> outcome;
      EXPECT_EQ(node(2).play_job(), outcome == "used") << "line " << next_line_;
    }
    if (action == "arrive") {
      int i = 0;
      fields >> i >> outcome;
      EXPECT_EQ(node(i).play_job(), outcome == "used") << "line " << next_line_;
      expect_messages(i);
    }
  }

  std::vector<std::string> lines_;
  std::size_t next_line_ = 0;
  Settings settings_ = fleet_settings(kNodes);
  std::array<int, 3> ranks_{};
  std::vector<bool> is_alive_ = std::vector<bool>(kNodes, false);
  std::array<std::unique_ptr<Node>, 3> nodes_;
  std::deque<Datagram> net_;
  Time now_ = kStartedAt;
};

TEST(SlowStartLeasesReplay, DispatchersBehaveLikeTheModel) {
  int grants = 0;
  int returns = 0;
  int late_grants = 0;
  int restarts = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    auto lines = run_model(seed);
    ASSERT_GT(lines.size(), 100u)
        << "the model produced too few steps; is spin installed (.ci/packages)?";
    Replay replay(lines);
    replay.run_to_end();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
    grants += replay.grants;
    returns += replay.returns;
    late_grants += replay.late_grants;
    restarts += replay.restarts;
  }
  RecordProperty("seen", std::to_string(grants) + " grants " + std::to_string(returns) +
                             " returns " + std::to_string(late_grants) + " late grants " +
                             std::to_string(restarts) + " restarts");
  // The runs must include enough of each kind of event to be meaningful.
  EXPECT_GT(grants, 100);
  EXPECT_GT(returns, 5);
  EXPECT_GT(late_grants, 3);
  EXPECT_GT(restarts, 60);
}

}  // namespace
}  // namespace keelflow::fleet
