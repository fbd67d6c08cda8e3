/// Random events checked against an independent model of the scheduling rules. The model does not
/// use scheduler state.
#include <map>
#include <random>
#include <vector>

#include "dispatcher_harness.h"
#include "scheduler/request.h"

namespace keelflow::scheduler {
namespace {

constexpr int kSteps = 3000;
constexpr int kStepsWithArrivals = 2500;  // in the remaining steps, requests in progress can finish
constexpr int kStepsToEnd = 400;          // of 10 ms each; longer than any client timeout
constexpr EndpointId kEndpoints = 14;

/// An attempt as seen by the checker.
struct CheckedAttempt {
  EndpointId endpoint;
  Time sent = 0;
  DeliveryState delivery = DeliveryState::in_flight;
  bool has_started = false;
};

/// A request as seen by the checker.
struct CheckedRequest {
  bool has_ended = false;
  Time deadline = 0;
  int class_index = 0;
  std::vector<CheckedAttempt> attempts;
};

/// Identifies an attempt of a request.
struct AttemptId {
  RequestId request;
  int attempt;
};

bool is_harmless(AttemptResult result) {
  return result == AttemptResult::rejected || result == AttemptResult::connect_failed ||
         result == AttemptResult::withheld;
}

/// Drives one Dispatcher with random events drawn from a seed and checks each action.
class RandomEvents {
 public:
  explicit RandomEvents(unsigned seed)
      : random_(seed), settings_(draw_settings(seed)), dispatcher_(settings_, seed) {}

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += draw_below(7);
      fire_timers();
      int event_type = draw_below(10);
      if (event_type < 3 && step < kStepsWithArrivals) {
        arrive();
      } else if (event_type == 3) {
        change_list();
      } else {
        advance_an_attempt();
      }
      if (::testing::Test::HasFatalFailure())
        return;
    }
    for (int i = 0; i < kStepsToEnd; ++i) {
      now_ += 10;
      fire_timers();
    }
    for (const auto& [id, request] : requests_)
      ASSERT_TRUE(request.has_ended) << "request " << id << " was not answered";
    ASSERT_GT(last_request_, 300u);
  }

