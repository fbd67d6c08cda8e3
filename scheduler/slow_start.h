/// Slow start: what an endpoint that is warming up may be sent within a window, of this
/// dispatcher's part of the budget and of the parts of others that they granted.
#pragma once

#include <vector>

#include "scheduler/endpoint_table.h"
#include "scheduler/environment.h"
#include "scheduler/service_statistics.h"
#include "scheduler/sliding_window.h"
#include "scheduler/slow_start_budget.h"

namespace keelflow::scheduler {

/// Owns the spent and granted work of each endpoint, by slot. Work is in ms on a standard core.
class SlowStart {
 public:
  SlowStart(const Environment& environment, const EndpointTable& endpoints,
            const ServiceStatistics& statistics)
      : environment_(environment), endpoints_(endpoints), statistics_(statistics) {}

  /// A new incarnation: an even part, nothing granted, nothing sent.
  void reset(EndpointSlot slot);

  bool is_warming_up(EndpointSlot slot) const {
    Time started_at = endpoints_.at(slot).entry.started_at;
    return started_at > 0 && environment_.now < started_at + environment_.settings.slow_start_ms;
  }
  /// The least fraction of its capacity that the endpoint can have by now.
  double weight(EndpointSlot slot) const { return is_warming_up(slot) ? weight_at_age(slot) : 1; }
  /// What the request counts as in the budget: as if its kind were as fast as its size says.
  double work_of(EndpointSlot slot, double hint, double calibrated_cost) const;

  SlowStartBudget budget(EndpointSlot slot) const;
  bool has_budget_for(EndpointSlot slot, double work_ms) const {
    return budget(slot).total() >= work_ms;
  }
  /// Grants are spent first: they end sooner.
  void spend(EndpointSlot slot, double work_ms);
  /// Work that is sent, or counts as sent, at that time: by this dispatcher, its sibling, or under
  /// a grant of its part.
  void record_sent(EndpointSlot slot, Time when, double work_ms);

  void set_fraction(EndpointSlot slot, double fraction) { states_[slot].fraction = fraction; }
  void on_grant(EndpointSlot slot, const SlowStartGrant& grant);

  /// Work that was sent within the window that ends at `now`.
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
  std::vector<State> states_;  // by slot
};

}  // namespace keelflow::scheduler
