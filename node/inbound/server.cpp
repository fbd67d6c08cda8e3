#include "inbound/server.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <exception>
#include <system_error>
#include <utility>

#include "log/log.h"
#include "net/memory.h"
#include "net/socket.h"

namespace keelflow {
namespace {

void must(bool ok, const char* what) {
  if (!ok)
    throw std::system_error(errno, std::generic_category(), what);
}

// A failed attempt to listen may be followed by others: it must not keep its descriptor.
struct Descriptor {
  int fd;
  ~Descriptor() {
    if (fd >= 0)
      ::close(fd);
  }
  int release() { return std::exchange(fd, -1); }
};

using namespace std::chrono_literals;

// From a request's first byte to its last, and from a connection's start to the first byte of all:
// one that cannot be read is owed an end within 3 s.
constexpr Duration kRequestPatience = 2500ms;
constexpr Duration kIdlePatience = 75s;
constexpr Duration kLinger = 1s;  // for a client to read why its connection ends
constexpr Duration kFresh =
    100ms;  // in which a connection is not closed for others: its request is on the way
constexpr Duration kFlushPatience = 30s;  // for a client to read what it was answered
constexpr Duration kAcceptPause = 10ms;
constexpr int kMostAccepts = 64;  // in one turn of the loop
constexpr std::size_t kMostPassedOver =
    8;  // that have something to say, when one is looked for to be closed
constexpr std::size_t kReserve =
    6;  // a sixth more connections than wanted are accepted, for call-backs
constexpr int kMostMessages = 4;  // of one connection, parsed in one go
// Read ahead of the present request, so that the client's end is seen behind what it has sent.
constexpr std::size_t kMaxReadAhead = 256 * 1024;
constexpr std::size_t kMaxReadAheadUnderPressure =
    16 * 1024;                                    // while the input budget is half used
constexpr std::size_t kMaxIdleBuffer = 4 * 1024;  // kept for the next bytes; more is freed

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string head_text(int status, const ExtraHeaders& headers) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out += reason(status);
  out += "\r\n";
  for (const auto& [name, value] : headers)
    if (name != "Connection")
      out += name + ": " + value + "\r\n";  // that one is the connection's own to say
  return out;
}

}  // namespace

InboundConnection::InboundConnection(Server& server, net::EventLoop& loop, Front& front)
    : server_(server),
      loop_(loop),
      front_(front),
      connection_(loop, *this),
      parser_(net::HttpParser::Kind::request, {}),
      since_(loop.now()) {
  guard(kRequestPatience);
}

InboundConnection::~InboundConnection() {
  loop_.cancel(timer_);
}

void InboundConnection::guard(Duration patience) {
  loop_.cancel(timer_);
  timer_ = loop_.at(loop_.now() + patience, [this] {
    // A request that came while this turn's other events were played has begun, though it is read
    // in the next one.
    auto verdict = may_close();
    if (verdict.reason() == operation_guard::Reason::bytes_unread) {
      if (server_.on_close_forbidden)
        server_.on_close_forbidden(verdict.reason());
      return guard(kRequestPatience);
    }
    if (!busy_ && keep_alive_ && !parser_.idle())
      return respond(408, "request timed out\n", {{"Connection", "close"}});
    if (connection_.pending() > 0)
      ++server_.counters_.slow_readers_closed;
    abandon();
  });
}

operation_guard::Verdict InboundConnection::may_close() const {
  if (!keep_alive_ && !busy_)
    return operation_guard::may_close({});  // it has its answer, and waits to see the end
  return operation_guard::may_close({.request_unanswered = busy_ || !parser_.idle(),
                                     .response_unsent = connection_.pending() > 0,
                                     .bytes_unread = connection_.unread() || has_unparsed()});
}

bool InboundConnection::crowded() {
  while (server_.connections_.size() > server_.most_)
    if (!server_.free_one(this))
      return true;
  return false;
}

int InboundConnection::spare(TimePoint now) const {
  if (busy_ || has_unparsed() || connection_.pending() > 0)
    return 0;
  if (!keep_alive_)
    return kOnlyLingers;
  if (!parser_.idle())
    return now - begun_ >= kFresh ? 2 : 0;
  if (asked_)
    return 1;
  return now - since_ >= kFresh ? 2 : 0;
}

void InboundConnection::on_data(std::string_view bytes) {
  if (!busy_ && !keep_alive_)
    return;  // answered, and closing
  waiting_ += bytes;
  if (!waits_turn_)
    parse();
  limit_reading();
  account();
}