 private:
  int draw_below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }

  Settings draw_settings(unsigned seed) {
    Settings settings = basic_settings();
    settings.zones = 2;
    settings.kinds = 2;
    settings.concurrent_attempts = seed % 3 != 0;
    settings.max_attempts = 1 + draw_below(5);
    settings.classes.resize(4, settings.classes[0]);
    settings.classes[1].idempotency = Idempotency::non_idempotent;
    settings.classes[2].idempotency = Idempotency::idempotent_with_key;
    settings.classes[2].deduplication_scope = DeduplicationScope::zone;
    settings.classes[2].deduplication_window_ms = 800;
    settings.classes[3].idempotency = Idempotency::idempotent_with_key;
    settings.classes[3].deduplication_scope = DeduplicationScope::cell;
    settings.classes[3].deduplication_window_ms = 400;
    settings.classes[3].kind = draw_below(2);
    return settings;
  }

  const ClassSettings& class_of(const CheckedRequest& request) const {
    return settings_.classes[static_cast<std::size_t>(request.class_index)];
  }

  void handle_event(const Event& event) {
    Actions actions;
    dispatcher_.handle(now_, event, actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.push_back(*timer);
      if (const auto* send = std::get_if<SendAttempt>(&action))
        check_send(*send);
      if (const auto* rejection = std::get_if<RejectRequest>(&action))
        check_rejection(requests_.at(rejection->request));
      if (const auto* failure = std::get_if<FailRequest>(&action))
        check_answer(requests_.at(failure->request));
      if (::testing::Test::HasFatalFailure())
        return;
    }
  }

  void check_send(const SendAttempt& send) {
    CheckedRequest& request = requests_.at(send.request);
    ASSERT_FALSE(request.has_ended) << "attempt sent after the request ended";
    ASSERT_LT(static_cast<int>(request.attempts.size()), settings_.max_attempts);
    const EndpointEntry& endpoint = endpoints_.at(send.endpoint);
    ASSERT_EQ(endpoint.state, EndpointState::ready);
    const ClassSettings& class_settings = class_of(request);
    if (class_settings.kind >= 0) {
      ASSERT_EQ(endpoint.kind, class_settings.kind);
    }
    for (const CheckedAttempt& earlier : request.attempts) {
      if (earlier.delivery == DeliveryState::not_delivered)
        continue;
      check_retry(earlier, class_settings, endpoint);
    }
    request.attempts.push_back({send.endpoint, now_});
  }

  void check_retry(const CheckedAttempt& earlier, const ClassSettings& class_settings,
                   const EndpointEntry& endpoint) {
    if (!settings_.concurrent_attempts) {
      ASSERT_NE(earlier.delivery, DeliveryState::in_flight);
    }
    ASSERT_NE(class_settings.idempotency, Idempotency::non_idempotent);
    if (class_settings.idempotency != Idempotency::idempotent_with_key)
      return;
    const EndpointEntry& before = endpoints_.at(earlier.endpoint);
    ASSERT_TRUE(class_settings.deduplication_scope == DeduplicationScope::zone
                    ? before.zone == endpoint.zone
                    : before.cell == endpoint.cell);
    ASSERT_LE(now_, earlier.sent + class_settings.deduplication_window_ms);
  }

  void check_answer(CheckedRequest& request) {
    ASSERT_FALSE(request.has_ended) << "request answered twice";
    request.has_ended = true;
    ASSERT_LE(now_, request.deadline + settings_.grace_to_answer_ms);
  }

  void check_rejection(CheckedRequest& request) {
    check_answer(request);
    if (class_of(request).idempotency == Idempotency::idempotent)
      return;
    for (const CheckedAttempt& attempt : request.attempts) {
      ASSERT_EQ(attempt.delivery, DeliveryState::not_delivered)
          << "request rejected although an attempt may have run";
    }
  }

  void fire_timers() {
    for (std::size_t i = 0; i < timers_.size();) {
      if (timers_[i].when > now_) {
        ++i;
        continue;
      }
      SetTimer timer = timers_[i];
      timers_.erase(timers_.begin() + static_cast<std::ptrdiff_t>(i));
      handle_event(TimerFired{timer.id});
    }
  }

  void arrive() {
    RequestArrived arrival;
    arrival.request = ++last_request_;
    arrival.class_index = draw_below(4);
    arrival.hint = draw_below(3) ? 20 + draw_below(500) : 0;
    arrival.client_timeout_ms = 20 + draw_below(1500);
    arrival.slots = 1 + draw_below(2);
    arrival.key = static_cast<std::uint64_t>(draw_below(5));
    CheckedRequest& request = requests_[arrival.request];
    request.deadline = now_ + arrival.client_timeout_ms;
    request.class_index = arrival.class_index;
    handle_event(arrival);
  }

  void change_list() {
    EndpointList list;
    list.scope = draw_below(4) ? ListScope::delta : ListScope::full;
    const bool is_full = list.scope == ListScope::full;
    for (EndpointId id = 0; id < kEndpoints; ++id) {
      bool is_named = is_full ? draw_below(8) != 0 : draw_below(8) == 0;
      if (is_named) {
        endpoints_[id] = draw_entry(id, is_full);
        list.entries.push_back(endpoints_[id]);
      } else if (is_full && endpoints_.contains(id)) {
        endpoints_[id].state = EndpointState::gone;
      }
    }
    handle_event(list);
  }

  EndpointEntry draw_entry(EndpointId id, bool is_full_list) {
    EndpointEntry entry;
    entry.endpoint = id;
    entry.zone = static_cast<int>(id % 2);
    entry.kind = static_cast<int>(id / 2 % 2);
    entry.cell = static_cast<int>(id / 4);
    entry.state =
        static_cast<EndpointState>(is_full_list ? 1 + (draw_below(6) == 0) : draw_below(3));
    entry.started_at = draw_below(5) ? 0 : now_ - draw_below(3000);
    return entry;
  }

  void advance_an_attempt() {
    std::vector<AttemptId> in_flight;
    for (const auto& [id, request] : requests_)
      for (std::size_t i = 0; i < request.attempts.size(); ++i)
        if (request.attempts[i].delivery == DeliveryState::in_flight)
          in_flight.push_back({id, static_cast<int>(i)});
    if (in_flight.empty())
      return;
    AttemptId id =
        in_flight[static_cast<std::size_t>(draw_below(static_cast<int>(in_flight.size())))];
    CheckedAttempt& attempt = requests_[id.request].attempts[static_cast<std::size_t>(id.attempt)];
    if (!attempt.has_started && draw_below(3) == 0) {
      attempt.has_started = true;
      handle_event(AttemptStarted{id.request, id.attempt});
      return;
    }
    finish_attempt(id);
  }

  void finish_attempt(AttemptId id) {
    constexpr AttemptResult kResults[] = {AttemptResult::ok,
                                          AttemptResult::ok,
                                          AttemptResult::error,
                                          AttemptResult::rejected,
                                          AttemptResult::connect_failed,
                                          AttemptResult::reset,
                                          AttemptResult::withheld,
                                          AttemptResult::cancelled,
                                          AttemptResult::rejected};
    CheckedRequest& request = requests_[id.request];
    AttemptFinished event;
    event.request = id.request;
    event.attempt = id.attempt;
    event.result = now_ >= request.deadline ? AttemptResult::timeout : kResults[draw_below(9)];
    request.attempts[static_cast<std::size_t>(id.attempt)].delivery =
        is_harmless(event.result) ? DeliveryState::not_delivered : DeliveryState::may_have_run;
    if (event.result == AttemptResult::ok)
      request.has_ended = true;
    event.request_finished = request.has_ended;
    handle_event(event);
  }

  std::mt19937 random_;
  Settings settings_;
  Dispatcher dispatcher_;
  std::map<EndpointId, EndpointEntry> endpoints_;
  std::map<RequestId, CheckedRequest> requests_;
  std::vector<SetTimer> timers_;
  Time now_ = 1000;
  RequestId last_request_ = 0;
};

TEST(Rules, HoldUnderRandomEvents) {
  for (unsigned seed = 1; seed <= 25; ++seed) {
    RandomEvents(seed).run();
    ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace keelflow::scheduler
