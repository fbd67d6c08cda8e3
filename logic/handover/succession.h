/// When a new process that takes over from an old one is ready, and what each of the two does
/// meanwhile. Pure; times are Unix milliseconds.
#pragma once

#include <string>

namespace keelflow::handover {

/// What the new process waits for, each for so many milliseconds at most. The platform wants it
/// ready within 6 s.
///
/// The old process's state: administrative overrides, what it has sent and learned.
constexpr double kStateTimeoutMs = 1500;
/// Discovery's endpoint list; until then the process has the one that the platform keeps for it.
constexpr double kListTimeoutMs = 2500;

/// Owns what the new process still waits for.
class TakeoverReadiness {
 public:
  /// `is_asked`: there is an old process, and it was asked for its state. Without one nothing is
  /// waited for.
  TakeoverReadiness(double start_ms, bool is_asked)
      : start_ms_(start_ms), is_awaiting_state_(is_asked), is_awaiting_list_(is_asked) {}

  /// The old process's state arrived.
  void state_received() { is_awaiting_state_ = false; }
  /// The old process has ended: nobody is left to answer.
  void predecessor_ended() { is_awaiting_state_ = false; }
  /// Discovery's list arrived.
  void endpoint_list_received() { is_awaiting_list_ = false; }

  /// Why it may not serve yet, for people. Empty: it may serve, and always may from then on.
  std::string waits_for(double now_ms) const {
    if (is_awaiting_state_ && now_ms < start_ms_ + kStateTimeoutMs)
      return "it waits for the process that it takes over from";
    if (is_awaiting_list_ && now_ms < start_ms_ + kListTimeoutMs)
      return "it waits for discovery's list";
    return "";
  }
  /// When it may serve at the latest.
  double latest_ready_ms() const {
    if (is_awaiting_list_)
      return start_ms_ + kListTimeoutMs;
    return is_awaiting_state_ ? start_ms_ + kStateTimeoutMs : start_ms_;
  }

 private:
  double start_ms_;
  bool is_awaiting_state_;
  bool is_awaiting_list_;
};

/// A process that is shutting down goes on accepting clients only while no other accepts them.
inline bool should_stop_accepting(bool is_shutting_down, bool is_successor_ready) {
  return is_shutting_down && is_successor_ready;
}

/// What one process has of a limit that both share; a rest of the halving is nobody's.
template <typename T>
T share_of_limit(T limit, bool has_sibling_process) {
  return has_sibling_process ? limit / 2 : limit;
}

}  // namespace keelflow::handover
