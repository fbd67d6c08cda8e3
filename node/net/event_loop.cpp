#include "net/event_loop.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace keelflow::net {
namespace {
constexpr std::size_t kMostEvents = 512;  // of one turn
constexpr Duration kLate = std::chrono::milliseconds(20);
}  // namespace

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() {
  ::close(epoll_);
}

std::uint64_t EventLoop::watch(int fd, Handler& handler) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = last_ + 1;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0)
    return 0;
  handlers_.emplace(++last_, &handler);
  return last_;
}

void EventLoop::run() {
  std::array<epoll_event, kMostEvents> events;
  while (!stopped_) {
    ++turn_;
    // A deferred task may defer more, and a destructor may dispose of what it owned: neither list
    // may be walked while it grows.
    while (!deferred_.empty() || !graveyard_.empty()) {
      for (auto& task : std::exchange(deferred_, {}))
        task();
      std::exchange(graveyard_, {}).clear();
    }
    if (stopped_)
      break;
    int timeout = -1;
    if (!unfinished_.empty()) {
      timeout = 0;
    } else if (auto next = timers_.next()) {
      auto left = std::chrono::ceil<std::chrono::milliseconds>(*next - now()).count();
      timeout = static_cast<int>(std::clamp<std::int64_t>(left, 0, 60000));
    }
    TimePoint waits_from = now();
    int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout);
    if (count < 0 && errno != EINTR)
      throw std::system_error(errno, std::generic_category(), "epoll_wait");
    handle({events.data(), static_cast<std::size_t>(std::max(0, count))});
    for (std::uint64_t registration : std::exchange(unfinished_, {})) {
      auto it = handlers_.find(registration);
      if (it != handlers_.end())
        it->second->on_turn();
    }
    if (count >= 0 && static_cast<std::size_t>(count) < kMostEvents)
      last_look_ = waits_from;
    // The process was stopped, or had no processor: what has arrived meanwhile is read before its
    // timers say that it did not.
    bool was_late = timeout >= 0 && now() > waits_from + std::chrono::milliseconds(timeout) + kLate;
    was_late = was_late || count < 0;
    if (was_late && !std::exchange(skipped_, true))
      continue;
    skipped_ = false;
    timers_.run(now());
  }
  stopped_ = false;  // it may be run again
}

void EventLoop::sort(std::span<const epoll_event> events) {
  for (auto& ready : ready_)
    ready.clear();
  for (const epoll_event& event : events) {
    auto it = handlers_.find(event.data.u64);
    if (it == handlers_.end())
      continue;
    Order order = it->second->order(event.events);
    ready_[static_cast<std::size_t>(order)].push_back({event.data.u64, event.events});
  }
  // After a pause of the process everything is ready at once, and one turn may not bring all of it.
  if (events.size() < kMostEvents)
    return;
  for (std::uint64_t registration : preferred_)
    ready_[static_cast<std::size_t>(Order::list)].push_back({registration, EPOLLIN});
}

void EventLoop::handle(std::span<const epoll_event> events) {
  sort(events);
  for (const auto& ready : ready_)
    for (auto [registration, happened] : ready) {
      auto it = handlers_.find(registration);
      if (it != handlers_.end())
        it->second->on_ready(happened);
    }
}

}  // namespace keelflow::net
