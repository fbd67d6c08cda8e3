// When a process that takes over from another one is ready, and what each of the two does
// meanwhile. Pure; times are Unix milliseconds, as the module's.
#pragma once

#include <string>

namespace keelflow::handover {

// What the younger process waits for, each for so long at most. The platform wants it ready within
// 6 s.
constexpr double kAnswerWithin =
    1500;  // the elder's word: who is out by hand, what it has sent and learned
constexpr double kListWithin =
    2500;  // discovery's list; until then it has the one that the platform keeps for it

class Succession {
 public:
  // `asked`: there is an elder. Without one nothing is waited for.
  Succession(double start_ms, bool asked)
      : start_(start_ms), waits_answer_(asked), waits_list_(asked) {}

  void answered() { waits_answer_ = false; }
  void gone() { waits_answer_ = false; }  // the elder has ended: nothing is left to be asked
  void listed() { waits_list_ = false; }

  // Empty: it may serve. Once it may, it always may.
  std::string waits_for(double now_ms) const {
    if (waits_answer_ && now_ms < start_ + kAnswerWithin)
      return "it waits for the process that it takes over from";
    if (waits_list_ && now_ms < start_ + kListWithin)
      return "it waits for discovery's list";
    return "";
  }
  double latest() const {
    return start_ + (waits_list_ ? kListWithin : waits_answer_ ? kAnswerWithin : 0);
  }

 private:
  double start_;
  bool waits_answer_, waits_list_;
};

// A process that has been told to end goes on accepting clients only while no other accepts them.
inline bool leaves_accepting(bool told_to_end, bool successor_ready) {
  return told_to_end && successor_ready;
}

// Of a limit that both processes share; what two halves leave over is nobody's.
template <typename T>
T part(T limit, bool partner_here) {
  return partner_here ? limit / 2 : limit;
}

}  // namespace keelflow::handover
