/// A random stream of events against a checker of the rules that knows nothing of the scheduler.
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

// ---- random streams against an independent checker ----

struct Checked {
  bool ended = false, answered = false;
  Time deadline = 0;
  int zone = 0, cell = 0, class_index = 0;
  struct Try {
    EndpointId endpoint;
    Time sent = 0;
    int delivery = 0;  // 0 in flight, 1 never ran, 2 may have run
    bool started = false;
  };
  std::vector<Try> tries;
};

void random_stream(unsigned seed) {
  std::mt19937 rng(seed);
  auto pick = [&](int n) {
    return static_cast<int>(rng() % static_cast<unsigned>(n));
  };
  Settings settings = basic_settings();
  settings.zones = 2;
  settings.kinds = 2;
  settings.concurrent_attempts = seed % 3 != 0;
  settings.max_attempts = 1 + pick(5);
  settings.classes.resize(4, settings.classes[0]);
  settings.classes[1].idempotency = Idempotency::non_idempotent;
  settings.classes[2].idempotency = Idempotency::idempotent_with_key,
  settings.classes[2].deduplication_scope = DeduplicationScope::zone,
  settings.classes[2].deduplication_window_ms = 800;
  settings.classes[3].idempotency = Idempotency::idempotent_with_key,
  settings.classes[3].deduplication_scope = DeduplicationScope::cell,
  settings.classes[3].deduplication_window_ms = 400;
  settings.classes[3].kind = pick(2);
  Dispatcher d(settings, seed);
  std::map<EndpointId, EndpointEntry> fleet;
  std::map<RequestId, Checked> all;
  std::vector<SetTimer> timers;
  Time now = 1000;
  RequestId next = 0;

  auto act = [&](const Event& event) {
    Actions actions;
    d.handle(now, event, actions);
    for (const auto& action : actions) {
      if (const auto* t = std::get_if<SetTimer>(&action))
        timers.push_back(*t);
      if (const auto* x = std::get_if<SendAttempt>(&action)) {
        Checked& c = all.at(x->request);
        ASSERT_FALSE(c.ended) << "sent after its end";
        ASSERT_LT(static_cast<int>(c.tries.size()), settings.max_attempts);
        const EndpointEntry& w = fleet.at(x->endpoint);
        ASSERT_EQ(w.state, EndpointState::ready);
        const ClassSettings& k = settings.classes[static_cast<std::size_t>(c.class_index)];
        if (k.kind >= 0) {
          ASSERT_EQ(w.kind, k.kind);
        }
        for (const auto& t : c.tries) {
          if (t.delivery == 1)
            continue;
          if (!settings.concurrent_attempts) {
            ASSERT_NE(t.delivery, 0);
          }
          ASSERT_NE(k.idempotency, Idempotency::non_idempotent);
          if (k.idempotency == Idempotency::idempotent_with_key) {
            const EndpointEntry& before = fleet.at(t.endpoint);
            ASSERT_TRUE(k.deduplication_scope == DeduplicationScope::zone ? before.zone == w.zone
                                                                          : before.cell == w.cell);
            ASSERT_LE(now, t.sent + k.deduplication_window_ms);
          }
        }
        c.tries.push_back({x->endpoint, now});
      }
      const auto* reject = std::get_if<RejectRequest>(&action);
      const auto* fail = std::get_if<FailRequest>(&action);
      if (reject || fail) {
        Checked& c = all.at(reject ? reject->request : fail->request);
        ASSERT_FALSE(c.ended) << "answered twice";
        c.ended = c.answered = true;
        ASSERT_LE(now, c.deadline + settings.grace_to_answer_ms);
        if (reject && settings.classes[static_cast<std::size_t>(c.class_index)].idempotency !=
                          Idempotency::idempotent)
          for (const auto& t : c.tries) {
            ASSERT_EQ(t.delivery, 1) << "refused though it may have run";
          }
      }
    }
  };

  for (int step = 0; step < 3000; ++step) {
    now += pick(7);
    for (std::size_t i = 0; i < timers.size();) {
      if (timers[i].when > now) {
        ++i;
        continue;
      }
      SetTimer t = timers[i];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(i));
      act(TimerFired{t.id});
    }
    int what = pick(10);
    if (what < 3 && step < 2500) {
      RequestArrived a;
      a.request = ++next;
      a.class_index = pick(4);
      a.hint = pick(3) ? 20 + pick(500) : 0;
      a.client_timeout_ms = 20 + pick(1500);
      a.slots = 1 + pick(2);
      a.key = static_cast<std::uint64_t>(pick(5));
      Checked& c = all[a.request];
      c.deadline = now + a.client_timeout_ms;
      c.class_index = a.class_index;
      act(a);
    } else if (what == 3) {
      EndpointList list;
      list.scope = pick(4) ? ListScope::delta : ListScope::full;
      for (EndpointId id = 0; id < 14; ++id) {
        bool named = list.scope == ListScope::full ? pick(8) != 0 : pick(8) == 0;
        if (named) {
          int z = static_cast<int>(id % 2), k = static_cast<int>(id / 2 % 2),
              cell = static_cast<int>(id / 4);
          auto state = static_cast<EndpointState>(list.scope == ListScope::full ? 1 + (pick(6) == 0)
                                                                                : pick(3));
          list.entries.push_back({id, z, k, cell, state, 1, pick(5) ? 0 : now - pick(3000)});
          fleet[id] = list.entries.back();
        } else if (list.scope == ListScope::full && fleet.count(id)) {
          fleet[id].state = EndpointState::gone;
        }
      }
      act(list);
    } else {
      std::vector<std::pair<RequestId, int>> in_flight;
      for (auto& [id, c] : all)
        for (std::size_t i = 0; i < c.tries.size(); ++i)
          if (c.tries[i].delivery == 0)
            in_flight.emplace_back(id, static_cast<int>(i));
      if (in_flight.empty())
        continue;
      auto [id, i] = in_flight[static_cast<std::size_t>(pick(static_cast<int>(in_flight.size())))];
      Checked& c = all[id];
      auto& t = c.tries[static_cast<std::size_t>(i)];
      if (!t.started && pick(3) == 0) {
        t.started = true;
        act(AttemptStarted{id, i});
        continue;
      }
      AttemptFinished o;
      o.request = id;
      o.attempt = i;
      const AttemptResult results[] = {AttemptResult::ok,
                                       AttemptResult::ok,
                                       AttemptResult::error,
                                       AttemptResult::rejected,
                                       AttemptResult::connect_failed,
                                       AttemptResult::reset,
                                       AttemptResult::withheld,
                                       AttemptResult::cancelled,
                                       AttemptResult::rejected};
      o.result = now >= c.deadline ? AttemptResult::timeout : results[pick(9)];
      t.delivery = o.result == AttemptResult::rejected ||
                           o.result == AttemptResult::connect_failed ||
                           o.result == AttemptResult::withheld
                       ? 1
                       : 2;
      if (o.result == AttemptResult::ok)
        c.ended = true;
      o.request_finished = c.ended;
      act(o);
    }
    if (::testing::Test::HasFatalFailure())
      return;
  }
  for (int i = 0; i < 400; ++i) {
    now += 10;
    for (std::size_t k = 0; k < timers.size();) {
      if (timers[k].when > now) {
        ++k;
        continue;
      }
      SetTimer t = timers[k];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(k));
      act(TimerFired{t.id});
    }
  }
  for (const auto& [id, c] : all)
    ASSERT_TRUE(c.ended) << "request " << id << " was lost";
  ASSERT_GT(next, 300u);
}

TEST(Rules, HoldUnderRandomEvents) {
  for (unsigned seed = 1; seed <= 25; ++seed) {
    random_stream(seed);
    ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace keelflow::scheduler
