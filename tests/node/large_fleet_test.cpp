// What a node still does in time while discovery tells it of many changes in a large fleet.
#include <sstream>

#include "core/pool_dispatchers.h"
#include "scenario.h"
#include "start.h"

namespace keelflow::test {
namespace {

using namespace std::chrono_literals;

constexpr int kEndpoints = 3200;
constexpr int kReplaced = kEndpoints * 6 / 10;

std::string entry(int number, const std::string& state, int port, std::int64_t started_at) {
  std::ostringstream out;
  out << R"({"host":"s-)" << number << R"(","dial":"127.0.0.1:)" << port
      << R"(","site":"east","class":"fast","block":1,"health":")" << state
      << R"(","share":1.0,"born_ms":)" << started_at << "}";
  return out.str();
}

std::string object(int version, const std::string& entries) {
  return R"({"seq":)" + std::to_string(version) + R"(,"whole":false,"hosts":[)" + entries + "]}\\n";
}

// Guards against a node that answers nobody while it applies the changes of a large fleet: each
// change cost work for all endpoints and dispatchers, and none was joined with the next.
TEST(LargeFleet, ARequestIsAnsweredInTimeWhileSixInTenEndpointsAreReplaced) {
  Options options;
  options.settings = R"({"balancers":300})";
  Scenario scenario(options);
  scenario.play(kStart);
  int port = scenario.port("box"), version = 100;
  std::string all;
  for (int number = 0; number < kEndpoints; ++number)
    all += (all.empty() ? "" : ",") + entry(number, "ready", port, 0);
  scenario.play("send disco chunk " + object(version, all) + "\nwait lists_received 3+\n");
  std::int64_t now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  std::string changes;
  for (int number = 0; number < kReplaced; ++number) {
    changes += object(++version, entry(kEndpoints + number, "ready", port, now_ms));
    changes += object(++version, entry(number, "gone", port, 0));
  }
  scenario.play("send disco chunk " + changes + R"(
    clock
    open c
    send c job A price 1500
    expect c HTTP/1.1 50
    under 2
  )");
}

// Keeps tasks until they are run by hand.
class ManualTimers final : public TimerPort {
 public:
  TimePoint now() const override { return now_; }
  TimerId at(TimePoint when, std::function<void()> task) override {
    tasks_.emplace(when, std::move(task));
    return ++last_;
  }
  void cancel(TimerId) override {}
  void advance(Duration span) {
    now_ += span;
    while (!tasks_.empty() && tasks_.begin()->first <= now_) {
      auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
  }

 private:
  TimePoint now_ = Clock::now();
  TimerId last_ = 0;
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

scheduler::EndpointEntry listed(scheduler::EndpointId endpoint, scheduler::EndpointState state) {
  return {endpoint, 0, 0, 0, state, 1, 0};
}

class JoinedSubsets : public testing::Test {
 protected:
  JoinedSubsets() {
    settings.dispatchers = 300;
    settings.peers = true;
    settings.classes.resize(1);
    pools = std::make_unique<PoolDispatchers>(
        settings, 1, 4ms, timers, clock,
        PoolDispatchers::Callbacks{
            .execute =
                [this](const scheduler::Action& action) {
                  if (const auto* send = std::get_if<scheduler::SendAttempt>(&action))
                    sent_to.push_back(send->endpoint);
                },
            .on_handled =
                [this](const scheduler::Event& event) {
                  updates += std::holds_alternative<scheduler::SubsetChanged>(event);
                }});
    pools->grow(1);
    scheduler::EndpointList list;
    for (scheduler::EndpointId endpoint = 1; endpoint <= kListed; ++endpoint)
      list.entries.push_back(listed(endpoint, scheduler::EndpointState::ready));
    pools->post(0, list);
  }
  void change(scheduler::EndpointId endpoint, scheduler::EndpointState state) {
    pools->post(0, scheduler::EndpointList{.scope = scheduler::ListScope::delta,
                                           .entries = {listed(endpoint, state)}});
  }
  static constexpr scheduler::EndpointId kListed = 400;
  scheduler::Settings settings;
  ManualTimers timers;
  UnixClock clock;
  int updates = 0;
  std::vector<scheduler::EndpointId> sent_to;
  std::unique_ptr<PoolDispatchers> pools;
};

TEST_F(JoinedSubsets, ManyChangesInOneTurnTakeOneUpdate) {
  EXPECT_EQ(updates, 1) << "the first list takes effect at once";
  for (scheduler::EndpointId endpoint = 1; endpoint <= 200; ++endpoint) {
    change(endpoint, scheduler::EndpointState::gone);
    change(kListed + endpoint, scheduler::EndpointState::ready);
  }
  EXPECT_EQ(updates, 1);
  timers.advance(10s);
  EXPECT_EQ(updates, 2);
  fleet::Subsets single(settings);
  scheduler::EndpointList expected;
  for (scheduler::EndpointId endpoint = 201; endpoint <= kListed + 200; ++endpoint)
    expected.entries.push_back(listed(endpoint, scheduler::EndpointState::ready));
  auto notification = single.after(expected);
  const auto& joined = pools->at(0).subsets().last_notification().endpoints;
  ASSERT_EQ(joined.size(), notification->endpoints.size());
  for (std::size_t i = 0; i < joined.size(); ++i) {
    EXPECT_EQ(joined[i].endpoint, notification->endpoints[i].endpoint);
    EXPECT_EQ(joined[i].is_own, notification->endpoints[i].is_own);
    EXPECT_EQ(joined[i].peers, notification->endpoints[i].peers);
  }
  timers.advance(10s);
  EXPECT_EQ(updates, 2) << "nothing has changed since";
}

TEST_F(JoinedSubsets, DeathsThatAreReportedOneByOneTakeOneUpdate) {
  std::vector<bool> alive(300, true);
  for (std::size_t rank = 1; rank <= 100; ++rank) {
    alive[rank] = false;
    pools->change_membership(alive);
  }
  timers.advance(10s);
  EXPECT_EQ(updates, 2);
  for (const auto& entry : pools->at(0).subsets().last_notification().endpoints)
    for (int peer : entry.peers)
      EXPECT_GT(peer, 100);
}

TEST_F(JoinedSubsets, ARemovedEndpointIsNotSentToThoughItsSubsetIsNotYetUpdated) {
  for (scheduler::EndpointId endpoint = 1; endpoint < kListed; ++endpoint)
    change(endpoint,
           endpoint % 2 == 0 ? scheduler::EndpointState::gone : scheduler::EndpointState::draining);
  EXPECT_EQ(updates, 1);
  pools->post(0, scheduler::RequestArrived{.request = 1, .client_timeout_ms = 5000, .hint = 10});
  EXPECT_EQ(sent_to, std::vector<scheduler::EndpointId>{kListed});
}

}  // namespace
}  // namespace keelflow::test
