// Which nodes of the tier live, found out in common: SWIM with the refinements of Lifeguard, on
// datagrams that may be lost, late, doubled or out of order. Pure: what is heard and the time go
// in, verdicts and words to tell come out.
//
// - Each period everyone is looked at by one other, by the clock that all share; who has been heard
// of late is spared
//   most of that while there is no news. One that does not answer is asked again through three
//   others, then accused.
// - Who is accused is told, and clears itself by a new incarnation. Death is never taken over from
// others: each node
//   waits out its own time, the shorter the more others accuse independently.
// - A node that was stalled, or hears nobody, accuses nobody aloud.
// - Members that were never heard of count as living, as nothing is known.
//
// All times are milliseconds on the caller's clock, which only moves forward and is the same at all
// nodes (a difference costs only evenness of the looks).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/membership_message.h"

namespace keelflow::fleet {

using Time = double;  // ms

class Membership {
 public:
  struct Settings {
    int members = 1, self = 0;   // numbers from 0 on, as the configuration has them
    Time period = 250;           // everyone is looked at so often
    Time least_suspicion = 500;  // from an accusation to death, where three others accuse too
    Time most_suspicion = 1200;  // and where nobody else does
  };
  struct Change {
    int member = 0;
    MemberState from = MemberState::unknown, to = MemberState::unknown;
    std::uint32_t incarnation = 0;
    std::string evidence;  // in words
  };
  struct Letter {
    int to = 0;
    std::string bytes;
  };
  struct Output {
    std::vector<Letter> letters;
    std::vector<Change> changes;
  };
  struct Member {
    MemberState state = MemberState::unknown;
    std::uint32_t incarnation = 0;
    Time since = 0;  // its life is this one
    Time heard = -1e18,
         worded = -1e18;     // when a datagram of its own came last, and one that was a word
    std::set<int> accusers;  // of a suspect
    bool left = false;       // it said that it ends: only a new life of it counts
  };
  struct Figures {
    std::uint64_t letters = 0, bytes = 0, accusations = 0, refutations = 0, deaths = 0, stalls = 0,
                  held_back = 0;
  };

  // `incarnation`: greater than that of this node's former lives, as Unix seconds are.
  Membership(const Settings& settings, Time now, std::uint32_t incarnation);

  // False: not a word of membership, or from nobody; the sender was heard all the same if it is a
  // member.
  bool hear(Time now, int from, std::string_view bytes, Output& out);
  void tick(Time now, Output& out);  // at `next`, or as soon after as can be
  Time next() const { return next_; }
  void leave(Time now, Output& out);  // it ends by itself: the others need not wait for it

  bool lives(int member) const { return at(member).state != MemberState::dead; }
  int living() const { return living_; }  // this one among them
  const Member& at(int member) const { return members_[static_cast<std::size_t>(member)]; }
  int members() const { return settings_.members; }
  int health() const { return doubt_; }  // 0: well; up to 8: it mistrusts itself
  const Figures& figures() const { return figures_; }

 private:
  struct Look {  // at one member, under way
    Time begun = 0, next = 0;
    int tries = 0;
    std::uint16_t number = 0;
    bool asked_others = false, nacked = false;
  };
  struct Errand {  // a look for someone else
    int asker = 0, target = 0;
    std::uint16_t number = 0;
    Time until = 0, next = 0;
  };

  Member& member(int m) { return members_[static_cast<std::size_t>(m)]; }
  bool is_other(int m) const { return m >= 0 && m < settings_.members && m != settings_.self; }
  void met(int from, std::uint32_t incarnation, Output& out);
  void take(const MemberUpdate& rumour, Output& out);
  void take_of_self(const MemberUpdate& rumour, Output& out);
  void accuse(int m, int by, Output& out);
  void set(int m, MemberState state, std::uint32_t incarnation, std::string evidence, Output& out);
  void answer(int from, const MembershipMessage& word, Output& out);
  void forgive(Output& out);
  void notice_stall();
  void begin_round(Output& out);
  void look_at(int m);
  bool go_on(int m, Look& look, Output& out);  // true: it is over
  void go_on(Output& out);
  void run_errands(Output& out);
  void bury(Output& out);
  void remind_dead(Output& out);
  Time patience(const Member& m) const;
  bool alone() const;
  bool heard_of_late(int m) const { return now_ - at(m).heard < settings_.period; }
  void spread(int m);
  void pass_on(int m, Output& out);
  std::vector<MemberUpdate> rumours_of(int m) const;
  void send(int to, MembershipMessage word, Output& out, bool all = false);
  double random();
  int random_living(int but);
  void plan();

  Settings settings_;
  std::vector<Member> members_;
  Time now_ = 0, next_ = 0, round_due_ = 0, last_heard_ = 0, dead_due_ = 0, budget_at_ = 0;
  std::uint32_t incarnation_, digest_ = 0;
  std::uint64_t random_;
  double budget_ = 0;  // words that may go out at once, beside the looks
  int living_ = 0, suspects_ = 0, doubt_ = 0, cursor_ = 0, dead_cursor_ = 0, told_last_ = -1;
  bool leaving_ = false, came_back_ = false;
  std::uint16_t last_number_ = 0;
  std::map<int, Look> looks_;    // by member
  std::vector<Errand> errands_;  // kMostErrands at most
  std::map<int, int> to_tell_;   // members whose word is to be told so many times more
  Figures figures_;
};

}  // namespace keelflow::fleet
