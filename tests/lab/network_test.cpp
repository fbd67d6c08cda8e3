// The lab's network: what each fault does to a stream and to a datagram, seen from both ends.
#include "network.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>

#include "inbound/server.h"
#include "nodes.h"

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;

struct Client final : net::Connection::Events {
  Client(net::EventLoop& loop, const net::Address& to) : connection(loop, *this) {
    connection.connect(to);
  }
  void on_connected() override { connected = true; }
  void on_data(std::string_view bytes) override { got += bytes; }
  void on_closed(int error) override { closed = true, fault = error; }
  net::Connection connection;
  std::string got;
  bool connected = false, closed = false;
  int fault = 0;
};

struct Mailbox final : net::EventLoop::Handler {
  explicit Mailbox(net::EventLoop& the_loop)
      : loop(the_loop), fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
    address = *net::parse_address("127.0.0.1:0");
    ::bind(fd, reinterpret_cast<sockaddr*>(&address.in), sizeof address.in);
    socklen_t size = sizeof address.in;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address.in), &size);
    registration = loop.watch(fd, *this);
  }
  ~Mailbox() override { loop.forget(registration), ::close(fd); }
  void on_ready(std::uint32_t) override {
    char buffer[64];
    net::Address from;
    for (;;) {
      socklen_t size = sizeof from.in;
      ssize_t got =
          ::recvfrom(fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from.in), &size);
      if (got < 0)
        return;
      letters.emplace_back(from.text(), std::string(buffer, static_cast<std::size_t>(got)));
    }
  }
  void send(const net::Address& to, std::string_view text) const {
    ::sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to.in),
             sizeof to.in);
  }
  net::EventLoop& loop;
  int fd;
  net::Address address;
  std::uint64_t registration;
  std::vector<std::pair<std::string, std::string>> letters;
};

// One place `a`, and `b` with something that echoes.
struct NetworkTest : testing::Test, Front {
  NetworkTest() : network(loop, 1), server(loop, *this, 16, counters) {
    a = network.add("a", "east", "north"), b = network.add("b", "west", "south");
    server.listen(*net::parse_address("127.0.0.1:0"));
    way = network.stream(a, b, server.address());
  }
  std::unique_ptr<Exchange> on_request(InboundConnection& connection,
                                       HttpRequest request) override {
    connection.respond(200, request.body);
    return nullptr;
  }
  void until(const std::function<bool()>& holds) {
    TimePoint limit = loop.now() + 20s;
    std::function<void()> look = [&] {
      if (holds() || loop.now() > limit)
        return loop.stop();
      loop.at(loop.now() + 1ms, look);
    };
    look();
    loop.run();
    EXPECT_TRUE(holds());
  }
  void pass(Duration span) {
    loop.at(loop.now() + span, [this] { loop.stop(); });
    loop.run();
  }
  void ask(Client& client) {
    client.connection.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi");
  }
  static bool answered(const Client& client) { return client.got.ends_with("hi"); }

  net::EventLoop loop;
  Counters counters;
  Network network;
  Server server;
  Network::Place a, b;
  net::Address way;
};

TEST_F(NetworkTest, AStreamPassesAndTakesItsDelayEachWay) {
  Client client(loop, way);
  ask(client);
  until([&] { return answered(client); });
  network.change("a", "b", [](Network::Link& l) { l.delay = 30ms; });
  network.change("b", "a", [](Network::Link& l) { l.delay = 20ms; });
  client.got.clear();
  TimePoint before = loop.now();
  ask(client);
  until([&] { return answered(client); });
  EXPECT_GE(loop.now() - before, 50ms);
}

TEST_F(NetworkTest, ACutIsSilentAndWhatWaitedArrivesWhenItHeals) {
  Client client(loop, way);
  until([&] { return client.connected; });
  network.change("b", "a", [](Network::Link& l) {
    l.cut = true;
  });  // one way: the request passes, the answer does not
  ask(client);
  until([&] { return counters.connections_accepted == 1; });
  Client late(loop, way);
  pass(100ms);
  EXPECT_TRUE(client.got.empty() && !client.closed);
  EXPECT_FALSE(late.connected || late.closed);
  network.heal("b", "a");
  until([&] { return answered(client); });
  until([&] { return late.connected; });  // its handshake is tried again
}

