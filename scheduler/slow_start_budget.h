/// The work that a Dispatcher may still send to an endpoint that is warming up, in ms.
#pragma once

namespace keelflow::scheduler {

/// All zero for an endpoint that has warmed up.
struct SlowStartBudget {
  double own = 0;      ///< what remains of this dispatcher's share; negative if overspent
  double granted = 0;  ///< what remains of the work granted by other dispatchers
  double typical = 0;  ///< the work of a typical request
  double total() const { return own + granted; }
};

}  // namespace keelflow::scheduler