// Reading goes on while a request is served because that is how a client's end is noticed. It stops
// where a client has sent very much ahead: from then on until all of that is read, its end may
// stand behind unread bytes.
void InboundConnection::limit_reading() {
  if (!connection_.open())
    return;
  std::size_t limit =
      server_.input_.allows_read_ahead() ? kMaxReadAhead : kMaxReadAheadUnderPressure;
  bool is_paused = waiting_.size() > limit;
  is_behind_ = is_behind_ || is_paused;
  connection_.pause_reading(is_paused);
}

bool InboundConnection::may_have_left() {
  is_behind_ = is_behind_ && connection_.readable();
  return is_behind_;
}

std::size_t InboundConnection::held() const {
  if (over_)
    return 0;
  return waiting_.capacity() + parser_.held() + request_.head.held() + request_.body.capacity();
}

void InboundConnection::account() {
  std::size_t before = std::exchange(accounted_, held());
  server_.input_.change(before, accounted_);
  if (accounted_ > before && server_.input_.is_exceeded())
    server_.shed_input();
}

void InboundConnection::drop_unfinished_input() {
  keep_alive_ = false;
  std::exchange(request_, {});
  net::HttpParser fresh(net::HttpParser::Kind::request, {});
  std::swap(parser_, fresh);
  net::release(waiting_);
  respond(503, "too much input waits for its end\n", {{"Retry-After", "1"}});
  account();
}

void InboundConnection::parse_later() {
  waits_turn_ = true;
  connection_.continue_next_turn();
}

// A client that does not read its answers gets no further ones: what is unsent stays bounded.
bool InboundConnection::may_parse() const {
  return !busy_ && keep_alive_ && !over_ && connection_.open() && connection_.pending() == 0;
}

void InboundConnection::on_turn() {
  waits_turn_ = false;
  parse();
  limit_reading();
  account();
}

// Parses a few requests of those that are waiting; the rest has its next turn after the other
// connections.
void InboundConnection::parse() {
  if (std::exchange(parsing_, true))
    return;
  std::size_t used = 0;
  for (int messages = 0; used < waiting_.size() && may_parse(); ++messages) {
    if (messages == kMostMessages) {
      parse_later();
      break;
    }
    bool fresh = parser_.idle();
    used += parser_.feed(std::string_view(waiting_).substr(used), *this);
    if (parser_.fault() != net::HttpParser::Fault::none) {
      used = waiting_.size();
      reject();
    } else if (fresh && !busy_ && !parser_.idle()) {
      begun_ = loop_.now();
      if (asked_)
        guard(kRequestPatience);  // a request that has begun must get on: a slow sender holds a
                                  // descriptor
    }
  }
  waiting_.erase(0, used);
  if (waiting_.empty() && waiting_.capacity() > kMaxIdleBuffer)
    net::release(waiting_);
  parsing_ = false;
}

void InboundConnection::on_head(const net::Head& head) {
  request_.head = head;
  request_.body.clear();
  if (net::same_word(head.find("Expect"), "100-continue"))
    connection_.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void InboundConnection::on_complete() {
  busy_ = asked_ = true;
  loop_.cancel(timer_);
  keep_alive_ = request_.head.keep_alive;
  // A fault of a front must not reach the other connections.
  try {
    auto exchange = front_.on_request(*this, std::exchange(request_, {}));
    if (exchange && over_)
      exchange->on_client_gone();  // it has gone while its request was taken
    if (busy_ && !over_)
      exchange_ = std::move(exchange);
    else
      loop_.dispose(std::move(exchange));
  } catch (const std::exception& fault) {
    log::error(log::Subsystem::inbound, "request-failed", {{"fault", fault.what()}});
    if (busy_ && !over_)
      respond(500, "internal error\n", {{"Connection", "close"}});
  }
}

void InboundConnection::reject() {
  front_.on_malformed();
  keep_alive_ = false;
  switch (parser_.fault()) {
    case net::HttpParser::Fault::head_too_large:
      return respond(431, "header too large\n");
    case net::HttpParser::Fault::body_too_large:
      return respond(413, "body too large\n");
    default:
      return respond(400, "malformed request\n");
  }
}

void InboundConnection::respond(int status, std::string_view body, const ExtraHeaders& headers) {
  if (over_)
    return;
  if (server_.draining_)
    keep_alive_ = false;
  for (const auto& [name, value] : headers)
    if (name == "Connection" && value == "close")
      keep_alive_ = false;
  std::string out = head_text(status, headers);
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!keep_alive_)
    out += "Connection: close\r\n";
  out += "\r\n";
  out += body;
  connection_.write(out);
  finished();
}

