/// Slow start: limits the work sent to an endpoint that is warming up within a window. The limit is
/// this dispatcher's share of the budget plus what other dispatchers granted from theirs.
#pragma once

#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/service_statistics.h"
#include "scheduler/sliding_window.h"
#include "scheduler/slow_start_budget.h"

namespace keelflow::scheduler {

/// Owns the sent and granted work of each endpoint, by EndpointSlot. Work is in ms on a standard
/// core.
class SlowStart {
 public:
  SlowStart(const Environment& environment, const EndpointTable& endpoints,
            const ServiceStatistics& statistics)
      : environment_(environment), endpoints_(endpoints), statistics_(statistics) {}

  /// Resets the state for a new incarnation: an even share, nothing granted, nothing sent.
  void reset(EndpointSlot slot);

  bool is_warming_up(EndpointSlot slot) const {
    Time started_at = endpoints_.at(slot).entry.started_at;
    return started_at > 0 && environment_.now < started_at + environment_.settings.slow_start_ms;
  }
  /// The minimum fraction of its capacity that the endpoint has reached by now.
  double weight(EndpointSlot slot) const { return is_warming_up(slot) ? weight_at_age(slot) : 1; }
  /// The work that the request counts as in the budget, adjusted for the speed of the endpoint's
  /// kind.
  double work_of(EndpointSlot slot, double hint, double calibrated_cost) const;

  SlowStartBudget budget(EndpointSlot slot) const;
  bool has_budget_for(EndpointSlot slot, double work_ms) const {
    return budget(slot).total() >= work_ms;
  }
  /// Spends grants first because they expire sooner.
  void spend(EndpointSlot slot, double work_ms);
  /// Records work that is sent at `when`, or counts as sent then: by this dispatcher, by its
  /// sibling process, or under a grant from this dispatcher's share.
  void record_sent(EndpointSlot slot, Time when, double work_ms);

  void set_budget_fraction(EndpointSlot slot, double fraction) {
    states_[slot].fraction = fraction;
  }
  void on_grant(EndpointSlot slot, const SlowStartGrant& grant);

  /// The work sent within the window that ends at `now`.
  double work_in_window(EndpointSlot slot, Time now) const;

 private:
  struct State {
    double fraction = 1;
    double granted_ms = 0;
    Time granted_until = 0;
    SlidingWindow sent;
  };

  double weight_at_age(EndpointSlot slot) const;
  double granted(const State& state) const;

  const Environment& environment_;
  const EndpointTable& endpoints_;
  const ServiceStatistics& statistics_;
  std::vector<State> states_;  // by EndpointSlot
};

}  // namespace keelflow::scheduler
