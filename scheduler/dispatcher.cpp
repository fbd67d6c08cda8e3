/// Routes each event to the component that handles it, runs due timers, and sends queued requests
/// to endpoints.
#include "scheduler/dispatcher.h"

#include <algorithm>

#include "scheduler/attempt_tracker.h"
#include "scheduler/endpoint_list_tracker.h"
#include "scheduler/state_transfer.h"

namespace keelflow::scheduler {
namespace {

// Requests tried per pass at the head of a class's queue; the others wait for the next event.
constexpr int kMaxTried = 3;
// Ticks after which endpoints are sampled again for requests that found none.
constexpr double kReleaseIntervalTicks = 10;

Settings validated(const Settings& settings) {
  validate(settings);
  return settings;
}

}  // namespace

struct Dispatcher::Impl {
  Impl(const Settings& settings, std::uint64_t seed, std::shared_ptr<TenantQuotas> quotas)
      : environment(validated(settings), seed), quota(std::move(quotas)) {
    quota.resize(environment.settings);
  }

  void handle(Time now, const Event& event, Actions& out) {
    environment.now = std::max(environment.now, now);
    environment.actions = &out;
    std::visit([this](const auto& e) { on(e); }, event);
    while (environment.timers.is_due(environment.now))
      on_due(environment.timers.pop());
    release();
    if (!environment.timers.needs_arming())
      return;
    Time when = environment.timers.arm();
    environment.emit_action(SetTimer{environment.timers.id(), when});
  }

  void on(const EndpointList& event) { list_tracker.on_list(event); }
  void on(const SubsetChanged& event) { list_tracker.on_subset(event); }
  void on(const SlowStartShares& event) { list_tracker.on_slow_start_shares(event); }
  void on(const SlowStartGrant& event) { list_tracker.on_slow_start_grant(event); }
  void on(const RequestArrived& event) { lifecycle.on_arrived(event); }
  void on(const ResponseStreamStarted& event) { lifecycle.on_stream_started(event.request); }
  void on(const ClientDisconnected& event) { lifecycle.on_client_disconnected(event); }
  void on(const AttemptStarted& event) { attempts.on_started(event); }
  void on(const AttemptFinished& event) { attempts.on_finished(event); }
  void on(const PeerMessage& event) { feedback.on_peer_message(event); }
  void on(const SiblingProcess& event) { feedback.set_sibling(event.is_present); }
  void on(const MembershipChanged& event) { quota.on_membership(event.is_alive); }
  void on(const LearnedState& event) { state_transfer.restore(event); }
  void on(const TimerFired& event) { environment.timers.on_fired(event.id); }
  void on(const SendPermission& event) { is_sending_allowed = event.is_allowed; }
  void on(const HealthCheckResult&) {}  // health check results do not affect scheduling

  void on(const SettingsChanged& event) {
    environment.settings = event.settings;
    std::size_t classes = event.settings.classes.size();
    calibration.renumber(event.learned_from, classes);
    queue.resize(classes);
    endpoints.resize(event.settings.kinds);
    statistics.resize(event.settings);
    quota.resize(event.settings);
    selector.on_settings();
    lifecycle.on_attempt_limit_changed();
  }

  void on_due(const TimerQueue::Entry& timer) {
    switch (timer.purpose) {
      case TimerPurpose::deadline:
        return lifecycle.on_deadline(timer.subject);
      case TimerPurpose::overdue:
        lifecycle.on_overdue(timer.subject);
        return lifecycle.on_deadline(timer.subject);
      case TimerPurpose::late_start:
        return attempts.on_late_start(timer.subject, timer.attempt);
      case TimerPurpose::reindex:
        if (auto slot = endpoints.find(timer.subject))
          availability.refresh(*slot);
        return;
      case TimerPurpose::poll_list:
        return list_tracker.on_poll_timer();
      case TimerPurpose::release:
        return;  // release() runs after every event
    }
  }

