#include "plugins/verdict.h"

#include <algorithm>
#include <cmath>

namespace keelflow::plugins {
namespace {

// Returns the value, or the alternative if the value is not finite or is negative.
double finite_or(double value, double otherwise) {
  return std::isfinite(value) && value >= 0 ? value : otherwise;
}

}  // namespace

Combined combine(const std::vector<PluginAnswer>& answers, const RequestFacts& request,
                 const Bounds& bounds) {
  Combined out;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    int index = static_cast<int>(i);
    Verdict v = answers[i].verdict;
    if (!answers[i].has_answered) {
      v = {};
      v.refuse = answers[i].fallback == Fallback::refuse;
      v.come_back_ms = bounds.fallback_come_back_ms;
    }
    if (v.refuse && out.refused_by < 0)
      out.refused_by = index;
    if (v.refuse)
      out.verdict.come_back_ms =
          std::max(out.verdict.come_back_ms,
                   std::min(finite_or(v.come_back_ms, 0), bounds.max_come_back_ms));
    if (double hold = finite_or(v.hold_ms, 0); hold > out.verdict.hold_ms) {
      out.verdict.hold_ms = hold;
      out.held_by = index;
    }
    if (double queue_weight = finite_or(v.queue_weight, 1); queue_weight > 0)
      out.verdict.queue_weight *= queue_weight;
    if (!v.label.empty() && out.labelled_by < 0) {
      out.verdict.label = v.label;
      out.labelled_by = index;
    }
  }
  out.verdict.refuse = out.refused_by >= 0;
  out.verdict.queue_weight =
      std::clamp(out.verdict.queue_weight, bounds.min_queue_weight, bounds.max_queue_weight);
  if (out.verdict.hold_ms <= 0)
    return out;
  if (request.idempotency == scheduler::Idempotency::idempotent_with_key && request.repeat) {
    out.hold_forbidden = true;
    out.verdict.hold_ms = 0;
    return out;
  }
  double max_hold_ms =
      std::max(0.0, std::min(bounds.max_hold_ms, request.remaining_timeout_ms - request.need_ms));
  out.hold_shortened = out.verdict.hold_ms > max_hold_ms;
  out.verdict.hold_ms = std::min(out.verdict.hold_ms, max_hold_ms);
  return out;
}

Shape combine(const std::vector<Shape>& shapes) {
  Shape out;
  for (const Shape& s : shapes) {
    out.drop = out.drop || s.drop;
    if (s.has_label && !out.has_label) {
      out.has_label = true;
      out.label = s.label;
    }
    if (s.has_share && !out.has_share && std::isfinite(s.share)) {
      out.has_share = true;
      out.share = std::clamp(s.share, 0.0, 1.0);
    }
  }
  return out;
}

}  // namespace keelflow::plugins
