// The checker itself: what is allowed passes, and each rule, broken by hand, is named.
#include "rules.h"

#include <gtest/gtest.h>

#include <functional>

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
using scheduler::Idempotency;

const TimePoint kThen{};

void begun(Rules& rules, Idempotency idempotency, const std::string& id = "k.0") {
  rules.asked(id, "k", idempotency, 5s);
  rules.attempt_began(id, "box");
}

TEST(Rules, WhatIsAllowedPasses) {
  Rules rules;
  begun(rules, Idempotency::non_idempotent);
  rules.attempt_over("k.0");  // turned away: it never ran, and may go elsewhere
  rules.attempt_began("k.0", "other");
  rules.ran("k.0", "other", "east", "r", kThen);
  rules.attempt_over("k.0");
  rules.answered("k.0", 200, "r", true);
  Rules keyed;
  begun(keyed, Idempotency::idempotent_with_key);
  keyed.ran("k.0", "box", "east", "r", kThen);
  keyed.attempt_over("k.0");
  keyed.answered("k.0", 502, "", true);
  keyed.asked("k.1", "k", Idempotency::idempotent_with_key, 5s);
  keyed.ran("k.1", "box", "east", "r", kThen + 1s);   // the group drops it
  keyed.ran("k.1", "far", "west", "r", kThen + 10s);  // the window is over
  EXPECT_EQ(rules.broken() + keyed.broken(), 0u);
}

TEST(Rules, EachBreachIsNamed) {
  const std::pair<const char*, std::function<void(Rules&)>> breaches[] = {
      {"answer",
       [](Rules& r) {
         begun(r, Idempotency::idempotent), r.unanswered("k.0");
       }},
      {"answer",
       [](Rules& r) {
         begun(r, Idempotency::idempotent), r.answered("k.0", 503, "", false);
       }},
      {"answer",
       [](Rules& r) {
         begun(r, Idempotency::idempotent), r.answered("k.0", 503, "", true),
             r.answered("k.0", 503, "", true);
       }},
      {"made",
       [](Rules& r) {
         begun(r, Idempotency::idempotent), r.answered("k.0", 200, "made up", true);
       }},
      {"made",
       [](Rules& r) {
         r.attempt_began("nobody's", "box");
       }},
      {"unsafe",
       [](Rules& r) {
         begun(r, Idempotency::non_idempotent), r.ran("k.0", "a", "east", "r", kThen),
             r.ran("k.0", "b", "east", "r", kThen);
       }},
      {"unsafe",
       [](Rules& r) {
         begun(r, Idempotency::non_idempotent), r.ran("k.0", "a", "east", "r", kThen),
             r.answered("k.0", 503, "", true);
       }},
      {"unsafe",
       [](Rules& r) {
         begun(r, Idempotency::non_idempotent), r.ran("k.0", "a", "east", "r", kThen);
         r.asked("k.1", "k", Idempotency::non_idempotent, 0s),
             r.ran("k.1", "a", "east", "r", kThen);
       }},
      {"keyed",
       [](Rules& r) {
         begun(r, Idempotency::idempotent_with_key), r.ran("k.0", "a", "east", "r", kThen),
             r.ran("k.0", "b", "west", "r", kThen + 1s);
       }},
      {"left",
       [](Rules& r) {
         r.asked("k.0", "k", Idempotency::idempotent, {}), r.client_left("k.0", TimePoint{}),
             r.attempt_began("k.0", "box", TimePoint{} + std::chrono::seconds(1));
       }},
      {"one",
       [](Rules& r) {
         begun(r, Idempotency::idempotent), r.attempt_began("k.0", "other");
       }},
      {"drain",
       [](Rules& r) {
         r.drained_box_was_sent("k.0", "box");
       }},
      {"cold", [](Rules& r) {
         r.cold_box_fell("box");
       }}};
  for (const auto& [rule, breach] : breaches) {
    Rules rules;
    breach(rules);
    EXPECT_EQ(rules.broken(), 1u) << rule;
    EXPECT_TRUE(rules.by_rule().contains(rule)) << rule;
  }
}

}  // namespace
}  // namespace keelflow::lab
