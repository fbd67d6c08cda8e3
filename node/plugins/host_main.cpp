#include "plugins/host_main.h"

#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "plugins/machine.h"

namespace keelflow::plugins {
namespace {

using namespace std::chrono_literals;

constexpr double kLinesASecond = 10, kLinesAtOnce = 20;
constexpr std::size_t kMostCounters = 32;
constexpr int kFlushMs = 100;                    // counts go out so often at most
constexpr rlim_t kBeyondLua = 64 * 1024 * 1024;  // address space for everything but the Lua state
// A call that its budget in Lua did not end is in a library's C code. The processor clock then ends
// the whole host.
constexpr Duration kGraceForC = 20ms, kLoadLimit = 1s;
constexpr int kTimesForC = 4;

void limit(int what, rlim_t value) {
  rlimit both{value, value};
  setrlimit(static_cast<__rlimit_resource>(what), &both);
}

void confine() {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  for (int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGPIPE})
    signal(number, SIG_IGN);  // it ends when its node says so
  limit(RLIMIT_CORE, 0);
  limit(RLIMIT_FSIZE, 0);
  limit(RLIMIT_NOFILE, 8);
  limit(RLIMIT_NPROC, 0);
}

void confine_memory(std::size_t lua) {
#if !defined(__SANITIZE_ADDRESS__)  // its shadow needs terabytes of address space
  limit(RLIMIT_AS, static_cast<rlim_t>(lua) + kBeyondLua);
#else
  (void)lua;
#endif
}

// Ends the process, by SIGPROF, when it has used so much processor time without being set anew.
class Guard {
 public:
  Guard() {
    sigevent event{};
    event.sigev_notify = SIGEV_SIGNAL;
    event.sigev_signo = SIGPROF;
    made_ = timer_create(CLOCK_PROCESS_CPUTIME_ID, &event, &timer_) == 0;
  }
  void set(Duration span) {
    itimerspec spec{};
    auto ns = std::chrono::duration_cast<std::chrono::nanoseconds>(span).count();
    spec.it_value.tv_sec = ns / 1'000'000'000;
    spec.it_value.tv_nsec = ns % 1'000'000'000;
    if (made_)
      timer_settime(timer_, 0, &spec, nullptr);
  }
  void clear() { set(Duration::zero()); }

 private:
  timer_t timer_{};
  bool made_ = false;
};

class Child final : Outside {
 public:
  explicit Child(int fd) : fd_(fd) {}

  int run() {
    confine();
    std::string packet(wire::kMostMessage, '\0');
    for (;;) {
      if (!counts_.empty() && !wait())
        flush();
      ssize_t got = recv(fd_, packet.data(), packet.size(), 0);
      if (got < 0 && errno == EINTR)
        continue;
      if (got <= 0)
        return 0;
      auto message =
          wire::decode_to_host(std::string_view(packet).substr(0, static_cast<std::size_t>(got)));
      if (!message)
        return 1;
      if (std::holds_alternative<wire::Leave>(*message))
        return flush(), 0;
      if (!std::visit([this](const auto& m) { return on(m); }, *message))
        return 1;
    }
  }

 private:
  // False: nothing has come within the time after which counts are told.
  bool wait() {
    pollfd ready{fd_, POLLIN, 0};
    auto left = std::chrono::ceil<std::chrono::milliseconds>(
                    flushed_ + std::chrono::milliseconds(kFlushMs) - Clock::now())
                    .count();
    return left > 0 && poll(&ready, 1, static_cast<int>(left)) > 0;
  }

  void flush() {
    for (const auto& [name, by] : counts_)
      send(wire::Count{name, by});
    counts_.clear();
    flushed_ = Clock::now();
  }

  void send(const wire::ToNode& message) {
    std::string packet = wire::encode(message);
    while (::send(fd_, packet.data(), packet.size(), MSG_NOSIGNAL) < 0 && errno == EINTR)
      continue;
  }

  bool on(const wire::Hello& hello) {
    if (machine_)
      return false;
    hello_ = hello;
    setpriority(PRIO_PROCESS, 0, hello.nice);
    confine_memory(hello.memory);
    try {
      Outside& outside = *this;
      machine_ = std::make_unique<Machine>(hello_, outside);
    } catch (const PluginFault& fault) {
      send(wire::Broken{fault.what()});
    }
    return true;
  }
  bool on(const wire::Kept& entry) {
    if (machine_)
      machine_->table().put(entry, 0);
    return true;
  }
  bool on(const wire::Begin& begin) {
    if (!machine_)
      return true;
    guard_.set(kLoadLimit);
    try {
      machine_->load(begin.now);
      send(wire::Ready{});
    } catch (const PluginFault& fault) {
      send(wire::Broken{fault.what()});
    }
    guard_.clear();
    return true;
  }
  bool on(const wire::Request& r) {
    return call(r.call, [&] { send(wire::Judged{r.call, machine_->on_request(r)}); });
  }
  bool on(const wire::Event& e) {
    return call(e.call, [&] { send(wire::Shaped{e.call, machine_->on_progress(e)}); });
  }
  bool on(const wire::Answer& a) {
    return call(0, [&] { machine_->on_answer(a); });
  }
  bool on(const wire::Tick& t) {
    return call(0, [&] { machine_->on_tick(t.now); });
  }

  bool on(const wire::Leave&) { return true; }

  bool call(std::uint64_t number, const auto& body) {
    if (!machine_)
      return false;
    guard_.set(kTimesForC * from_ms(hello_.time_ms) + kGraceForC);
    try {
      body();
    } catch (const PluginFault& fault) {
      send(wire::Faulted{number, fault.what()});
    }
    guard_.clear();
    return true;
  }

  void kept(const wire::Kept& entry) override { send(wire::ToNode(entry)); }
  void count(const wire::Count& count) override {
    if (counts_.empty())
      flushed_ = Clock::now();
    if (counts_.contains(count.name) || counts_.size() < kMostCounters)
      counts_[count.name] += count.by;
  }
  void line(std::string_view text) override {
    TimePoint now = Clock::now();
    lines_left_ = std::min(kLinesAtOnce, lines_left_ + kLinesASecond * to_ms(now - filled_) / 1000);
    filled_ = now;
    if (lines_left_ < 1) {
      ++lines_dropped_;
      return;
    }
    lines_left_ -= 1;
    send(wire::Line{std::string(text), std::exchange(lines_dropped_, 0)});
  }

  int fd_;
  Guard guard_;
  wire::Hello hello_;
  std::unique_ptr<Machine> machine_;
  std::map<std::string, double> counts_;
  TimePoint flushed_ = Clock::now(), filled_ = Clock::now();
  double lines_left_ = kLinesAtOnce;
  std::uint32_t lines_dropped_ = 0;
};

}  // namespace

int host_main(int fd) {
  return Child(fd).run();
}

}  // namespace keelflow::plugins
