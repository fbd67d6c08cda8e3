/// Shifts the traffic of a route from one pool to another in steps, and returns it immediately when
/// the new pool serves it worse. Performs no I/O and reads no clock: callers report events with
/// their time (Unix milliseconds) and read the result from `share()` and `events()`.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "moves/comparison.h"
#include "moves/load_watch.h"

namespace keelflow::moves {

/// The settings of one traffic shift.
struct MoveSpec {
  std::string name, route, from, to;
  std::vector<double> steps = {1, 5, 10, 25, 50, 100};  // percent, increasing
  double min_duration_ms = 30'000;                      // minimum duration of a step
  double max_duration_ms = 1'800'000;  // the move is undone if a step is undecided after this time
  std::uint64_t min_answers = 200;     // answers of the new pool that a step needs
  double cool_off_ms = 600'000;        // time after an undo before the move may start again
  double control = 5;  // percent that the old pool keeps until the last step has passed
  TestSettings test;   // false_alarm applies to the whole move and is divided among its steps
};
/// Returns a message for each fault of the settings; empty if they are valid.
std::vector<std::string> faults(const MoveSpec& spec);

/// The lifecycle of a move.
enum class State : std::uint8_t { idle, running, paused, undone, done };
/// Why a running move does not advance.
enum class Wait : std::uint8_t { none, slow_start, surge, answers };
std::string_view word(State state);
std::string_view word(Wait wait);

/// An entry of a move's history.
struct Event {
  double when_ms = 0;
  std::string text;
};

/// The current state of a pool according to the endpoint list in force.
struct PoolView {
  int ready = 0, warm = 0, draining = 0;
  double capacity = 0;  // of the pool's warm endpoints, in any unit that both pools share
};

/// One traffic shift: its state machine and its measurement.
class Move {
 public:
  explicit Move(MoveSpec spec);

  // Operator commands. Each may be called at any time and repeatedly. Returns an empty string on
  // success, otherwise the reason for the refusal.
  std::string start(double now_ms);
  std::string pause(double now_ms);
  std::string resume(double now_ms);
  std::string undo(std::string_view reason, double now_ms);

  // Replaces the settings by others with the same name, route and pools. A running move continues
  // at the highest step whose share does not exceed the current share, or else at the first step.
  void update_spec(MoveSpec spec, double now_ms);

  void update_pools(const PoolView& from, const PoolView& to, double now_ms);
  void arrived(Arm pool, bool of_route, double now_ms);
  // Must be called once for every request of the route, whatever its outcome. `in_time` is the
  // weight that was answered within the class's latency target. Requests that arrived before the
  // current measurement began, and answers while measurement is suspended, are ignored.
  void answered(Arm arm, double asked, double in_time, double arrived_ms, double now_ms);
  void tick(double now_ms);  // must be called at least every few hundred milliseconds

  double share() const { return share_; }  // share of `to`, 0 to 1
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
  // Returns the events since the last call; `history` keeps the newest 64.
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
  LoadSurgeDetector route_load_;    // requests of the route
  LoadSurgeDetector other_load_;    // requests of other routes to the new pool
  LoadSurgeDetector pool_load_[2];  // indexed by Arm
  PoolView from_, to_;
  State state_ = State::idle;
  Wait wait_ = Wait::none;
  std::size_t step_ = 0;
  double share_ = 0, step_since_ = 0, measured_since_ = 0, cool_until_ = 0, last_tick_ms_ = 0;
  double last_surge_ms_ = -1;  // negative: no surge has suspended the measurement
  Estimate last_;
  std::string reason_;
  std::uint64_t undos_ = 0;
  bool pools_known_ = false;
  std::vector<Event> pending_events_;
  std::deque<Event> history_;
};

}  // namespace keelflow::moves
