// The datagrams between nodes, and the addresses that the platform gives for them.
#include "peers/peers.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/config.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;

// A stand-in for another node: a socket of its own.
struct Stranger {
  Stranger() : fd(::socket(AF_INET, SOCK_DGRAM, 0)) {
    address = *net::parse_address("127.0.0.1:0");
    ::bind(fd, reinterpret_cast<sockaddr*>(&address.in), sizeof address.in);
    socklen_t size = sizeof address.in;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address.in), &size);
    timeval timeout{.tv_sec = 20, .tv_usec = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  ~Stranger() { ::close(fd); }
  void send(const net::Address& to, std::string_view text) const {
    ::sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to.in),
             sizeof to.in);
  }
  std::string receive() const {
    char buffer[512];
    ssize_t got = ::recv(fd, buffer, sizeof buffer, 0);
    return got < 0 ? "nothing came" : std::string(buffer, static_cast<std::size_t>(got));
  }
  int fd;
  net::Address address;
};

struct PeersTest : testing::Test {
  PeersTest()
      : peers(
            loop, {*net::parse_address("127.0.0.1:1"), friendly.address}, 0,
            [this](int peer, const std::string& bytes) { received.emplace_back(peer, bytes); },
            counters) {}
  // Until so many datagrams were read.
  void run_until(std::uint64_t count) {
    TimePoint limit = loop.now() + 20s;
    std::function<void()> check = [&] {
      if (counters.peer_messages_received + counters.peer_messages_unknown >= count ||
          loop.now() > limit)
        return loop.stop();
      loop.at(loop.now() + 1ms, check);
    };
    check();
    loop.run();
  }
  Stranger friendly, stranger;
  net::EventLoop loop;
  Counters counters;
  std::vector<std::pair<int, std::string>> received;
  Peers peers;
};

TEST_F(PeersTest, OnlyPeersMessagesAreReceivedAndByTheirRank) {
  ASSERT_TRUE(peers.open(*net::parse_address("127.0.0.1:0")));
  stranger.send(peers.address(), "who am I");
  friendly.send(peers.address(), "");
  friendly.send(peers.address(), std::string(257, 'x'));
  for (int i = 0; i < 200; ++i)
    friendly.send(peers.address(), std::to_string(i));  // more than are read at once
  run_until(203);
  EXPECT_EQ(counters.peer_messages_unknown, 3u);
  ASSERT_EQ(received.size(), 200u);
  EXPECT_EQ(received.front(), (std::pair<int, std::string>(1, "0")));
  EXPECT_EQ(received.back().second, "199");
}

TEST_F(PeersTest, WhatCannotBeSentIsDroppedAndCounted) {
  peers.send_datagram(1, "not open yet");
  ASSERT_TRUE(peers.open(*net::parse_address("127.0.0.1:0")));
  peers.send_datagram(1, std::string(257, 'x'));
  peers.send_datagram(0, "to myself");
  peers.send_datagram(2, "nobody");
  peers.send_datagram(-1, "nobody");
  EXPECT_EQ(counters.peer_messages_dropped, 5u);
  peers.send_datagram(1, "hello");
  EXPECT_EQ(friendly.receive(), "hello");
  EXPECT_EQ(counters.peer_messages_sent, 1u);
}

TEST_F(PeersTest, AnAddressThatIsTakenIsReportedAndTheNodeGoesOn) {
  EXPECT_FALSE(peers.open(stranger.address));
  peers.send_datagram(1, "dropped");
  EXPECT_EQ(counters.peer_messages_dropped, 1u);
}

std::string config_with(const std::string& peers, const std::string& allowed) {
  return R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2")" + peers +
         R"(,"settings":{"balancers":2,"rank":1,"locality":0,"dcs":["a"],"kinds":["m"],"granularity_ms":4,"registry_mode":"ask",
             "safety":{"drain_grace_ms":500,"grace_to_answer_ms":16,"cold_from":0.1,"cold_ms":20000,"fall_multiple":4,"fall_ms":2000},
             "classes":[{"name":"render","effect":"safe","target_ms":200,"give_up_ms":1000}],
             "limits":{"try_limit":3,"peer_messages":)" +
         allowed + "}}}";
}

TEST(PeersConfig, AddressesAreReadWhereMessagesAreAllowed) {
  const std::string both = R"(,"peer_listen":"127.0.0.1:5","peers":["127.0.0.1:4","127.0.0.1:5"])";
  Config c = decode_config(config_with(both, "true"));
  ASSERT_TRUE(c.peer_listen && c.settings.peers);
  EXPECT_EQ(c.peers.at(0).text(), "127.0.0.1:4");
  EXPECT_FALSE(decode_config(config_with(both, "false")).peer_listen);
  EXPECT_FALSE(decode_config(config_with("", "true")).settings.peers);  // allowed, and no address
  EXPECT_THROW(
      decode_config(config_with(R"(,"peer_listen":"127.0.0.1:5","peers":["127.0.0.1:4"])", "true")),
      ConfigError);
  EXPECT_THROW(
      decode_config(config_with(R"(,"peer_listen":"127.0.0.1:5","peers":["a","b"])", "true")),
      ConfigError);
}

}  // namespace
}  // namespace keelflow
