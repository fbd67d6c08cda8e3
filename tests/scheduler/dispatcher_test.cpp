/// Tests that equal settings, seeds and events yield equal actions.
#include <utility>
#include <vector>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  auto run = [](DispatcherHarness& harness) {
    harness.endpoints(12, 3, 1);
    for (RequestId id = 1; id < 60; ++id)
      harness.arrive(id, 50 + id % 7);
    harness.advance(harness.now + 500);
    std::vector<std::pair<RequestId, EndpointId>> sent;
    for (const auto& send : harness.sends)
      sent.emplace_back(send.request, send.endpoint);
    return sent;
  };
  Settings settings = basic_settings();
  settings.zones = 3;
  DispatcherHarness reference(settings, 5);
  DispatcherHarness same(settings, 5);
  DispatcherHarness other(settings, 6);
  auto expected = run(reference);
  // Instances in one process share no state: running another between the two changes nothing.
  run(other);
  EXPECT_EQ(run(same), expected);
}

}  // namespace
}  // namespace keelflow::scheduler
