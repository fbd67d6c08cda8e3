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

// The number of datagrams read before other sockets are served, which a flood must not delay.
constexpr int kMaxReadsPerTurn = 64;

}  // namespace

Peers::Peers(net::EventLoop& loop, std::vector<net::Address> peers, int rank, Listener listener,
             Counters& counters)
    : loop_(loop),
      peers_(std::move(peers)),
      rank_(rank),
      listener_(std::move(listener)),
      counters_(counters) {
  for (std::size_t i = 0; i < peers_.size(); ++i)
    rank_of_[address_of(peers_[i])] = static_cast<int>(i);
}

Peers::~Peers() {
  if (fd_ < 0)
    return;
  loop_.forget(registration_);
  ::close(fd_);
}

Peers::PeerAddress Peers::address_of(const net::Address& address) {
  return {.ip = address.in.sin_addr.s_addr, .port = address.in.sin_port};
}

bool Peers::open(const net::Address& listen) {
  fd_ = net::open_socket(AF_INET, SOCK_DGRAM);
  if (fd_ < 0)
    return false;
  bool is_bound = ::bind(fd_, reinterpret_cast<const sockaddr*>(&listen.in), sizeof listen.in) == 0;
  if (is_bound)
    registration_ = loop_.watch(fd_, *this);
  if (registration_ != 0)
    return true;
  ::close(std::exchange(fd_, -1));
  return false;
}

net::Address Peers::address() const {
  net::Address own;
  socklen_t size = sizeof own.in;
  if (fd_ >= 0)
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&own.in), &size);
  return own;
}

void Peers::send_datagram(int peer, std::string_view bytes) {
  bool is_peer = peer >= 0 && static_cast<std::size_t>(peer) < peers_.size() && peer != rank_;
  if (fd_ < 0 || !is_peer || bytes.size() > kMaxMessageBytes) {
    ++counters_.peer_messages_dropped;
    return;
  }
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
  std::array<char, kMaxMessageBytes + 1> buffer;  // one more byte, to detect longer datagrams
  for (int count = 0; count < kMaxReadsPerTurn; ++count) {
    net::Address from;
    socklen_t size = sizeof from.in;
    ssize_t received_bytes = ::recvfrom(fd_, buffer.data(), buffer.size(), 0,
                                        reinterpret_cast<sockaddr*>(&from.in), &size);
    if (received_bytes < 0 && (errno == EINTR || errno == ECONNREFUSED))
      continue;  // refused: an earlier message went to a peer that is not running
    if (received_bytes < 0)
      return;  // no datagram left, or an error that an immediate retry would meet again
    on_datagram(address_of(from), {buffer.data(), static_cast<std::size_t>(received_bytes)});
  }
  loop_.next_turn(registration_);
}

void Peers::on_datagram(const PeerAddress& from, std::string_view bytes) {
  auto peer = rank_of_.find(from);
  bool is_accepted = peer != rank_of_.end() && peer->second != rank_ && !bytes.empty() &&
                     bytes.size() <= kMaxMessageBytes;
  if (!is_accepted) {
    ++counters_.peer_messages_unknown;
    return;
  }
  ++counters_.peer_messages_received;
  listener_(peer->second, std::string(bytes));
}

}  // namespace keelflow
