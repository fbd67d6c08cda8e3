#include "plugins/host.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "plugins/host_main.h"

extern char** environ;

namespace keelflow::plugins {
namespace {

using namespace std::chrono_literals;

constexpr Duration kReapPause = 5ms;
constexpr int kPacketsATurn = 64;
// What a host may say without being asked: its table's changes and its own words, for each call
// that it is sent, and a little beside.
constexpr double kUnaskedACall = wire::kMostChanges + 8, kUnaskedASecond = 100,
                 kMostUnasked = 16'384;

std::string how_it_ended(int status) {
  if (WIFSIGNALED(status))
    return "signal " + std::to_string(WTERMSIG(status));
  return "exit " + std::to_string(WEXITSTATUS(status));
}

}  // namespace

Reaper::~Reaper() {
  loop_.cancel(timer_);
  for (pid_t pid : pids_)
    waitpid(pid, nullptr, 0);
}

void Reaper::add(pid_t pid) {
  kill(pid, SIGKILL);
  pids_.push_back(pid);
  if (timer_ == 0)
    look();
}

void Reaper::look() {
  timer_ = 0;
  std::erase_if(pids_, [this](pid_t pid) {
    int status = 0;
    pid_t got = waitpid(pid, &status, WNOHANG);
    if (got == pid)
      told_(pid, how_it_ended(status));
    return got != 0;
  });
  if (!pids_.empty())
    timer_ = loop_.at(loop_.now() + kReapPause, [this] { look(); });
}

Host::Host(net::EventLoop& loop, Reaper& reaper, User& user, Settings settings,
           std::uint64_t generation)
    : loop_(loop),
      reaper_(reaper),
      user_(user),
      settings_(std::move(settings)),
      generation_(generation),
      unasked_filled_(loop.now()) {}

void Host::stop() {
  if (fd_ < 0)
    return;
  loop_.cancel(timer_);
  loop_.cancel(load_timer_);
  loop_.forget(registration_);
  ::close(std::exchange(fd_, -1));
  reaper_.add(std::exchange(pid_, -1));
  ready_ = false;
}

bool Host::start(const Package& package, const std::vector<wire::Kept>& table, double now) {
  int ends[2];
  if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends) != 0)
    return false;
  fcntl(ends[0], F_SETFL, fcntl(ends[0], F_GETFL) | O_NONBLOCK);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, ends[1], kHostSocket);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, "/dev/null", O_WRONLY, 0);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  // A group of its own: a SIGTERM for the node's group is not for it, as the node still needs it
  // while it drains.
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETPGROUP);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setpgroup(&attributes, 0);
  std::string command = kHostCommand, name = "keelflow-plugin";
  char* arguments[] = {name.data(), command.data(), nullptr};
  int error =
      posix_spawn(&pid_, settings_.program.c_str(), &files, &attributes, arguments, environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&files);
  ::close(ends[1]);
  fd_ = ends[0];
  if (error == 0 && (registration_ = loop_.watch(fd_, *this)) == 0)
    error = errno;
  if (error != 0) {
    if (pid_ > 0)
      reaper_.add(pid_);
    pid_ = -1;
    ::close(std::exchange(fd_, -1));
    errno = error;
    return false;
  }
  starting_.push_back(wire::encode(wire::hello(package, settings_.nice)));
  for (const wire::Kept& entry : table)
    starting_.push_back(wire::encode(wire::ToHost(entry)));
  starting_.push_back(wire::encode(wire::Begin{now}));
  load_timer_ =
      loop_.at(loop_.now() + settings_.load_within, [this] { end("it did not load in time"); });
  flush();
  return true;
}

void Host::flush() {
  while (!starting_.empty() && put(starting_.front()))
    starting_.pop_front();
}

