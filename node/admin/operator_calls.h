// What operators may ask on their own address, one line a call. The words are the platform's.
//
//   READY          "done" once the process serves; else "error" and why not
//   STATS          the figures, a line each (node.NAME:VALUE|c for counts, |g for what holds now),
//   then "end" DISABLE ID     endpoint ID gets no new work until it is called back, whatever
//   discovery says of it ENABLE ID      the call back
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/counters.h"

namespace keelflow {

struct Gauges {
  std::size_t pending = 0, members = 0, members_unavailable = 0;
};

class OperatorCalls {
 public:
  struct Callbacks {
    std::function<std::string()> not_ready;  // why; empty: it is ready
    std::function<Gauges()> gauges;
    std::function<std::string(const std::string& host, bool out)> by_hand;  // why not; empty: done
  };
  OperatorCalls(Callbacks deeds, const Counters& counters)
      : callbacks_(std::move(deeds)), counters_(counters) {}

  std::string answer(std::string_view line) const;

 private:
  std::string figures() const;

  Callbacks callbacks_;
  const Counters& counters_;
};

}  // namespace keelflow
