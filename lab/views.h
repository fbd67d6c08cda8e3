// What the nodes held of one another over a run, by their logs, against what was true.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace keelflow::lab {

class Views {
 public:
  struct Truth {  // from `unix_ms` on
    double unix_ms = 0;
    std::vector<bool> well;                // by node: it runs, and is not stopped
    std::vector<std::vector<bool>> hears;  // by node, whom it hears
  };

  void now(Truth truth) { truths_.push_back(std::move(truth)); }
  void end(double unix_ms) { end_ = unix_ms; }
  void read(int node, const std::string& log);  // whole, of all of its lives

  // The longest time, over all changes of what is true, until those who hear each other hold the
  // same members, and those who run hold those for dead that do not; s. A change that is followed
  // by the next counts with the time it had if that was 2.5 s, else not at all.
  double agree_s() const;
  // Of nodes that ran and heard, and were heard by, whoever held them for dead, for three seconds
  // before.
  int false_deaths() const;

 private:
  struct Change {  // in a node's log
    double unix_ms = 0;
    int by = 0, member = 0;
    bool dead = false, by_itself = false;  // it said that it ends
  };
  bool agreed(const Truth& truth, const std::vector<std::vector<bool>>& dead) const;

  std::vector<Truth> truths_;
  std::vector<Change> changes_;
  double end_ = 0;
};

}  // namespace keelflow::lab
