// Clients that send at full speed, ahead, or never to the end: they neither hold the loop nor make
// the process grow, and their going is noticed.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>

#include "inbound/server.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;

constexpr Duration kLimit = 20s;
constexpr std::size_t kTurnShare = 64 * 1024;  // bytes of one connection that a turn may take

struct Client {
  explicit Client(const net::Address& to, int buffer = 0)
      : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (buffer > 0) {
      ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
      ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    }
    ::connect(fd, reinterpret_cast<const sockaddr*>(&to.in), sizeof to.in);
  }
  ~Client() { ::close(fd); }
  // What the kernel takes without waiting.
  std::size_t send(std::string_view bytes) const {
    ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  std::size_t read() const {
    char buffer[65536];
    std::size_t all = 0;
    for (ssize_t got = 1; got > 0; all += static_cast<std::size_t>(std::max<ssize_t>(0, got)))
      got = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    return all;
  }
  int fd;
};

std::string request(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
}

std::string repeat(const std::string& text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes)
    all += text;
  return all;
}

// Answers each request, at once or from a deferred task as the scheduler's rejections do.
class EchoFront final : public Front {
 public:
  EchoFront(net::EventLoop& loop, bool at_once) : loop_(loop), at_once_(at_once) {}
  std::unique_ptr<Exchange> on_request(InboundConnection& connection,
                                       HttpRequest request) override {
    if (request.head.target == "/usual")
      bad_before_usual = bad;
    else
      ++bad;
    if (at_once_) {
      connection.respond(404, "no such class\n");
      return nullptr;
    }
    auto exchange = std::make_unique<Later>();
    loop_.defer([&connection, alive = std::weak_ptr(exchange->alive)] {
      if (!alive.expired())
        connection.respond(404, "no such class\n");
    });
    return exchange;
  }
  std::size_t bad = 0;
  std::optional<std::size_t> bad_before_usual;

 private:
  struct Later final : Exchange {
    std::shared_ptr<int> alive = std::make_shared<int>(0);
  };
  net::EventLoop& loop_;
  bool at_once_;
};

class FairShare : public testing::TestWithParam<bool> {
 protected:
  FairShare() : front(loop, GetParam()), server(loop, front, 100, counters) {
    server.listen(*net::parse_address("127.0.0.1:0"));
  }
  // Calls `step` until it returns true.
  void run_until(const std::function<bool()>& step) {
    TimePoint limit = loop.now() + kLimit;
    std::function<void()> check = [&] {
      if (step() || loop.now() > limit)
        return loop.stop();
      loop.at(loop.now() + 1ms, check);
    };
    check();
    loop.run();
  }
  net::EventLoop loop;
  Counters counters;
  EchoFront front;
  Server server;
};
INSTANTIATE_TEST_SUITE_P(Answers, FairShare, testing::Bool(),
                         [](const auto& at_once) { return at_once.param ? "AtOnce" : "Later"; });

// Guards against a node that answers nobody: each answer to a pipelining client renewed the share
// of bytes that a turn reads from it, so that the loop did not leave its connection.
TEST_P(FairShare, AClientAtFullSpeedDoesNotHoldUpTheNextOne) {
  Client bad(server.address()), usual(server.address());
  const std::string hundreds = repeat(request("/bad"), std::size_t{4} << 20);
  ASSERT_GT(bad.send(hundreds), 4 * kTurnShare) << "the kernel holds too little for this test";
  usual.send(request("/usual"));
  run_until([&] {
    bad.read();
    return front.bad_before_usual.has_value();
  });
  ASSERT_TRUE(front.bad_before_usual.has_value());
  // The turn that accepts both and the one that reads both.
  EXPECT_LE(*front.bad_before_usual, 2 * kTurnShare / request("/bad").size());
}

// Guards against memory that grows with the requests of a client that does not read its answers.
TEST_P(FairShare, AClientThatDoesNotReadIsNotAnsweredWithoutEnd) {
  constexpr std::size_t kSent = std::size_t{64} << 20;
  constexpr int kSmallBuffer = 64 * 1024;
  Client bad(server.address(), kSmallBuffer);
  const std::string hundreds = repeat(request("/bad"), 1 << 20);
  std::size_t sent = 0;
  int idle_steps = 0;
  run_until([&] {
    std::size_t now = bad.send(std::string_view(hundreds).substr(sent % hundreds.size()));
    sent += now;
    idle_steps = now == 0 ? idle_steps + 1 : 0;
    return sent >= kSent || idle_steps > 200;
  });
  EXPECT_LT(sent, kSent) << "it is read on while its answers pile up";
  // What waits is answered once it reads.
  std::size_t answered = front.bad;
  run_until([&] {
    bad.read();
    return front.bad >= 2 * answered || front.bad >= sent / request("/bad").size();
  });
  EXPECT_GT(front.bad, answered);
}