  // Sends the request with the smallest calibrated cost of all classes first. Overdue requests stay
  // queued under congestion.
  void release() {
    if (!is_sending_allowed)
      return;
    release(QueueTier::in_time);
    if (!congestion.is_high())
      release(QueueTier::overdue);
    if (queue.size() == 0 || next_release > environment.now)
      return;
    next_release = environment.now + kReleaseIntervalTicks * environment.settings.tick_ms;
    congestion.fade();
    environment.timers.add(next_release, TimerPurpose::release);
  }

  void release(QueueTier tier) {
    std::vector<bool> blocked(environment.settings.classes.size(), false);
    while (queue.size() > 0) {
      auto cheapest = queue.cheapest_class(tier, blocked, calibration);
      if (!cheapest)
        return;
      blocked[to_index(*cheapest)] = !release_one(queue.of(*cheapest, tier));
    }
  }

  bool release_one(const RequestQueue::ClassQueue& of_class) {
    int tried = 0;
    for (auto it = of_class.begin(); it != of_class.end() && tried < kMaxTried; ++it, ++tried) {
      Request& request = requests.at(it->request);
      auto slot = selector.select(request);
      if (!slot)
        continue;
      attempts.send(request, *slot);
      return true;
    }
    return false;
  }

  Environment environment;
  RequestTable requests;
  RequestQueue queue{environment.settings.classes.size()};
  CostCalibration calibration{environment.settings.classes.size()};
  EndpointTable endpoints{environment.settings.kinds};
  ServiceStatistics statistics{environment.settings};
  Congestion congestion;
  EndpointHealth health{environment};
  PeerLoad peer_load;
  Subset subset;
  TenantQuota quota;
  SlowStart slow_start{environment, endpoints, statistics};
  Availability availability{environment, endpoints, health, peer_load, subset, slow_start};
  RetryPolicy retry_policy{environment, endpoints, statistics};
  EndpointSelector selector{environment, endpoints,    health,      slow_start, availability,
                            subset,      retry_policy, calibration, statistics, congestion};
  EndpointFeedback feedback{environment, endpoints,  health, peer_load,
                            statistics,  slow_start, subset, availability};
  RequestLifecycle lifecycle{environment, requests, queue,   retry_policy,
                             calibration, quota,    selector};
  AttemptTracker attempts{environment,  requests, queue,    lifecycle,   endpoints,  slow_start,
                          availability, feedback, selector, calibration, statistics, congestion};
  EndpointListTracker list_tracker{environment, endpoints,  health, peer_load,
                                   statistics,  slow_start, subset, availability};
  StateTransfer state_transfer{environment, endpoints,   health,     peer_load,   statistics,
                               slow_start,  calibration, congestion, availability};
  Time next_release = 0;
  bool is_sending_allowed = true;
};

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed,
                       std::shared_ptr<TenantQuotas> quotas)
    : impl_(std::make_unique<Impl>(settings, seed, std::move(quotas))) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Time now, const Event& event, Actions& out) {
  impl_->handle(now, event, out);
}

double Dispatcher::calibration(int class_index) const {
  return impl_->calibration.learned().at(to_index(class_index)).factor;
}

std::size_t Dispatcher::queued_requests() const {
  return impl_->queue.size();
}

LearnedState Dispatcher::learned_state(Time now) const {
  return impl_->state_transfer.snapshot(now);
}

SlowStartBudget Dispatcher::slow_start_budget(EndpointId endpoint, Time now) const {
  impl_->environment.now = std::max(impl_->environment.now, now);
  auto slot = impl_->endpoints.find(endpoint);
  if (!slot || !impl_->slow_start.is_warming_up(*slot))
    return {};
  return impl_->slow_start.budget(*slot);
}

bool Dispatcher::is_ejected(EndpointId endpoint, Time now) const {
  auto slot = impl_->endpoints.find(endpoint);
  if (!slot || impl_->endpoints.at(*slot).entry.state != EndpointState::ready)
    return false;
  return now < impl_->health.ejected_until(*slot) && impl_->health.has_fault_signs(*slot);
}

}  // namespace keelflow::scheduler
