// The rules, stated once: told what boxes and clients see, it says what was broken. It looks at
// both ends only, never into a node.
//
//   answer     each request gets exactly one final answer, before its client gives it up
//   made       an answer of 200 is what a box made for this very request
//   unsafe     work of an unsafe class runs once at most, whatever its client's tries were called;
//   and a refusal of it
//              means that it did not run
//   keyed      work with a key does not run in a second group while its repeats may be dropped by
//   the first left       nothing is sent on for a client that left more than a moment ago one a
//   request has one attempt out at a time drain      a box that is told to be draining gets nothing
//   new after the grace cold       a box that has just started is not sent so much that it falls
//   over
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow::lab {

class Rules {
 public:
  struct Request {    // one try of a client's job
    std::string key;  // the same for all tries of one job
    scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
    Duration window{};
    TimePoint client_left = TimePoint::max();
    int attempts_out = 0, runs = 0, answers = 0;
    std::string result;  // made by a box
  };

  void asked(const std::string& id, std::string key, scheduler::Idempotency idempotency,
             Duration window);
  void attempt_began(const std::string& id, const std::string& box,
                     TimePoint now = {});  // its last byte reached a box
  void client_left(const std::string& id, TimePoint now);
  void attempt_over(const std::string& id);
  void ran(const std::string& id, const std::string& box, const std::string& group,
           const std::string& result, TimePoint now);
  void answered(const std::string& id, int status, const std::string& body, bool in_time);
  void unanswered(const std::string& id);
  void drained_box_was_sent(const std::string& id, const std::string& box);
  void cold_box_fell(const std::string& box);

  std::uint64_t broken() const { return broken_; }
  const std::vector<std::string>& examples() const { return examples_; }  // the first few
  const std::map<std::string, std::uint64_t>& by_rule() const { return by_rule_; }

 private:
  void breach(const char* rule, const std::string& what);
  struct Runs {
    std::string group;
    TimePoint at;
    int count = 0;
  };
  std::unordered_map<std::string, Request> requests_;
  std::unordered_map<std::string, Runs> keys_;
  std::uint64_t broken_ = 0;
  std::vector<std::string> examples_;
  std::map<std::string, std::uint64_t> by_rule_;
};

}  // namespace keelflow::lab
