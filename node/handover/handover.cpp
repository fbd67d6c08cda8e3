#include "handover/handover.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace keelflow {
namespace {

using log::Subsystem;

// The maximum number of simultaneous links; a further process is refused and counted.
constexpr std::size_t kMaxLinks = 4;
// Only this user may connect.
constexpr mode_t kSocketMask = 0177;

// Empty: the path is too long for the address of a Unix socket.
std::optional<sockaddr_un> address_of(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    return std::nullopt;
  path.copy(address.sun_path, sizeof address.sun_path - 1);
  return address;
}

int open_unix_socket() {
  return ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

std::string socket_name_of(const std::string& node) {
  char name[32];
  std::snprintf(name, sizeof name, "/keelflow-%016llx",
                static_cast<unsigned long long>(XXH3_64bits(node.data(), node.size())));
  return name;
}

}  // namespace

Handover::Handover(net::EventLoop& loop, std::string folder, const std::string& node,
                   Callbacks callbacks, Counters& counters)
    : loop_(loop),
      path_(std::move(folder) + socket_name_of(node)),
      node_(node),
      callbacks_(std::move(callbacks)),
      counters_(counters) {}

// The path is not unlinked: either a successor's socket has replaced this one, or no process
// accepts there any more.
Handover::~Handover() {
  links_.clear();
  if (fd_ < 0)
    return;
  loop_.forget(registration_);
  ::close(fd_);
}

bool Handover::connect_to_old_process() {
  auto address = address_of(path_);
  int fd = address ? open_unix_socket() : -1;
  if (fd < 0)
    return false;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0) {
    ::close(fd);
    return false;
  }
  HandoverLink* link = add_link(fd, HandoverLink::Peer::old_process);
  return link && link->send(HelloMessage{kVersion, node_});
}

void Handover::listen() {
  if (!open_socket(path_ + "." + std::to_string(::getpid())))
    log::error(Subsystem::node, "handover-closed", {{"path", path_}, {"errno", errno}});
  send_to_all(ReadyMessage{});
}

// Listens at a path of this process's own and then renames it atomically over the common path, so
// that some process accepts there at every moment. False: failed (errno).
bool Handover::open_socket(const std::string& path) {
  auto address = address_of(path);
  ::unlink(path.c_str());  // left by an ended process that had the same process id
  fd_ = address ? open_unix_socket() : -1;
  mode_t mask = ::umask(kSocketMask);
  bool is_bound =
      fd_ >= 0 && ::bind(fd_, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0;
  ::umask(mask);
  if (!is_bound || ::listen(fd_, static_cast<int>(kMaxLinks)) != 0)
    return false;
  registration_ = loop_.watch(fd_, *this);
  return registration_ != 0 && std::rename(path.c_str(), path_.c_str()) == 0;
}

void Handover::on_ready(std::uint32_t) {
  for (;;) {
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && errno == EINTR)
      continue;
    if (fd < 0)
      return;
    if (links_.size() < kMaxLinks) {
      add_link(fd, HandoverLink::Peer::new_process);
      continue;
    }
    ::close(fd);
    ++counters_.handover_dropped;
  }
}

HandoverLink* Handover::add_link(int fd, HandoverLink::Peer peer) {
  ++last_link_id_;
  HandoverLink::Events& events = *this;
  auto link = std::make_unique<HandoverLink>(loop_, events, counters_, last_link_id_, peer);
  HandoverLink* added = link.get();
  if (!added->adopt(fd))
    return nullptr;
  links_.emplace(last_link_id_, std::move(link));
  if (links_.size() == 1)
    callbacks_.on_sibling_process(true);
  return added;
}

void Handover::on_link_closed(HandoverLink& link) {
  auto found = links_.find(link.id());
  if (found == links_.end())
    return;
  loop_.dispose(std::move(found->second));
  links_.erase(found);
  if (links_.empty())
    callbacks_.on_sibling_process(false);
}

void Handover::on_message(HandoverLink& link, const HandoverMessage& message) {
  std::visit([&](const auto& of_kind) { on(link, of_kind); }, message);
}

void Handover::check_is_same(int version, const std::string& node) const {
  if (version != kVersion || node != node_)
    throw std::runtime_error("the other process has another protocol version or another node name");
}

void Handover::on(HandoverLink& link, const HelloMessage& message) {
  check_is_same(message.version, message.node);
  link.send(WelcomeMessage{kVersion, node_, callbacks_.welcome()});
}

void Handover::on(HandoverLink&, const WelcomeMessage& message) {
  check_is_same(message.version, message.node);
  callbacks_.on_welcome(message.state);
}

void Handover::on(HandoverLink& link, const ReadyMessage&) {
  if (link.peer() == HandoverLink::Peer::new_process)
    callbacks_.on_new_process_ready();
}

void Handover::on(HandoverLink& link, const AdminOverrideMessage& message) {
  callbacks_.on_admin_override(message.host, message.is_out);
  send_to_all(message, &link);
}

void Handover::on(HandoverLink&, const LoadUpdateMessage& message) {
  callbacks_.on_load_update(message.bytes);
}

void Handover::on(HandoverLink& link, const StatusCallbackMessage& message) {
  if (!callbacks_.on_status_callback(message.body))
    send_to_all(message, &link);
}

bool Handover::send_to_all(const HandoverMessage& message, const HandoverLink* except) {
  bool all_sent = true;
  for (auto& [id, link] : links_)
    if (link.get() != except)
      all_sent = link->send(message) && all_sent;
  return all_sent;
}

void Handover::send_admin_override(const std::string& host, bool is_out) {
  send_to_all(AdminOverrideMessage{host, is_out});
}

void Handover::send_load_update(std::string_view bytes) {
  send_to_all(LoadUpdateMessage{std::string(bytes)});
}

bool Handover::forward_status_callback(std::string_view body) {
  if (links_.empty())
    return true;
  ++counters_.news_passed;
  return send_to_all(StatusCallbackMessage{std::string(body)});
}

bool Handover::has_old_process() const {
  return std::any_of(links_.begin(), links_.end(), [](const auto& link) {
    return link.second->peer() == HandoverLink::Peer::old_process;
  });
}

bool Handover::flushed() const {
  return std::all_of(links_.begin(), links_.end(),
                     [](const auto& link) { return link.second->pending_bytes() == 0; });
}

}  // namespace keelflow
