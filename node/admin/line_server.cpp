#include "admin/line_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "net/socket.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
constexpr Duration kPatience =
    1500ms;  // for a whole call, and then for the caller to read its answer
constexpr Duration kFresh =
    30ms;  // a caller that has just come is not ended for another: its call is on the way
constexpr Duration kRetry = 10ms;
constexpr std::size_t kMostLine = 512;

void must(bool ok, const char* what) {
  if (!ok)
    throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace

class LineServer::Caller final : net::Connection::Events {
 public:
  Caller(LineServer& server, std::uint64_t number)
      : server_(server),
        loop_(server.loop_),
        number_(number),
        connection_(loop_, *this),
        since_(loop_.now()) {
    guard();
  }
  ~Caller() override { loop_.cancel(timer_); }

  bool adopt(int fd) { return connection_.adopt(fd); }
  std::uint64_t number() const { return number_; }
  TimePoint since() const { return since_; }

 private:
  void on_data(std::string_view bytes) override {
    if (answered_)
      return;
    line_ += bytes;
    auto end = line_.find('\n');
    if (end == std::string::npos && line_.size() <= kMostLine)
      return;
    if (end == std::string::npos || end > kMostLine)
      return answer("error the line is too long\n");
    line_.resize(end);
    if (!line_.empty() && line_.back() == '\r')
      line_.pop_back();
    answer(server_.answer_(line_));
  }
  void on_closed(int) override { server_.remove(*this); }

  void answer(const std::string& text) {
    answered_ = true;
    ++server_.counters_.operator_calls;
    guard();
    connection_.write(text);
    connection_.close_when_flushed();
  }
  void guard() {
    loop_.cancel(timer_);
    timer_ = loop_.at(loop_.now() + kPatience, [this] {
      server_.counters_.operator_callers_ended += !answered_;
      server_.remove(*this);
    });
  }

  LineServer& server_;  // gone before the loop's last disposals, so it is not used while this ends
  net::EventLoop& loop_;
  std::uint64_t number_;
  net::Connection connection_;
  TimePoint since_;
  TimerId timer_ = 0;
  std::string line_;
  bool answered_ = false;
};

LineServer::LineServer(net::EventLoop& loop, Answer answer, std::size_t most_callers,
                       Counters& counters)
    : loop_(loop), answer_(std::move(answer)), most_(most_callers), counters_(counters) {}

LineServer::~LineServer() {
  loop_.cancel(retry_);
  callers_.clear();
  if (spare_ >= 0)
    ::close(spare_);
  if (fd_ < 0)
    return;
  loop_.forget(registration_);
  ::close(fd_);
}

void LineServer::listen(const net::Address& address) {
  fd_ = net::open_socket(AF_INET, SOCK_STREAM);
  must(fd_ >= 0, "socket");
  int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  must(::bind(fd_, reinterpret_cast<const sockaddr*>(&address.in), sizeof address.in) == 0, "bind");
  must(::listen(fd_, 1024) == 0, "listen");
  registration_ = loop_.watch(fd_, *this);
  must(registration_ != 0, "epoll_ctl");
  spare_ = ::dup(fd_);
}

net::Address LineServer::address() const {
  net::Address bound;
  socklen_t size = sizeof bound.in;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&bound.in), &size);
  return bound;
}

void LineServer::accept() {
  for (;;) {
    if (callers_.size() >= most_ && !make_room())
      return retry();
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EMFILE || errno == ENFILE) && spare_ >= 0) {
      ::close(std::exchange(spare_, -1));
      continue;
    }
    if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
      continue;
    if (fd < 0 && errno == EAGAIN)
      return;
    if (fd < 0)
      return make_room(), retry();
    auto caller = std::make_unique<Caller>(*this, ++next_);
    if (caller->adopt(fd))
      callers_.emplace(next_, std::move(caller));
  }
}

bool LineServer::make_room() {
  if (callers_.empty() || loop_.now() - callers_.begin()->second->since() < kFresh)
    return false;
  ++counters_.operator_callers_ended;
  remove(*callers_.begin()->second);
  return true;
}

void LineServer::remove(Caller& caller) {
  auto it = callers_.find(caller.number());
  if (it == callers_.end())
    return;
  loop_.dispose(std::move(it->second));  // it may be calling us
  callers_.erase(it);
  // When its descriptor is free, which is after this turn.
  if (spare_ < 0)
    loop_.cancel(retry_), retry_ = loop_.at(loop_.now() + kRetry, [this] {
      if (spare_ < 0)
        spare_ = ::dup(fd_);
      accept();
    });
}

// The edge is used up: without this timer nobody would call accept again.
void LineServer::retry() {
  loop_.cancel(retry_);
  retry_ = loop_.at(loop_.now() + kRetry, [this] { accept(); });
}

}  // namespace keelflow
