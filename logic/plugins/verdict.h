// What plug-ins may say of a request and of a progress event, and what comes of it when several
// speak. Pure: spans are milliseconds. The module decides about all that is admitted; a hold or a
// refusal comes before it has seen a request, never after it has given one up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::plugins {

struct Verdict {
  bool refuse = false;
  double come_back_ms = 0;  // of a refusal; zero: no advice
  double hold_ms = 0;       // before the module sees it
  double queue_weight = 1;  // times the size by which the module queues it
  std::string label = {};   // shown with its progress events
};

enum class Fallback : std::uint8_t {
  allow,
  refuse
};  // what a plug-in counts as having said that said nothing in time

// One plug-in's word, in the order of the settings file. Those that were not asked are left out.
struct PluginAnswer {
  bool has_answered = false;  // else its fallback holds
  Fallback fallback = Fallback::allow;
  Verdict verdict;
};

struct RequestFacts {
  scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
  bool repeat = false;     // its client marks it as a further try
  double patience_ms = 0;  // that is left
  double need_ms =
      0;  // what the module is to be left with: the class's aim for a request of its size
};

struct Bounds {
  double max_hold_ms = 2000, max_come_back_ms = 60'000, min_queue_weight = 1.0 / 16,
         max_queue_weight = 16;
  double fallback_come_back_ms = 1000;  // advice of a refusal that is only a fallback
};

struct Combined {
  Verdict verdict;
  int refused_by = -1, held_by = -1, labelled_by = -1;  // places in what was handed in
  bool hold_forbidden = false, hold_shortened = false;
};

// - One refusal is enough; of several the longest time to come back counts.
// - The longest hold counts. A further try of keyed work is never held: the time in which its group
// drops the repeat
//   runs from the first try. A hold ends so early that the module has `need_ms` left.
// - Weights multiply, within bounds. The first label counts.
// What is no finite number, or below zero, counts as not said.
Combined combine(const std::vector<PluginAnswer>& said, const RequestFacts& subject,
                 const Bounds& bounds);

struct Shape {  // of one progress event
  bool drop = false, has_label = false, has_share = false;
  std::string label = {};
  double share = 0;
};
// One drop is enough; else the first label and the first share count.
Shape combine(const std::vector<Shape>& said);

}  // namespace keelflow::plugins
