/// \file
/// Decides when a new process that replaces an old one is ready, and what each of them may do until
/// then. Does no I/O; times are Unix milliseconds.
#pragma once

#include <string>

namespace keelflow::handover {

/// The longest wait for the old process's state: administrative overrides, and what it has sent
/// and learned. The platform wants the new process ready within 6 s.
constexpr double kStateTimeoutMs = 1500;
/// The longest wait for discovery's endpoint list. Until it arrives, the process uses the list that
/// the platform keeps for it.
constexpr double kListTimeoutMs = 2500;

/// Tracks what a new process still waits for before it may serve.
class TakeoverReadiness {
 public:
  /// `is_state_requested`: there is an old process, and its state was requested. Without an old
  /// process there is nothing to wait for.
  TakeoverReadiness(double process_start_ms, bool is_state_requested)
      : process_start_ms_(process_start_ms),
        is_awaiting_state_(is_state_requested),
        is_awaiting_list_(is_state_requested) {}

  /// The old process's state has arrived.
  void state_received() { is_awaiting_state_ = false; }
  /// The old process has ended, so its state will not arrive.
  void predecessor_ended() { is_awaiting_state_ = false; }
  /// Discovery's endpoint list has arrived.
  void endpoint_list_received() { is_awaiting_list_ = false; }

  /// Why the process may not serve yet, as a text for operators. Empty if it may serve; once empty,
  /// it stays empty.
  std::string waits_for(double now_ms) const {
    if (is_awaiting_state_ && now_ms < process_start_ms_ + kStateTimeoutMs)
      return "waiting for the state of the process that it replaces";
    if (is_awaiting_list_ && now_ms < process_start_ms_ + kListTimeoutMs)
      return "waiting for discovery's endpoint list";
    return "";
  }
  /// The latest time at which the process may serve.
  double latest_ready_ms() const {
    if (is_awaiting_list_)
      return process_start_ms_ + kListTimeoutMs;
    return is_awaiting_state_ ? process_start_ms_ + kStateTimeoutMs : process_start_ms_;
  }

 private:
  double process_start_ms_;
  bool is_awaiting_state_;
  bool is_awaiting_list_;
};

/// A process that is shutting down accepts clients until its successor is ready to accept them.
inline bool should_stop_accepting(bool is_shutting_down, bool is_successor_ready) {
  return is_shutting_down && is_successor_ready;
}

/// The share that one process has of a limit, which is halved while two processes run. Integer
/// division leaves the remainder unused.
template <typename T>
T share_of_limit(T limit, bool has_sibling_process) {
  return has_sibling_process ? limit / 2 : limit;
}

}  // namespace keelflow::handover
