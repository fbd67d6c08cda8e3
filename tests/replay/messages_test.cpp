/// Checks every message between processes byte for byte, because consecutive releases run side by
/// side. The output of each encoder is compared with recordings/messages.txt, and each recorded
/// message is decoded and encoded again.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "core/counters.h"
#include "fleet/membership_message.h"
#include "fleet/slow_start_leases.h"
#include "fleet/slow_start_message.h"
#include "handover/handover.h"
#include "handover/learned_state_codec.h"
#include "net/event_loop.h"
#include "recording.h"
#include "scheduler/peer_load.h"

namespace keelflow::replay {
namespace {

std::string bytes_of(std::string_view hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return out;
}

/// The recorded text by name; each line is NAME TEXT.
const std::map<std::string, std::string>& recorded_messages() {
  static const std::map<std::string, std::string> lines = [] {
    std::map<std::string, std::string> read;
    std::ifstream file(std::string(REPLAY_RECORDINGS) + "/messages.txt");
    for (std::string line; std::getline(file, line);)
      read[line.substr(0, line.find(' '))] = line.substr(line.find(' ') + 1);
    return read;
  }();
  return lines;
}

void expect_message(const std::string& name, const std::string& text) {
  auto it = recorded_messages().find(name);
  EXPECT_EQ(name + " " + text,
            name + " " + (it == recorded_messages().end() ? "(not recorded)" : it->second));
}

// The recorded messages whose names begin with `prefix`, as bytes.
std::vector<std::string> recorded_bytes(const std::string& prefix) {
  std::vector<std::string> all;
  for (const auto& [name, text] : recorded_messages())
    if (name.starts_with(prefix))
      all.push_back(bytes_of(text));
  EXPECT_FALSE(all.empty()) << prefix;
  return all;
}

TEST(RecordedMessages, LoadUpdatesKeepTheirBytes) {
  Rng rng(61);
  for (int signal = 0; signal <= 6; ++signal) {
    for (int i = 0; i < 3; ++i) {
      scheduler::LoadUpdate update;
      update.endpoint = static_cast<scheduler::EndpointId>(rng.bits());
      update.incarnation_tag = static_cast<std::uint8_t>(rng.bits());
      update.in_flight = i == 2 ? 1000 : rng.between(0, 12);
      update.signal = static_cast<scheduler::LoadSignal>(signal);
      update.service_time_ratio = rng.between(0.1, 9);
      update.work_ms = rng.between(0, 20000);
      expect_message("load-update-" + std::to_string(signal) + std::to_string(i),
                     hex_of(scheduler::encode(update)));
    }
  }
  for (const std::string& bytes : recorded_bytes("load-update-")) {
    auto read = scheduler::decode_load_update(bytes);
    ASSERT_TRUE(read);
    // The last byte is significant for two signals only.
    bool has_detail = read->signal == scheduler::LoadSignal::served ||
                      read->signal == scheduler::LoadSignal::sent;
    std::size_t read_bytes = has_detail ? bytes.size() : bytes.size() - 1;
    EXPECT_EQ(hex_of(scheduler::encode(*read).substr(0, read_bytes)),
              hex_of(bytes.substr(0, read_bytes)));
  }
  EXPECT_FALSE(scheduler::decode_load_update("1234567"));
}

TEST(RecordedMessages, IncarnationTagsKeepTheirValues) {
  Rng rng(62);
  for (int i = 0; i < 6; ++i) {
    scheduler::EndpointEntry entry;
    entry.endpoint = static_cast<scheduler::EndpointId>(rng.bits());
    entry.started_at = i == 0 ? 0 : rng.between(0, 2e12);
    expect_message("incarnation-" + std::to_string(i),
                   std::to_string(scheduler::incarnation_of(entry)) + " " +
                       std::to_string(scheduler::incarnation_tag(entry)));
  }
}

TEST(RecordedMessages, SlowStartMessagesKeepTheirBytes) {
  Rng rng(63);
  for (int kind = 0; kind < 3; ++kind) {
    for (int i = 0; i < 3; ++i) {
      auto number = [&] {
        return static_cast<std::uint32_t>(rng.bits());
      };
      fleet::SlowStartMessage message{static_cast<fleet::SlowStartMessage::Kind>(kind),
                                      number(),
                                      number(),
                                      number(),
                                      number(),
                                      number(),
                                      number()};
      expect_message("slow-start-" + std::to_string(kind) + std::to_string(i),
                     hex_of(fleet::encode(message)));
    }
  }
  for (const std::string& bytes : recorded_bytes("slow-start-")) {
    auto read = fleet::decode_slow_start_message(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(hex_of(fleet::encode(*read)), hex_of(bytes));
  }
}

TEST(RecordedMessages, MembershipMessagesKeepTheirBytes) {
  Rng rng(64);
  for (int kind = 0; kind < 5; ++kind) {
    fleet::MembershipMessage message;
    message.kind = static_cast<fleet::MembershipMessage::Kind>(kind);
    message.number = static_cast<std::uint16_t>(rng.bits());
    message.incarnation = static_cast<std::uint32_t>(rng.bits());
    message.digest = static_cast<std::uint32_t>(rng.bits());
    message.subject = rng.below(900);
    for (int i = 0; i < 7 * kind; ++i)
      message.updates.push_back({rng.below(900), static_cast<fleet::MemberState>(1 + rng.below(3)),
                                 static_cast<std::uint32_t>(rng.bits()), rng.below(900)});
    expect_message("membership-" + std::to_string(kind), hex_of(fleet::encode(message)));
  }
  for (const std::string& bytes : recorded_bytes("membership-")) {
    auto read = fleet::decode_membership_message(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(hex_of(fleet::encode(*read)), hex_of(bytes));
  }
}

// Processes of earlier releases asked their peers in three bytes whether they have a watch. During
// an upgrade these bytes must not be taken for another message.
TEST(RecordedMessages, WatchMessagesOfEarlierReleasesAreNoOtherMessage) {
  std::vector<std::string> messages = recorded_bytes("watch-");
  ASSERT_EQ(messages.size(), 3u);
  for (const std::string& bytes : messages) {
    EXPECT_FALSE(fleet::decode_membership_message(bytes));
    EXPECT_FALSE(fleet::decode_slow_start_message(bytes));
    EXPECT_FALSE(scheduler::decode_load_update(bytes));
  }
}

scheduler::LearnedState example_learned_state() {
  scheduler::LearnedState state;
  state.classes = {{1.25, 900.5, 11}, {0.5, 0, 0}};
  state.kinds = {{4, 0.5}, {2, 1.5}};
  state.fleet = {{11, 22.125}, 150, 0.25};
  state.endpoints = {{7, 1000, {1.25, 5, 1, 2, 2000}, 3, 400},
                     {4000000000, 0, {0.75, 2.5, 0, 0, 0}, 0, 0}};
  return state;
}

Names example_names() {
  return {.classes = {"price", "hold"},
          .tenants = {},
          .zones = {"east", "west"},
          .kinds = {"fast", "slow"}};
}

TEST(RecordedMessages, LearnedStateKeepsItsText) {
  std::string written = to_json(example_learned_state(), example_names()).dump();
  expect_message("learned-state", written);
  auto it = recorded_messages().find("learned-state");
  ASSERT_NE(it, recorded_messages().end());
  scheduler::LearnedState read = from_json(nlohmann::json::parse(it->second), example_names());
  EXPECT_EQ(to_json(read, example_names()).dump(), it->second);
  EXPECT_EQ(text_of(scheduler::Event(read)), text_of(scheduler::Event(example_learned_state())));
}

/// One side of a handover, with a plain socket in place of the other process.
class RecordedHandover : public testing::Test {
 protected:
  RecordedHandover() {
    char name[] = "/tmp/keelflow-replay-XXXXXX";
    folder_ = ::mkdtemp(name);
  }
  ~RecordedHandover() override {
    if (peer_ >= 0)
      ::close(peer_);
    std::filesystem::remove_all(folder_);
  }

  std::unique_ptr<Handover> make_handover() {
    return std::make_unique<Handover>(
        loop_, folder_, "node-1",
        Handover::Callbacks{
            .welcome =
                [] {
                  return nlohmann::json{
                      {"out", {"box-3"}},
                      {"knowledge", {to_json(example_learned_state(), example_names())}}};
                },
            .on_welcome =
                [this](const nlohmann::json& message) {
                  received_.push_back("welcome " + message.dump());
                },
            .on_sibling_process = [](bool) {},
            .on_new_process_ready = [this] { received_.push_back("ready"); },
            .on_admin_override =
                [this](const std::string& host, bool out) {
                  received_.push_back("by-hand " + host + " " + std::to_string(out));
                },
            .on_load_update =
                [this](const std::string& update) {
                  received_.push_back("note " + hex_of(update));
                },
            .on_status_callback =
                [this](const std::string& body) {
                  received_.push_back("news " + body);
                  return true;
                }},
        counters_);
  }

  // The name of the only socket in the temporary folder of this test.
  std::string socket_name() const {
    for (const auto& entry : std::filesystem::directory_iterator(folder_))
      return entry.path().filename();
    return "";
  }
  static sockaddr_un address(const std::string& path) {
    sockaddr_un to{};
    to.sun_family = AF_UNIX;
    path.copy(to.sun_path, sizeof to.sun_path - 1);
    return to;
  }
  void connect() {
    sockaddr_un to = address(folder_ + "/" + socket_name());
    peer_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_EQ(::connect(peer_, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
  }
  void send(const std::string& line) const {
    ASSERT_EQ(::write(peer_, line.data(), line.size()), static_cast<ssize_t>(line.size()));
  }
  // Runs the event loop until the peer socket has received `count` lines.
  std::vector<std::string> lines(std::size_t count) {
    auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (static_cast<std::size_t>(std::count(unread_.begin(), unread_.end(), '\n')) < count &&
           std::chrono::steady_clock::now() < deadline)
      poll_once();
    std::vector<std::string> all;
    for (std::size_t end; all.size() < count && (end = unread_.find('\n')) != std::string::npos;
         unread_.erase(0, end + 1))
      all.push_back(unread_.substr(0, end));
    EXPECT_EQ(all.size(), count);
    all.resize(count);
    return all;
  }
  void wait_received(std::size_t count) {
    auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (received_.size() < count && std::chrono::steady_clock::now() < deadline)
      poll_once();
    EXPECT_EQ(received_.size(), count);
  }
  void poll_once() {
    loop_.at(loop_.now() + std::chrono::milliseconds(1), [this] { loop_.stop(); });
    loop_.run();
    char bytes[4096];
    ssize_t received = peer_ < 0 ? 0 : ::recv(peer_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (received > 0)
      unread_.append(bytes, static_cast<std::size_t>(received));
  }

  std::string folder_;
  std::string unread_;
  int peer_ = -1;
  std::vector<std::string> received_;
  Counters counters_;
  net::EventLoop loop_;
};

TEST_F(RecordedHandover, TheServingProcessKeepsItsMessages) {
  auto handover = make_handover();
  handover->listen();
  expect_message("handover-socket", socket_name());
  connect();
  send("{\"node\":\"node-1\",\"say\":\"hello\",\"version\":1}\n");
  expect_message("handover-welcome", lines(1)[0]);
  handover->send_admin_override("box-1", true);
  handover->send_admin_override("box-1", false);
  handover->send_load_update(std::string("\x00\xff\x10 8b", 6));
  handover->forward_status_callback("{\"id\":\"A\"}\r\n\xff");
  auto sent = lines(4);
  for (std::size_t i = 0; i < sent.size(); ++i)
    expect_message("handover-sent-" + std::to_string(i), sent[i]);
  send(
      "{\"say\":\"ready\"}\n{\"host\":\"box-2\",\"out\":true,\"say\":\"by-hand\"}\n{\"note\":"
      "\"00ff\",\"say\":\"note\"}\n{\"body\":\"x\",\"say\":\"news\"}\n");
  wait_received(4);
  // "by-hand box-2 1" is the administrative override that takes host box-2 out of service.
  EXPECT_EQ(received_,
            (std::vector<std::string>{"ready", "by-hand box-2 1", "note 00ff", "news x"}));
}

TEST_F(RecordedHandover, TheProcessThatTakesOverKeepsItsMessages) {
  std::string name = recorded_messages().contains("handover-socket")
                         ? recorded_messages().at("handover-socket")
                         : "none";
  int listening = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un at = address(folder_ + "/" + name);
  ASSERT_EQ(::bind(listening, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  ASSERT_EQ(::listen(listening, 1), 0);
  auto handover = make_handover();
  ASSERT_TRUE(handover->connect_to_old_process());
  peer_ = ::accept(listening, nullptr, nullptr);
  ASSERT_GE(peer_, 0);
  expect_message("handover-hello", lines(1)[0]);
  auto welcome = recorded_messages().find("handover-welcome");
  ASSERT_NE(welcome, recorded_messages().end());
  send(welcome->second + "\n");
  wait_received(1);
  handover->listen();
  expect_message("handover-ready", lines(1)[0]);
  ::close(listening);
}

}  // namespace
}  // namespace keelflow::replay
