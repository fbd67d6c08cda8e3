#include "peers/peers.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "net/socket.h"

namespace keelflow {
namespace {
constexpr int kMostInATurn = 64;  // a flood of datagrams must not hold up the other sockets
}

Peers::Peers(net::EventLoop& loop, std::vector<net::Address> peers, int rank, Listener listener,
             Counters& counters)
    : loop_(loop),
      peers_(std::move(peers)),
      rank_(rank),
      listener_(std::move(listener)),
      counters_(counters) {
  for (std::size_t i = 0; i < peers_.size(); ++i)
    rank_of_[{peers_[i].in.sin_addr.s_addr, peers_[i].in.sin_port}] = static_cast<int>(i);
}

Peers::~Peers() {
  if (fd_ < 0)
    return;
  loop_.forget(registration_);
  ::close(fd_);
}

bool Peers::open(const net::Address& listen) {
  fd_ = net::open_socket(AF_INET, SOCK_DGRAM);
  if (fd_ < 0)
    return false;
  bool bound = ::bind(fd_, reinterpret_cast<const sockaddr*>(&listen.in), sizeof listen.in) == 0;
  if (bound)
    registration_ = loop_.watch(fd_, *this);
  if (registration_ != 0)
    return true;
  ::close(std::exchange(fd_, -1));
  return false;
}

net::Address Peers::address() const {
  net::Address mine;
  socklen_t size = sizeof mine.in;
  if (fd_ >= 0)
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&mine.in), &size);
  return mine;
}

void Peers::tell(int peer, std::string_view bytes) {
  bool known = peer >= 0 && static_cast<std::size_t>(peer) < peers_.size() && peer != rank_;
  if (fd_ < 0 || !known || bytes.size() > kMostBytes)
    return void(++counters_.peer_messages_dropped);
  const net::Address& to = peers_[static_cast<std::size_t>(peer)];
  ssize_t sent = ::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                          reinterpret_cast<const sockaddr*>(&to.in), sizeof to.in);
  ++(sent < 0 ? counters_.peer_messages_dropped : counters_.peer_messages_sent);
}

void Peers::on_ready(std::uint32_t events) {
  if (events & (EPOLLIN | EPOLLERR))
    read();
}

void Peers::read() {
  std::array<char, kMostBytes + 1> buffer;
  for (int count = 0; count < kMostInATurn; ++count) {
    net::Address from;
    socklen_t size = sizeof from.in;
    ssize_t got = ::recvfrom(fd_, buffer.data(), buffer.size(), 0,
                             reinterpret_cast<sockaddr*>(&from.in), &size);
    if (got < 0 && (errno == EINTR || errno == ECONNREFUSED))
      continue;  // refused: an earlier send, its peer is away
    if (got < 0)
      return;  // nothing left, or a fault that would last if it were tried again at once
    auto peer = rank_of_.find({from.in.sin_addr.s_addr, from.in.sin_port});
    bool good = peer != rank_of_.end() && peer->second != rank_ && got > 0 &&
                got <= static_cast<ssize_t>(kMostBytes);
    ++(good ? counters_.peer_messages_received : counters_.peer_messages_unknown);
    if (good)
      listener_(peer->second, std::string(buffer.data(), static_cast<std::size_t>(got)));
  }
  loop_.next_turn(registration_);
}

}  // namespace keelflow
