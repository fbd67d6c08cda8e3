// One thread, one epoll set, edge-triggered.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <csignal>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "net/timer_queue.h"

namespace keelflow::net {

class EventLoop final : public TimerPort {
 public:
  // In which the events of one turn are handled. A client that has gone is heard before anything
  // could be done for it, and the list before anything could be sent by an older one.
  enum class Order : std::uint8_t { client_gone, list, peer_gone, other };
  static constexpr std::size_t kOrders = 4;

  class Handler {
   public:
    virtual ~Handler() = default;
    virtual Order order(std::uint32_t) const { return Order::other; }  // of these events
    virtual void on_ready(std::uint32_t events) = 0;
    virtual void on_turn() {}  // asked for with `next_turn`
  };

  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Registers for every kind of event at once; a Handler is told of edges only and must work until
  // EAGAIN. The number returned, not the descriptor, names the registration: the kernel reuses
  // descriptors, and an event still queued for a closed one must not reach the new owner. Zero: the
  // kernel refused (errno).
  std::uint64_t watch(int fd, Handler& handler);
  void forget(std::uint64_t registration) {
    handlers_.erase(registration);
    std::erase(preferred_, registration);
  }
  // It brings the list: it is read in each turn that cannot bring all that is ready, too.
  void prefer(std::uint64_t registration) { preferred_.push_back(registration); }
  bool watched(std::uint64_t registration) const { return handlers_.contains(registration); }
  // Counts the turns: what a Handler may do in one turn belongs to this number, however often it is
  // called in it.
  std::uint64_t turn() const { return turn_; }
  // For a Handler that stops before EAGAIN, to give the others their turn: it goes on after them,
  // once however often it asks.
  void next_turn(std::uint64_t registration) { unfinished_.insert(registration); }

  TimePoint now() const override { return Clock::now(); }
  // When the last look at all sockets before the present turn's began: what is found to be readable
  // in this turn and had been read to its end came after that, however long the process was stopped
  // in between.
  TimePoint last_look() const { return last_look_; }
  TimerId at(TimePoint when, std::function<void()> task) override {
    return timers_.add(when, std::move(task));
  }
  void cancel(TimerId id) override { timers_.cancel(id); }
  // Runs the task after the events in hand, before the loop sleeps.
  void defer(std::function<void()> task) { deferred_.push_back(std::move(task)); }
  // Deletes the object when no frame of the present turn can be inside it any more.
  template <typename T>
  void dispose(std::unique_ptr<T> object) {
    if (object)
      graveyard_.push_back(std::shared_ptr<T>(std::move(object)));
  }

  void run();
  void stop() { stopped_ = true; }

 private:
  struct Ready {
    std::uint64_t registration;
    std::uint32_t events;
  };
  void handle(std::span<const epoll_event> events);
  void sort(std::span<const epoll_event> events);

  int epoll_;
  std::uint64_t last_ = 0, turn_ = 0;
  bool stopped_ = false;
  TimePoint last_look_ = Clock::now();
  bool skipped_ = false;  // the last turn ran no timers
  std::unordered_map<std::uint64_t, Handler*> handlers_;
  TimerQueue timers_;
  std::set<std::uint64_t> unfinished_;
  std::vector<std::uint64_t> preferred_;
  std::array<std::vector<Ready>, kOrders> ready_;  // in this turn
  std::vector<std::function<void()>> deferred_;
  std::vector<std::shared_ptr<void>> graveyard_;
};

}  // namespace keelflow::net
