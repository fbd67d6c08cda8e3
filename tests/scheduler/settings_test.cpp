/// Settings that cannot be are rejected.
#include <cmath>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(Settings, ImpossibleOnesThrow) {
  auto broken = [](auto change) {
    Settings settings = basic_settings();
    change(settings);
    return settings;
  };
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.dispatchers = 0; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.rank = 1; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.classes.clear(); }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.tick_ms = NAN; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(broken([](Settings& settings) { settings.classes[0].kind = 9; }), 1),
               std::invalid_argument);
}

}  // namespace
}  // namespace keelflow::scheduler