void InboundConnection::begin_stream(int status, const ExtraHeaders& headers) {
  if (server_.draining_)
    keep_alive_ = false;
  std::string out = head_text(status, headers) + "Transfer-Encoding: chunked\r\n";
  if (!keep_alive_)
    out += "Connection: close\r\n";
  connection_.write(out + "\r\n");
}

void InboundConnection::stream(std::string_view piece) {
  if (over_ || piece.empty())
    return;
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  std::string out = size;
  out += piece;
  out += "\r\n";
  connection_.write(out);
}

void InboundConnection::end_stream() {
  if (over_)
    return;
  connection_.write("0\r\n\r\n");
  finished();
}

void InboundConnection::finished() {
  busy_ = false;
  since_ = loop_.now();
  loop_.dispose(std::move(exchange_));
  if (!connection_.open())
    return;
  guard(connection_.pending() > 0 ? kFlushPatience : kIdlePatience);
  if (!keep_alive_) {
    guard(connection_.pending() > 0 ? kFlushPatience : kLinger);
    return connection_.close_when_flushed();
  }
  if (!parsing_)
    go_on();
}

// After an answer: what is waiting is parsed in a later turn.
void InboundConnection::go_on() {
  if (!waiting_.empty())
    parse_later();
  else
    limit_reading();
}

void InboundConnection::on_flushed() {
  if (!busy_ && parser_.idle())
    guard(kIdlePatience);
  if (!busy_ && !parsing_)
    go_on();
}

void InboundConnection::on_closed(int) {
  over();
}

void InboundConnection::abandon() {
  if (server_.monitor_)
    server_.monitor_->connection_closed(exchange_ != nullptr, connection_.peer_ended(),
                                        loop_.now());
  connection_.close();
  over();
}

void InboundConnection::over() {
  if (std::exchange(over_, true))
    return;
  account();
  loop_.cancel(timer_);
  if (auto exchange = std::move(exchange_)) {
    exchange->on_client_gone();
    loop_.dispose(std::move(exchange));
  }
  server_.remove(*this);
}

Server::Server(net::EventLoop& loop, Front& front, std::size_t most_connections, Counters& counters,
               std::size_t input_limit)
    : loop_(loop),
      front_(front),
      most_(most_connections),
      counters_(counters),
      input_(input_limit) {}

Server::~Server() {
  close();
}

void Server::listen(const net::Address& address) {
  Descriptor made{net::open_socket(AF_INET, SOCK_STREAM)};
  must(made.fd >= 0, "socket");
  int on = 1;
  setsockopt(made.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  must(::bind(made.fd, reinterpret_cast<const sockaddr*>(&address.in), sizeof address.in) == 0,
       "bind");
  serve(made.release());
}

// Whoever holds it has set its backlog. It does not block for them either; the flag is the
// socket's, not ours.
void Server::inherit(int fd) {
  fd_ = fd;
  must(::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK) == 0, "fcntl");
  must(::fcntl(fd, F_SETFD, FD_CLOEXEC) == 0, "fcntl");
  registration_ = loop_.watch(fd_, *this);
  must(registration_ != 0, "epoll_ctl");
}

void Server::listen(const std::string& path) {
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  if (path.size() >= sizeof to.sun_path)
    throw std::system_error(ENAMETOOLONG, std::generic_category(), path);
  path.copy(to.sun_path, sizeof to.sun_path - 1);
  const auto* address = reinterpret_cast<const sockaddr*>(&to);
  Descriptor probe{net::open_socket(AF_UNIX, SOCK_STREAM)};
  must(probe.fd >= 0, "socket");
  if (::connect(probe.fd, address, sizeof to) == 0)
    throw std::system_error(EADDRINUSE, std::generic_category(), path);
  if (errno == ECONNREFUSED)
    ::unlink(path.c_str());
  Descriptor made{net::open_socket(AF_UNIX, SOCK_STREAM)};
  must(made.fd >= 0, "socket");
  mode_t usual = ::umask(0177);  // there is never a moment in which others may connect
  bool bound = ::bind(made.fd, address, sizeof to) == 0;
  ::umask(usual);
  must(bound, path.c_str());
  path_ = path;
  serve(made.release());
}

void Server::serve(int fd) {
  fd_ = fd;
  must(::listen(fd_, 1024) == 0, "listen");
  registration_ = loop_.watch(fd_, *this);
  must(registration_ != 0, "epoll_ctl");
}

