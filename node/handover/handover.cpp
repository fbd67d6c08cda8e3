#include "handover/handover.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <optional>
#include <utility>

#include "log/log.h"

namespace keelflow {
namespace {

using log::Subsystem;
using nlohmann::json;
constexpr std::size_t kMostLinks = 4;
constexpr std::size_t kMostLine =
    1024 * 1024;  // a call-back's body of 64 KiB, each byte escaped in six
constexpr std::size_t kMostQueued = 1024 * 1024;

// Empty: the folder's name is too long for a socket in it.
std::optional<sockaddr_un> address_of(const std::string& path) {
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  if (path.size() >= sizeof to.sun_path)
    return std::nullopt;
  path.copy(to.sun_path, sizeof to.sun_path - 1);
  return to;
}

std::string hex(std::string_view bytes) {
  std::string out;
  for (unsigned char c : bytes) {
    char two[3];
    std::snprintf(two, sizeof two, "%02x", c);
    out += two;
  }
  return out;
}

std::string unhex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  return out;
}

}  // namespace

class Handover::Link final : net::Connection::Events {
 public:
  Link(Handover& owner, std::uint64_t number, bool elder)
      : owner_(owner), number_(number), elder_(elder), connection_(owner.loop_, *this) {}

  bool adopt(int fd) { return connection_.adopt(fd); }
  std::uint64_t number() const { return number_; }
  bool elder() const { return elder_; }  // the other process is the elder one
  std::size_t pending() const { return connection_.pending(); }
  bool welcomed = false;  // the versions fit

  bool tell(const json& message) {
    if (connection_.pending() > kMostQueued)
      return ++owner_.counters_.handover_dropped, false;
    connection_.write(message.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
    return true;
  }

 private:
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    std::size_t from = 0;
    for (std::size_t end; connection_.open() && (end = in_.find('\n', from)) != std::string::npos;
         from = end + 1) {
      try {
        owner_.take(*this, json::parse(in_.begin() + static_cast<std::ptrdiff_t>(from),
                                       in_.begin() + static_cast<std::ptrdiff_t>(end)));
      } catch (const std::exception& fault) {
        return give_up(fault.what());
      }
    }
    in_.erase(0, from);
    if (in_.size() > kMostLine)
      give_up("a message is too long");
  }
  void on_closed(int) override { owner_.remove(*this); }
  void give_up(const char* why) {
    log::warning(Subsystem::node, "handover-broken", {{"fault", why}});
    connection_.close();
    owner_.remove(*this);
  }

  Handover& owner_;
  std::uint64_t number_;
  bool elder_;
  net::Connection connection_;
  std::string in_;
};

Handover::Handover(net::EventLoop& loop, std::string folder, const std::string& node,
                   Callbacks deeds, Counters& counters)
    : loop_(loop), node_(node), callbacks_(std::move(deeds)), counters_(counters) {
  char name[32];
  std::snprintf(name, sizeof name, "/keelflow-%016llx",
                static_cast<unsigned long long>(XXH3_64bits(node.data(), node.size())));
  path_ = std::move(folder) + name;
}

// The name stays: it is the successor's by now, or nobody answers there.
Handover::~Handover() {
  links_.clear();
  if (fd_ < 0)
    return;
  loop_.forget(registration_);
  ::close(fd_);
}

bool Handover::ask() {
  auto to = address_of(path_);
  int fd = to ? ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  if (fd < 0)
    return false;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0)
    return ::close(fd), false;
  Link* link = add(fd, true);
  return link && link->tell({{"say", "hello"}, {"version", kVersion}, {"node", node_}});
}

void Handover::listen() {
  std::string mine = path_ + "." + std::to_string(::getpid());
  auto at = address_of(mine);
  ::unlink(mine.c_str());  // of a process with our number that ended in between
  fd_ = at ? ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  mode_t usual = ::umask(0177);
  bool good = fd_ >= 0 && ::bind(fd_, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) == 0;
  ::umask(usual);
  good = good && ::listen(fd_, kMostLinks) == 0 && (registration_ = loop_.watch(fd_, *this)) != 0 &&
         std::rename(mine.c_str(), path_.c_str()) == 0;
  if (!good)
    log::error(Subsystem::node, "handover-closed", {{"path", path_}, {"errno", errno}});
  tell({{"say", "ready"}});
}

void Handover::on_ready(std::uint32_t) {
  for (;;) {
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && errno == EINTR)
      continue;
    if (fd < 0)
      return;
    if (links_.size() >= kMostLinks)
      ::close(fd), ++counters_.handover_dropped;
    else
      add(fd, false);
  }
}

Handover::Link* Handover::add(int fd, bool elder) {
  auto link = std::make_unique<Link>(*this, ++next_, elder);
  Link* raw = link.get();
  if (!link->adopt(fd))
    return nullptr;
  links_.emplace(next_, std::move(link));
  if (links_.size() == 1)
    callbacks_.partner(true);
  return raw;
}

void Handover::remove(Link& link) {
  auto it = links_.find(link.number());
  if (it == links_.end())
    return;
  loop_.dispose(std::move(it->second));
  links_.erase(it);
  if (links_.empty())
    callbacks_.partner(false);
}

void Handover::take(Link& link, const json& message) {
  const std::string say = message.at("say").get<std::string>();
  if (say == "hello" || say == "welcome") {
    if (message.at("version").get<int>() != kVersion ||
        message.at("node").get<std::string>() != node_)
      throw std::runtime_error("another release, or another node");
    link.welcomed = true;
    if (say == "hello") {
      json welcome = callbacks_.welcome();
      welcome.update({{"say", "welcome"}, {"version", kVersion}, {"node", node_}});
      link.tell(welcome);
    } else {
      callbacks_.welcomed(message);
    }
  } else if (say == "ready") {
    if (!link.elder())
      callbacks_.successor_ready();
  } else if (say == "by-hand") {
    callbacks_.by_hand(message.at("host").get<std::string>(), message.at("out").get<bool>());
    tell(message, &link);
  } else if (say == "note") {
    callbacks_.note(unhex(message.at("note").get<std::string>()));
  } else if (say == "news") {
    if (!callbacks_.news(message.at("body").get<std::string>()))
      tell(message, &link);
  }
}

bool Handover::tell(const json& message, const Link* except) {
  bool all = true;
  for (auto& [number, link] : links_)
    if (link.get() != except)
      all = link->tell(message) && all;
  return all;
}

void Handover::send_admin_override(const std::string& host, bool out) {
  tell({{"say", "by-hand"}, {"host", host}, {"out", out}});
}

void Handover::send_load_update(std::string_view note) {
  tell({{"say", "note"}, {"note", hex(note)}});
}

bool Handover::forward_status_callback(std::string_view body) {
  if (links_.empty())
    return true;
  ++counters_.news_passed;
  return tell({{"say", "news"}, {"body", body}});
}

bool Handover::has_old_process() const {
  for (const auto& [number, link] : links_)
    if (link->elder())
      return true;
  return false;
}

bool Handover::flushed() const {
  for (const auto& [number, link] : links_)
    if (link->pending() > 0)
      return false;
  return true;
}

}  // namespace keelflow
