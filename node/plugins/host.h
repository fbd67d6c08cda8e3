// The node's side of one host: the child process, the packet socket to it, and the calls that are
// open there. It believes nothing that comes back: a packet that is malformed, an answer to a call
// that is not owed, or a flood ends the host, and its user starts another.
#pragma once

#include <sys/types.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/event_loop.h"
#include "plugins/manifest.h"
#include "plugins/wire.h"

namespace keelflow::plugins {

using CallId = std::uint64_t;

// Child processes that were told to end and have not been waited for yet. All of them were sent
// SIGKILL.
class Reaper {
 public:
  using Told = std::function<void(pid_t pid, const std::string& how)>;  // "exit 1", "signal 11"
  Reaper(net::EventLoop& loop, Told told) : loop_(loop), told_(std::move(told)) {}
  ~Reaper();
  void add(pid_t pid);

 private:
  void look();
  net::EventLoop& loop_;
  Told told_;
  std::vector<pid_t> pids_;
  TimerId timer_ = 0;
};

class Host final : net::EventLoop::Handler {
 public:
  struct Settings {
    std::string program = "/proc/self/exe";
    Duration answer_within = std::chrono::milliseconds(20);  // of a call
    Duration silence = std::chrono::milliseconds(500);       // after that deadline it is ended
    Duration load_within = std::chrono::seconds(5);
    std::size_t most_in_flight = 256;  // those that are late count
    std::uint8_t nice = 5;
  };
  // None comes after on_ended or `stop`. A Host may be stopped and disposed of in any of them.
  class User {
   public:
    virtual ~User() = default;
    virtual void on_ready(Host& host) = 0;  // loaded, and its own test passed
    virtual void on_judged(Host& host, CallId call, Verdict verdict) = 0;
    virtual void on_shaped(Host& host, CallId call, Shape shape) = 0;
    virtual void on_faulted(Host& host, CallId call,
                            const std::string& why) = 0;  // zero: a call that wants no answer
    virtual void on_late(Host& host,
                         CallId call) = 0;  // its deadline has passed; it is not open any more
    virtual void on_kept(Host& host, const wire::Kept& entry) = 0;
    virtual void on_count(Host& host, const wire::Count& count) = 0;
    virtual void on_line(Host& host, const wire::Line& line) = 0;
    // The process is gone, or is being ended; without a reason after `leave`. `open` calls will not
    // be answered.
    virtual void on_ended(Host& host, const std::string& why, const std::vector<CallId>& open) = 0;
  };

  Host(net::EventLoop& loop, Reaper& reaper, User& user, Settings settings,
       std::uint64_t generation);
  ~Host() override { stop(); }

  // False (errno): no descriptor or no process could be had.
  bool start(const Package& package, const std::vector<wire::Kept>& table, double now);
  void stop();   // ends the process; no callback
  void leave();  // it may say what is left to say and ends then: on_ended, without a reason
  bool leaving() const { return leaving_; }
  bool ready() const { return ready_; }
  // False: it has too many calls, is behind, or its socket is full. `call` grows with each.
  bool ask(CallId call, const wire::ToHost& message);
  bool tell(const wire::ToHost& message);  // wants no answer; false: dropped
  void forget(CallId call);                // its answer is not wanted any more; it is still owed
  bool behind() const { return !late_.empty(); }
  std::size_t in_flight() const { return open_.size() + late_.size(); }
  std::uint64_t generation() const { return generation_; }
  pid_t pid() const { return pid_; }

 private:
  void on_ready(std::uint32_t events) override;
  void on_turn() override;
  void read();
  bool take(std::string_view packet);
  bool owed(CallId call, bool& wanted);
  bool unasked();
  void flush();
  bool put(const std::string& packet);
  void watch_deadlines();
  void deadline();
  void end(const std::string& why);

  net::EventLoop& loop_;
  Reaper& reaper_;
  User& user_;
  Settings settings_;
  std::uint64_t generation_;
  pid_t pid_ = -1;
  int fd_ = -1;
  std::uint64_t registration_ = 0;
  bool ready_ = false, leaving_ = false;
  std::deque<std::string> starting_;                    // what is said before it is ready
  std::deque<std::pair<TimePoint, CallId>> deadlines_;  // in order, as all calls have the same time
  std::unordered_map<CallId, bool> open_;               // and whether its answer is still wanted
  std::map<CallId, TimePoint> late_;  // past their deadline, still owed; the oldest first
  double unasked_left_ = 64;
  TimePoint unasked_filled_{};
  TimerId timer_ = 0, load_timer_ = 0;
};

}  // namespace keelflow::plugins