net::Address Server::address() const {
  net::Address bound;
  socklen_t size = sizeof bound.in;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&bound.in), &size);
  return bound;
}

void Server::on_ready(std::uint32_t) {
  accept();
}

// What the kernel has accepted is taken by the platform's rules, so nothing waits in the backlog if
// it can be helped: others make room first, and only when none can be spared does accepting pause.
// Who connects faster than we accept must not hold the loop: after some the others get their turn.
void Server::accept(bool all) {
  for (int count = 0; fd_ >= 0 && accepting_; ++count) {
    if (count == kMostAccepts && !all)
      return loop_.next_turn(registration_);
    if (connections_.size() >= most_ + most_ / kReserve && !free_one())
      return pause();
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EAGAIN)
        return;
      if (errno == EINTR || errno == ECONNABORTED)
        continue;
      if (free_one() || (on_pressure && on_pressure()))
        continue;
      return pause();  // EMFILE, ENFILE, ENOMEM
    }
    if (connections_.size() >= most_)
      free_one();
    ++counters_.connections_accepted;
    auto connection = std::make_unique<InboundConnection>(*this, loop_, front_);
    InboundConnection* raw = connection.get();
    connections_.emplace(raw, std::move(connection));
    if (!raw->adopt(fd))
      raw->over();
  }
}

// The edge is used up: without this timer nobody would call accept again.
void Server::pause() {
  ++counters_.accept_paused;
  loop_.cancel(pause_);
  pause_ = loop_.at(loop_.now() + kAcceptPause, [this] { accept(); });
}

// Whether bytes of the client wait is asked of the kernel, so only of the one that would be closed.
bool Server::free_one(const InboundConnection* except) {
  std::vector<const InboundConnection*> passed_over = {except};
  TimePoint now = loop_.now();
  while (passed_over.size() <= kMostPassedOver) {
    InboundConnection* best = most_spare(now, passed_over);
    if (!best)
      return false;
    if (best->spare(now) == InboundConnection::kOnlyLingers || best->quiet()) {
      ++counters_.connections_shed;
      best->abandon();
      return true;
    }
    passed_over.push_back(best);
  }
  return false;
}

InboundConnection* Server::most_spare(TimePoint now,
                                      const std::vector<const InboundConnection*>& but) const {
  InboundConnection* best = nullptr;
  int most = 0;
  for (const auto& [raw, connection] : connections_) {
    int spare = raw->spare(now);
    if (spare == 0 || spare < most || (spare == most && raw->since() >= best->since()))
      continue;
    if (std::find(but.begin(), but.end(), raw) != but.end())
      continue;
    best = raw;
    most = spare;
  }
  return best;
}

// The requests that have taken longest to arrive are rejected first. One that is complete is never
// rejected for its memory.
void Server::shed_input() {
  while (input_.is_exceeded()) {
    InboundConnection* slowest = nullptr;
    for (const auto& [raw, connection] : connections_) {
      if (raw->has_unfinished_input() && (!slowest || raw->begun() < slowest->begun()))
        slowest = raw;
    }
    if (!slowest)
      return;
    ++counters_.input_shed;
    slowest->drop_unfinished_input();
  }
}

void Server::remove(InboundConnection& connection) {
  auto it = connections_.find(&connection);
  if (it == connections_.end())
    return;
  loop_.dispose(std::move(it->second));
  connections_.erase(it);
}

std::size_t Server::busy() const {
  std::size_t count = 0;
  for (const auto& [raw, connection] : connections_)
    count += !raw->idle();
  return count;
}

void Server::drain() {
  draining_ = true;
}

void Server::accepting(bool on) {
  accepting_ = on;
  if (on)
    accept();
}

void Server::close_idle() {
  std::vector<InboundConnection*> idle;
  for (auto& [raw, connection] : connections_)
    if (raw->spare(loop_.now()) > 0 && raw->idle())
      idle.push_back(raw);
  for (InboundConnection* connection : idle) {
    auto verdict = connection->may_close();  // asked at the last moment
    if (verdict.allowed())
      connection->abandon();
    else if (on_close_forbidden)
      on_close_forbidden(verdict.reason());
  }
}

void Server::take_the_last() {
  if (fd_ < 0)
    return;
  accept(true);
  close();
}

void Server::close() {
  loop_.cancel(pause_);
  if (fd_ < 0)
    return;
  loop_.forget(registration_);
  ::close(std::exchange(fd_, -1));
  if (!path_.empty())
    ::unlink(path_.c_str());
}

}  // namespace keelflow
