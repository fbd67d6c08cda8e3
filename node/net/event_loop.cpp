#include "net/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace keelflow::net {

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() { ::close(epoll_); }

std::uint64_t EventLoop::watch(int fd, Handler& handler) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = last_ + 1;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) return 0;
  handlers_.emplace(++last_, &handler);
  return last_;
}

void EventLoop::run() {
  std::array<epoll_event, 512> events;
  while (!stopped_) {
    // A deferred task may defer more, and a destructor may dispose of what it owned: neither list may be walked
    // while it grows.
    while (!deferred_.empty() || !graveyard_.empty()) {
      for (auto& task : std::exchange(deferred_, {})) task();
      std::exchange(graveyard_, {}).clear();
    }
    if (stopped_) break;
    int timeout = -1;
    if (!unfinished_.empty()) {
      timeout = 0;
    } else if (auto next = timers_.next()) {
      auto left = std::chrono::ceil<std::chrono::milliseconds>(*next - now()).count();
      timeout = static_cast<int>(std::clamp<std::int64_t>(left, 0, 60000));
    }
    int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    // Who has gone is heard first: what else this turn brings must not be done for them.
    const auto* end = events.data() + std::max(0, count);
    for (bool gone : {true, false})
      for (const auto* event = events.data(); event != end; ++event) {
        if (((event->events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) != gone) continue;
        auto it = handlers_.find(event->data.u64);
        if (it != handlers_.end()) it->second->on_ready(event->events);
      }
    for (std::uint64_t registration : std::exchange(unfinished_, {})) {
      auto it = handlers_.find(registration);
      if (it != handlers_.end()) it->second->on_turn();
    }
    timers_.run(now());
  }
  stopped_ = false;  // it may be run again
}

}  // namespace keelflow::net