// Guards against a request that was read and is parsed in a later turn, whose connection counted as
// idle and was closed.
TEST_P(FairShare, AllRequestsOfAPipelineAreAnsweredThoughIdleConnectionsAreClosed) {
  constexpr std::size_t kRequests = 1000;
  Client client(server.address());
  const std::string hundreds = repeat(request("/bad"), kRequests * request("/bad").size());
  ASSERT_EQ(client.send(hundreds), hundreds.size());
  run_until([&] {
    client.read();
    server.close_idle();
    return front.bad >= kRequests;
  });
  EXPECT_EQ(front.bad, kRequests);
}

// Guards against a process over its memory limit: the header fields of hundreds of unfinished
// requests took many times the bytes that were received.
TEST(Head, ManyShortFieldsTakeAboutAsMuchMemoryAsTheirBytes) {
  struct Sink final : net::HttpParser::Sink {
    void on_head(const net::Head& h) override { head = h; }
    void on_body(std::string_view) override {}
    void on_complete() override {}
    net::Head head;
  } sink;
  const std::string text =
      "POST /x HTTP/1.1\r\n" + repeat("a:\r\n", 15'000) + "Content-Length: 9\r\n\r\nhalf";
  net::HttpParser parser(net::HttpParser::Kind::request, {});
  EXPECT_EQ(parser.feed(text, sink), text.size());
  EXPECT_EQ(sink.head.find("Content-Length"), "9");
  EXPECT_EQ(sink.head.count("A"), 3750u);
  EXPECT_LE(sink.head.held() + parser.held(), text.size() + 1024);
}

// Guards against the same by bodies: input of requests that are not complete has a limit in sum.
TEST(InputLimit, TheSlowestUnfinishedRequestsAreRejectedAndOthersServed) {
  constexpr std::size_t kInputLimit = 256 * 1024;
  constexpr std::size_t kHalfBody = 32 * 1024;
  constexpr int kClients = 30;
  const std::string half =
      "POST /bad HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(kHalfBody, 'x');
  net::EventLoop loop;
  Counters counters;
  EchoFront front(loop, true);
  Server server(loop, front, 100, counters, kInputLimit);
  server.listen(*net::parse_address("127.0.0.1:0"));
  std::vector<std::unique_ptr<Client>> clients;
  std::size_t most_held = 0;
  TimePoint limit = loop.now() + kLimit;
  std::function<void()> check = [&] {
    most_held = std::max(most_held, server.input_held());
    if (loop.now() > limit || front.bad_before_usual)
      return loop.stop();
    if (clients.size() < kClients) {
      clients.push_back(std::make_unique<Client>(server.address()));
      EXPECT_EQ(clients.back()->send(half), half.size());
    } else if (counters.input_shed > 0 && clients.size() == kClients) {
      clients.push_back(std::make_unique<Client>(server.address()));
      clients.back()->send(request("/usual"));
    }
    loop.at(loop.now() + 1ms, check);
  };
  check();
  loop.run();
  EXPECT_TRUE(front.bad_before_usual) << "the usual client was not served";
  EXPECT_LE(most_held, kInputLimit);
  std::array<char, 64> answer{};
  ssize_t got = ::recv(clients.front()->fd, answer.data(), answer.size(), MSG_DONTWAIT);
  ASSERT_GT(got, 0);
  std::string_view text(answer.data(), static_cast<std::size_t>(got));
  EXPECT_TRUE(text.starts_with("HTTP/1.1 503")) << text;
}

// Holds the first request until the test answers it, and counts the ones that follow.
class HoldingFront final : public Front {
 public:
  std::unique_ptr<Exchange> on_request(InboundConnection& connection, HttpRequest) override {
    if (first) {
      connection.may_have_left() ? ++rejected : ++begun;
      connection.respond(503, "refused\n");
      return nullptr;
    }
    first = &connection;
    return std::make_unique<Held>(*this);
  }
  InboundConnection* first = nullptr;
  bool is_client_gone = false;
  int begun = 0, rejected = 0;

 private:
  struct Held final : Exchange {
    explicit Held(HoldingFront& owner) : front(owner) {}
    void on_client_gone() override { front.is_client_gone = true; }
    HoldingFront& front;
  };
};

class ClientThatSendsAhead : public ::testing::Test {
 protected:
  ClientThatSendsAhead() : server_(loop_, front_, 100, counters_) {
    server_.listen(*net::parse_address("127.0.0.1:0"));
  }
  // Sends `bytes` of requests, less what the kernel does not take, and leaves.
  void send_and_leave(std::size_t bytes) {
    const std::string requests = repeat(request("/x"), bytes);
    Client client(server_.address(), kSendBuffer);
    std::size_t sent = 0;
    run_until([&] {
      sent += client.send(std::string_view(requests).substr(sent));
      return sent == requests.size() || (front_.first && server_.input_held() == held_before_);
    });
  }
  void run_until(const std::function<bool()>& step) {
    TimePoint limit = loop_.now() + kLimit;
    std::function<void()> check = [&] {
      if (step() || loop_.now() > limit)
        return loop_.stop();
      held_before_ = server_.input_held();
      loop_.at(loop_.now() + 5ms, check);
    };
    check();
    loop_.run();
  }

  static constexpr int kSendBuffer = 1 << 20;
  net::EventLoop loop_;
  Counters counters_;
  HoldingFront front_;
  Server server_;
  std::size_t held_before_ = 0;
};

// Guards against work for a client that has left: its end stood behind requests that nobody read.
TEST_F(ClientThatSendsAhead, IsKnownToHaveLeftWhileItsFirstRequestIsServed) {
  send_and_leave(200 * 1024);
  run_until([&] { return front_.is_client_gone; });
  EXPECT_TRUE(front_.is_client_gone);
}

// Guards against the same beyond what is read ahead: further requests are rejected until all that
// the client has sent is read.
TEST_F(ClientThatSendsAhead, BeginsNoFurtherRequestWhileItsEndMayBeUnread) {
  send_and_leave(std::size_t{8} << 20);
  ASSERT_FALSE(front_.is_client_gone) << "the kernel holds too little for this test";
  front_.first->respond(200, "");
  run_until([&] { return server_.connections() == 0; });
  EXPECT_EQ(server_.connections(), 0u);
  EXPECT_GT(front_.rejected, 0);
  EXPECT_EQ(front_.begun, 0);
}

// Guards against clients that send much ahead at the cost of those that send one request slowly.
TEST(InputLimit, WhatIsReadAheadLeavesRoomForRequestsThatArrive) {
  constexpr std::size_t kInputLimit = std::size_t{2} << 20;
  constexpr std::size_t kAhead = 200 * 1024;
  constexpr int kAheadClients = 30;
  constexpr int kSlowClients = 4;
  struct HoldsAll final : Front {
    std::unique_ptr<Exchange> on_request(InboundConnection&, HttpRequest) override {
      ++taken;
      return std::make_unique<Exchange>();
    }
    int taken = 0;
  } front;
  net::EventLoop loop;
  Counters counters;
  Server server(loop, front, 100, counters, kInputLimit);
  server.listen(*net::parse_address("127.0.0.1:0"));
  std::vector<std::unique_ptr<Client>> clients;
  const std::string ahead = repeat(request("/x"), kAhead);
  const std::string half =
      "POST /x HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(32 * 1024, 'x');
  const std::string rest(32 * 1024, 'x');
  for (int i = 0; i < kAheadClients; ++i) {
    clients.push_back(std::make_unique<Client>(server.address(), 1 << 20));
    clients.back()->send(ahead);
  }
  TimePoint limit = loop.now() + kLimit;
  std::size_t held_before = 1;
  std::function<void()> check = [&] {
    bool is_still = std::exchange(held_before, server.input_held()) == held_before;
    auto slow = static_cast<std::size_t>(kAheadClients);
    if (loop.now() > limit || front.taken == kAheadClients + kSlowClients)
      return loop.stop();
    if (front.taken == kAheadClients && is_still && clients.size() == slow) {
      for (int i = 0; i < kSlowClients; ++i) {
        clients.push_back(std::make_unique<Client>(server.address()));
        clients.back()->send(half);
      }
    } else if (clients.size() > slow && is_still) {
      for (std::size_t i = slow; i < clients.size(); ++i)
        clients[i]->send(rest);
    }
    loop.at(loop.now() + 5ms, check);
  };
  check();
  loop.run();
  EXPECT_EQ(front.taken, kAheadClients + kSlowClients);
  EXPECT_EQ(counters.input_shed, 0u);
}

// Is readable and never done: it asks for its next turn whenever it is called.
class Flooded final : public net::EventLoop::Handler {
 public:
  explicit Flooded(net::EventLoop& loop) : loop_(loop) {
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends_) == 0)
      registration_ = loop.watch(ends_[0], *this);
  }
  ~Flooded() override {
    loop_.forget(registration_);
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  void on_ready(std::uint32_t) override { work(); }
  void on_turn() override { work(); }
  int most_in_a_turn = 0;

 private:
  void work() {
    if (std::exchange(turn_, loop_.turn()) != loop_.turn())
      calls_ = 0;
    most_in_a_turn = std::max(most_in_a_turn, ++calls_);
    ssize_t written = ::send(ends_[1], "x", 1, MSG_DONTWAIT);  // a further edge
    if (written < 0 || ++works_ > kWorks)
      return loop_.stop();
    loop_.next_turn(registration_);
  }
  static constexpr int kWorks = 100;
  net::EventLoop& loop_;
  int ends_[2] = {-1, -1};
  std::uint64_t registration_ = 0, turn_ = 0;
  int calls_ = 0, works_ = 0;
};

// Guards against a flood of datagrams that took more and more of each turn: every edge that came
// while a turn was owed added a further one.
TEST(EventLoop, AHandlerWithUnfinishedWorkGetsOneFurtherCallInATurn) {
  net::EventLoop loop;
  Flooded flooded(loop);
  flooded.on_ready(0);
  loop.run();
  EXPECT_LE(flooded.most_in_a_turn, 2);
}

}  // namespace
}  // namespace keelflow
