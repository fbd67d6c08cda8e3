#include "net/connection.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace keelflow::net {
namespace {

constexpr std::size_t kShare =
    64 * 1024;  // read in one turn of the loop; a fast sender must not hold it
constexpr std::size_t kMostDropped = 1 << 20;  // of what a peer sends after its last answer

}  // namespace

bool Connection::start(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  registration_ = loop_.watch(fd, *this);
  if (registration_ == 0) {
    int error = errno;
    ::close(fd);
    errno = error;
    return false;
  }
  fd_ = fd;
  if (preferred_)
    loop_.prefer(registration_);
  return true;
}

bool Connection::adopt(int fd) {
  connected_ = adopted_ = true;
  return start(fd);
}

bool Connection::connect(const Address& to) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to.in), sizeof to.in) != 0 &&
      errno != EINPROGRESS) {
    int error = errno;
    ::close(fd);
    errno = error;
    return false;
  }
  return start(fd);
}

void Connection::write(std::string_view bytes) {
  if (fd_ < 0)
    return;
  out_.append(bytes);
  if (connected_)
    flush();
}

void Connection::close() {
  if (fd_ < 0)
    return;
  loop_.forget(registration_);
  ::close(std::exchange(fd_, -1));
}

void Connection::reset() {
  linger none{.l_onoff = 1, .l_linger = 0};
  if (fd_ >= 0)
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  close();
}

void Connection::fail(int error) {
  if (fd_ < 0)
    return;
  close();
  events_.on_closed(error);
}

void Connection::pause_reading(bool pause) {
  paused_ = pause;
  if (!pause && readable_)
    read();  // the edge came while paused and will not come again
}

bool Connection::quiet() const {
  char one;
  return fd_ >= 0 && ::recv(fd_, &one, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

bool Connection::unread() const {
  char one;
  return fd_ >= 0 && ::recv(fd_, &one, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Connection::peer_ended() const {
  if (hung_up_ || fd_ < 0)
    return hung_up_;
  char one;
  ssize_t got = ::recv(fd_, &one, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

void Connection::on_ready(std::uint32_t events) {
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
      return fail(error);
    if (!(events & EPOLLOUT))
      return;
    connected_ = true;
    events_.on_connected();
    if (fd_ < 0)
      return;
  }
  // What the peer sent before it went away is read before its going is reported.
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
    if (!std::exchange(readable_, true))
      readable_since_ = loop_.last_look();
    hung_up_ = hung_up_ || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR));
    if (!waits_turn_)
      read();
  }
  if (fd_ >= 0 && (events & EPOLLOUT))
    flush();
}

EventLoop::Order Connection::order(std::uint32_t events) const {
  bool gone = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (preferred_)
    return EventLoop::Order::list;
  if (!gone)
    return EventLoop::Order::other;
  return adopted_ ? EventLoop::Order::client_gone : EventLoop::Order::peer_gone;
}

void Connection::continue_next_turn() {
  if (fd_ >= 0 && !std::exchange(waits_turn_, true))
    loop_.next_turn(registration_);
}

void Connection::on_turn() {
  waits_turn_ = false;
  events_.on_turn();
  if (fd_ >= 0 && readable_)
    read();
}

// What may still be read in the present turn. It is not renewed by a further call in that turn.
std::size_t Connection::share_left() {
  if (share_turn_ != loop_.turn()) {
    share_turn_ = loop_.turn();
    share_used_ = 0;
  }
  return kShare - std::min(kShare, share_used_);
}

void Connection::read() {
  if (reading_)
    return;  // called by what is done with the bytes: the outer call goes on
  reading_ = true;
  std::optional<int> failure = read_share();
  reading_ = false;
  if (failure)
    fail(*failure);
}

// Returns the error, zero for an orderly end, if the connection is over.
std::optional<int> Connection::read_share() {
  std::array<char, 16384> buffer;
  while (fd_ >= 0 && !paused_) {
    if (share_left() == 0) {
      continue_next_turn();
      return std::nullopt;
    }
    ssize_t got = ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (got > 0) {
      share_used_ += static_cast<std::size_t>(got);
      if (!lingering_)
        events_.on_data({buffer.data(), static_cast<std::size_t>(got)});
      else if ((dropped_ += static_cast<std::size_t>(got)) > kMostDropped)
        return 0;
    } else if (got == 0) {
      return 0;
    } else if (errno == EAGAIN) {
      readable_ = false;
      return std::nullopt;
    } else if (errno != EINTR) {
      return errno;
    }
  }
  // Paused, perhaps by what was read just now: no edge will tell again that the peer has gone.
  return fd_ >= 0 && hung_up_ ? std::optional(0) : std::nullopt;
}

void Connection::flush() {
  if (fd_ < 0 || !connected_)
    return;
  bool had = pending() > 0;
  while (pending() > 0) {
    ssize_t sent = ::send(fd_, out_.data() + out_at_, pending(), MSG_NOSIGNAL);
    if (sent > 0) {
      out_at_ += static_cast<std::size_t>(sent);
      written_ += static_cast<std::uint64_t>(sent);
    } else if (errno == EAGAIN) {
      return;
    } else if (errno != EINTR) {
      // The peer is gone. Its last words may still be unread, and the owner may be the one who
      // called write: the read side reports it, in a turn of its own.
      int error = errno;
      out_.clear();
      out_at_ = 0;
      std::uint64_t mine = registration_;
      loop_.defer([this, mine, error, &loop = loop_] {
        if (loop.watched(mine))
          fail(error);
      });
      return;
    }
  }
  out_.clear();
  out_at_ = 0;
  if (close_when_flushed_ && !std::exchange(lingering_, true)) {
    // Closing while bytes of the peer are unread would reset the connection and could take the
    // answer with it.
    ::shutdown(fd_, SHUT_WR);
    paused_ = false;
    if (readable_)
      read();
    return;
  }
  if (had)
    events_.on_flushed();
}

}  // namespace keelflow::net