TEST_F(NetworkTest, APlaceThatIsDownRefusesAndComesBackUnderItsAddress) {
  network.down(b, true);
  Client refused(loop, way);
  until([&] { return refused.closed; });
  EXPECT_FALSE(refused.connected);
  network.down(b, false);
  Client client(loop, way);
  ask(client);
  until([&] { return answered(client); });
}

TEST_F(NetworkTest, AResetBreaksWhatIsOpen) {
  Client client(loop, way);
  ask(client);
  until([&] { return answered(client); });
  network.reset("a", "b");
  until([&] { return client.closed; });
  EXPECT_NE(client.fault, 0);
}

TEST_F(NetworkTest, DatagramsComeFromTheAddressByWhichTheirSenderIsKnown) {
  Mailbox one(loop), two(loop);
  net::Address to_two = network.datagrams(a, b, one.address, two.address),
               to_one = network.datagrams(b, a, two.address, one.address);
  one.send(to_two, "there");
  until([&] { return two.letters.size() == 1; });
  EXPECT_EQ(two.letters[0], std::pair(to_one.text(), std::string("there")));
  two.send(to_one, "back");
  until([&] { return one.letters.size() == 1; });
  EXPECT_EQ(one.letters[0].first, to_two.text());
  EXPECT_EQ(network.datagram_bytes(), 9u);
}

TEST_F(NetworkTest, DatagramsAreLostDoubledAndCutOneWay) {
  Mailbox one(loop), two(loop);
  net::Address to_two = network.datagrams(a, b, one.address, two.address),
               to_one = network.datagrams(b, a, two.address, one.address);
  network.change("a", "b", [](Network::Link& l) { l.loss = 0.5, l.doubled = 1; });
  for (int i = 0; i < 200; ++i)
    one.send(to_two, "x");
  pass(50ms);
  EXPECT_GT(two.letters.size(), 120u);  // 200 expected of 400
  EXPECT_LT(two.letters.size(), 280u);
  EXPECT_EQ(two.letters.size() % 2, 0u);
  network.change("east", "south", [](Network::Link& l) { l.cut = true; });
  two.letters.clear();
  one.send(to_two, "lost");
  two.send(to_one, "heard");
  until([&] { return one.letters.size() == 1; });
  EXPECT_TRUE(two.letters.empty());
  EXPECT_TRUE(network.hears(a, b) && !network.hears(b, a));
}

TEST_F(NetworkTest, WordsNamePlaces) {
  Network other(loop, 1);
  for (auto [name, box] : {std::pair("n0", false),
                           {"new-1", true},
                           {"new-2", true},
                           {"discovery", false},
                           {"clients", false}})
    other.add(name,
              std::string(name) == "discovery" || std::string(name) == "clients" ? "" : "east", "",
              box);
  EXPECT_EQ(other.places("boxes:n"), (std::vector<Network::Place>{1, 2}));
  EXPECT_EQ(other.places("east"), (std::vector<Network::Place>{0, 1, 2}));
  EXPECT_EQ(other.places("all"), (std::vector<Network::Place>{0, 1, 2, 3}));
  other.change("east", "all", [](Network::Link& l) { l.cut = true; });  // to what is outside it
  EXPECT_TRUE(other.link(0, 3).cut);
  EXPECT_FALSE(other.link(0, 1).cut || other.link(3, 0).cut);
}

// Guards against nodes that end at their start with "Address already in use": a port was given out
// again before its first owner had bound it.
TEST(FreeAddress, NoPortIsGivenOutTwice) {
  constexpr std::size_t kDraws = 1000;
  std::set<in_port_t> ports;
  for (std::size_t i = 0; i < kDraws; ++i)
    ports.insert(free_address(SOCK_STREAM).in.sin_port);
  EXPECT_EQ(ports.size(), kDraws);
}

}  // namespace
}  // namespace keelflow::lab
