/// Tests that invalid settings are rejected.
#include <cmath>
#include <stdexcept>
#include <string>

#include "dispatcher_harness.h"

namespace keelflow::scheduler {
namespace {

TEST(Settings, InvalidSettingsThrow) {
  auto modified = [](auto change) {
    Settings settings = basic_settings();
    change(settings);
    return settings;
  };
  EXPECT_THROW(Dispatcher(modified([](Settings& settings) { settings.dispatchers = 0; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(modified([](Settings& settings) { settings.rank = 1; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(modified([](Settings& settings) { settings.classes.clear(); }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(modified([](Settings& settings) { settings.tick_ms = NAN; }), 1),
               std::invalid_argument);
  EXPECT_THROW(Dispatcher(modified([](Settings& settings) { settings.classes[0].kind = 9; }), 1),
               std::invalid_argument);
}

/// The error message of `validate`, or an empty string if the settings are valid.
std::string validation_error(const Settings& settings) {
  try {
    validate(settings);
  } catch (const std::invalid_argument& fault) {
    return fault.what();
  }
  return "";
}

TEST(Settings, BasicSettingsAreValid) {
  EXPECT_EQ(validation_error(basic_settings()), "");
}

TEST(Settings, AnErrorNamesTheInvalidSetting) {
  Settings settings = basic_settings();
  settings.max_attempts = 0;
  EXPECT_EQ(validation_error(settings), "scheduler settings: max_attempts must be positive");
}

TEST(Settings, RankAndZoneMustBeInRange) {
  for (int position : {-1, 2}) {
    Settings ranks = basic_settings();
    ranks.dispatchers = 2;
    ranks.rank = position;
    EXPECT_EQ(validation_error(ranks), "scheduler settings: rank out of range");
    Settings zones = basic_settings();
    zones.zones = 2;
    zones.zone = position;
    EXPECT_EQ(validation_error(zones), "scheduler settings: zone out of range");
  }
}

TEST(Settings, ValuesMustBeFiniteAndNotNegative) {
  for (double value : {-1.0, static_cast<double>(NAN), static_cast<double>(INFINITY)}) {
    for (auto member : {&Settings::tick_ms, &Settings::poll_within_ms, &Settings::slow_start_ms,
                        &Settings::overload_window_ms, &Settings::over_quota_weight}) {
      Settings settings = basic_settings();
      settings.*member = value;
      EXPECT_EQ(validation_error(settings),
                "scheduler settings: a figure is negative or not finite");
    }
  }
}

TEST(Settings, ClassValuesMustBeFiniteAndNotNegative) {
  for (double value : {-1.0, static_cast<double>(NAN), static_cast<double>(INFINITY)}) {
    for (auto member : {&ClassSettings::deduplication_window_ms,
                        &ClassSettings::latency_objective_ms, &ClassSettings::priority_weight}) {
      Settings settings = basic_settings();
      settings.classes.emplace_back();
      settings.classes[1].*member = value;
      EXPECT_EQ(validation_error(settings),
                "scheduler settings: a class figure is negative or not finite");
    }
  }
}

TEST(Settings, TheKindOfAClassMustExistOrBeAny) {
  Settings settings = basic_settings();
  settings.kinds = 2;
  for (int kind : {-1, 0, 1}) {
    settings.classes[0].kind = kind;
    EXPECT_EQ(validation_error(settings), "");
  }
  settings.classes[0].kind = 2;
  EXPECT_EQ(validation_error(settings), "scheduler settings: class kind out of range");
}

}  // namespace
}  // namespace keelflow::scheduler
