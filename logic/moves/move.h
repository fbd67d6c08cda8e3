// One move: traffic of a route is taken from one pool to another in steps, and taken back at once
// when the new pool serves it worse. Pure: what happens is told with its time (Unix milliseconds);
// what is to be done is read from `share()` and `events()`.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "moves/comparison.h"
#include "moves/load_watch.h"

namespace keelflow::moves {

struct MoveSpec {
  std::string name, route, from, to;
  std::vector<double> steps = {1, 5, 10, 25, 50, 100};  // percent, growing
  double min_duration_ms = 30'000;                      // a step lasts at least so long
  double max_duration_ms = 1'800'000;                   // one that is undecided by then is undone
  std::uint64_t min_answers = 200;                      // of the new pool, in a step
  double cool_off_ms = 600'000;                         // after an undo, before it may start again
  double control = 5;  // percent that the old pool keeps until the last step has passed
  TestSettings test;   // false_alarm is that of the whole move; the steps share it
};
std::vector<std::string> faults(const MoveSpec& spec);

enum class State : std::uint8_t { idle, running, paused, undone, done };
enum class Wait : std::uint8_t {
  none,
  slow_start,
  surge,
  answers
};  // why a running move does not go on
std::string_view word(State state);
std::string_view word(Wait wait);

struct Event {
  double when_ms = 0;
  std::string text;
};

// How the pools are, as of now; from the list in force.
struct PoolView {
  int ready = 0, warm = 0, draining = 0;
  double capacity = 0;  // of its warm endpoints, in any unit that both pools share
};

class Move {
 public:
  explicit Move(MoveSpec spec);

  // By an operator. Empty: done; else why not. Each may come at any time and more than once.
  std::string start(double now_ms);
  std::string pause(double now_ms);
  std::string resume(double now_ms);
  std::string undo(std::string_view reason, double now_ms);

  // Another Spec of the same name, route and pools: a running move goes on at the nearest step not
  // above its share.
  void update_spec(MoveSpec spec, double now_ms);

  void pools(const PoolView& from, const PoolView& to, double now_ms);
  void arrived(Arm pool, bool of_route, double now_ms);
  // Every request of the route ends with one of these, in whatever way. Worth counts as in time by
  // the class's aim. What came before the present measure began, or while it stood still, is passed
  // over.
  void answered(Arm arm, double asked, double in_time, double arrived_ms, double now_ms);
  void tick(double now_ms);  // at least every few hundred milliseconds

  double share() const { return share_; }  // of `to`, 0 to 1
  State state() const { return state_; }
  Wait wait_reason() const { return wait_; }
  std::size_t step() const { return step_; }
  double step_since() const { return step_since_; }
  double cool_until() const { return state_ == State::undone ? cool_until_ : 0; }
  const std::string& reason() const { return reason_; }
  const MoveSpec& spec() const { return spec_; }
  const Estimate& last() const { return last_; }
  std::uint64_t undos() const { return undos_; }
  bool active() const { return state_ == State::running || state_ == State::paused; }
  // Since the last call; the newest 64 stand in `history`.
  std::vector<Event> events();
  const std::deque<Event>& history() const { return history_; }

 private:
  void enter_step(std::size_t step, double now_ms);
  void restart_measurement(double now_ms);
  void set_wait(Wait wait, double now_ms);
  Wait measurement_blocker(double now_ms);
  void add_event(double now_ms, std::string text);
  double capped_share(std::size_t step) const;
  TestSettings step_test_settings() const;

  MoveSpec spec_;
  Comparison comparison_;
  LoadSurgeDetector route_load_,
      other_load_;  // the route's requests; those of other routes to the new pool
  LoadSurgeDetector pool_load_[2];
  PoolView from_, to_;
  State state_ = State::idle;
  Wait wait_ = Wait::none;
  std::size_t step_ = 0;
  double share_ = 0, step_since_ = 0, measured_since_ = 0, cool_until_ = 0, last_tick_ms_ = 0,
         last_surge_ms_ = -1;
  Estimate last_;
  std::string reason_;
  std::uint64_t undos_ = 0;
  bool pools_known_ = false;
  std::vector<Event> pending_events_;
  std::deque<Event> history_;
};

}  // namespace keelflow::moves