bool Host::put(const std::string& packet) {
  if (fd_ < 0)
    return false;
  ssize_t sent;
  do
    sent = ::send(fd_, packet.data(), packet.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  while (sent < 0 && errno == EINTR);
  return sent >= 0;  // a broken socket is told by the loop
}

bool Host::ask(CallId call, const wire::ToHost& message) {
  if (!ready_ || behind() || in_flight() >= settings_.most_in_flight || !put(wire::encode(message)))
    return false;
  unasked_left_ = std::min(kMostUnasked, unasked_left_ + kUnaskedACall);
  open_.emplace(call, true);
  deadlines_.emplace_back(loop_.now() + settings_.answer_within, call);
  if (timer_ == 0)
    watch_deadlines();
  return true;
}

bool Host::tell(const wire::ToHost& message) {
  bool kept = std::holds_alternative<wire::Kept>(message);
  if (kept && !starting_.empty())
    return starting_.insert(starting_.end() - 1, wire::encode(message)), true;  // before Begin
  if (!ready_ && !kept)
    return false;
  if (!put(wire::encode(message)))
    return false;
  unasked_left_ = std::min(kMostUnasked, unasked_left_ + kUnaskedACall);
  return true;
}

void Host::leave() {
  if (std::exchange(leaving_, true) || fd_ < 0)
    return;
  loop_.cancel(load_timer_);
  if (!put(wire::encode(wire::Leave{})))
    return end("");
  load_timer_ = loop_.at(loop_.now() + settings_.silence, [this] { end(""); });
}

void Host::forget(CallId call) {
  if (auto it = open_.find(call); it != open_.end())
    it->second = false;
}

void Host::watch_deadlines() {
  loop_.cancel(timer_);
  timer_ = 0;
  while (!deadlines_.empty() && !open_.contains(deadlines_.front().second))
    deadlines_.pop_front();
  TimePoint next = TimePoint::max();
  if (!deadlines_.empty())
    next = deadlines_.front().first;
  if (!late_.empty())
    next = std::min(next, late_.begin()->second + settings_.silence);
  if (next != TimePoint::max())
    timer_ = loop_.at(next, [this] { deadline(); });
}

void Host::deadline() {
  timer_ = 0;
  TimePoint now = loop_.now();
  if (!late_.empty() && now >= late_.begin()->second + settings_.silence)
    return end("it was silent for too long");
  while (!deadlines_.empty() && deadlines_.front().first <= now) {
    CallId call = deadlines_.front().second;
    deadlines_.pop_front();
    auto it = open_.find(call);
    if (it == open_.end())
      continue;
    bool wanted = it->second;
    open_.erase(it);
    late_[call] = now;
    if (wanted)
      user_.on_late(*this, call);
    if (fd_ < 0)
      return;
  }
  watch_deadlines();
}

void Host::on_ready(std::uint32_t events) {
  if (events & EPOLLOUT)
    flush();
  read();
}

void Host::on_turn() {
  read();
}

void Host::read() {
  std::array<char, wire::kMostAnswer> packet;
  for (int i = 0; i < kPacketsATurn; ++i) {
    ssize_t got = ::recv(fd_, packet.data(), packet.size(), MSG_DONTWAIT | MSG_TRUNC);
    if (got < 0 && errno == EINTR)
      continue;
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (got <= 0)
      return end("its process has ended");
    if (static_cast<std::size_t>(got) > packet.size())
      return end("it wrote rubbish: a packet of " + std::to_string(got) + " bytes");
    if (!take(std::string_view(packet.data(), static_cast<std::size_t>(got))))
      return;
  }
  loop_.next_turn(registration_);
}

// False: the host has been ended, here or by its user.
bool Host::take(std::string_view packet) {
  auto message = wire::decode_to_node(packet);
  if (!message)
    return end("it wrote rubbish: a malformed packet"), false;
  bool wanted = false;
  if (std::holds_alternative<wire::Ready>(*message)) {
    if (ready_ || !starting_.empty())
      return end("it wrote rubbish: ready out of turn"), false;
    ready_ = true;
    loop_.cancel(load_timer_);
    user_.on_ready(*this);
  } else if (const auto* broken = std::get_if<wire::Broken>(&*message)) {
    return end("it does not load: " + broken->why), false;
  } else if (!ready_ && !std::holds_alternative<wire::Kept>(*message) &&
             !std::holds_alternative<wire::Count>(*message) &&
             !std::holds_alternative<wire::Line>(*message)) {
    return end("it wrote rubbish: an answer before it was ready"), false;
  } else if (auto* judged = std::get_if<wire::Judged>(&*message)) {
    if (!owed(judged->call, wanted))
      return false;
    if (wanted)
      user_.on_judged(*this, judged->call, std::move(judged->verdict));
  } else if (auto* shaped = std::get_if<wire::Shaped>(&*message)) {
    if (!owed(shaped->call, wanted))
      return false;
    if (wanted)
      user_.on_shaped(*this, shaped->call, std::move(shaped->shape));
  } else if (const auto* faulted = std::get_if<wire::Faulted>(&*message)) {
    if (faulted->call != 0 ? !owed(faulted->call, wanted) : !unasked())
      return false;
    if (wanted || faulted->call == 0)
      user_.on_faulted(*this, faulted->call, faulted->why);
  } else {
    if (!unasked())
      return false;
    if (const auto* kept = std::get_if<wire::Kept>(&*message))
      user_.on_kept(*this, *kept);
    if (const auto* count = std::get_if<wire::Count>(&*message))
      user_.on_count(*this, *count);
    if (const auto* line = std::get_if<wire::Line>(&*message))
      user_.on_line(*this, *line);
  }
  return fd_ >= 0;
}

// Whether that call is owed an answer, and whether anyone still waits for it. One that is not owed:
// rubbish.
bool Host::owed(CallId call, bool& wanted) {
  if (auto it = open_.find(call); it != open_.end()) {
    wanted = it->second;
    open_.erase(it);
    return true;
  }
  if (late_.erase(call) > 0)
    return watch_deadlines(), true;
  end("it wrote rubbish: an answer that is not owed");
  return false;
}

bool Host::unasked() {
  TimePoint now = loop_.now();
  unasked_left_ =
      std::min(kMostUnasked, unasked_left_ + kUnaskedASecond * to_ms(now - unasked_filled_) / 1000);
  unasked_filled_ = now;
  if ((unasked_left_ -= 1) >= 0)
    return true;
  end("it wrote rubbish: a flood of what nobody asked for");
  return false;
}

void Host::end(const std::string& why) {
  if (fd_ < 0)
    return;
  stop();
  std::vector<CallId> open;
  for (auto [call, wanted] : open_)
    if (wanted)
      open.push_back(call);
  std::sort(open.begin(), open.end());
  user_.on_ended(*this, leaving_ ? "" : why, open);
}

}  // namespace keelflow::plugins
