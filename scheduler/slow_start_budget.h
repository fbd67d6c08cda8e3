/// What a Dispatcher may send to an endpoint that is warming up, in ms of work.
#pragma once

namespace keelflow::scheduler {

/// All zero for an endpoint that has warmed up.
struct SlowStartBudget {
  double own = 0;      ///< of its own part; below 0: more was sent than is thought right by now
  double granted = 0;  ///< of others' parts
  double typical = 0;  ///< the work of a typical request
  double total() const { return own + granted; }
};

}  // namespace keelflow::scheduler
