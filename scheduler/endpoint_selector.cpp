/// Random sampling, consistent hashing, and comparison of candidates.
#include "scheduler/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace keelflow::scheduler {
namespace {

constexpr int kMaxCandidates = 4;  // sampled usable endpoints that are compared
constexpr int kMaxDraws = 16;      // random draws to find the candidates

// How long a request waits for an endpoint of the subset, in mean running times.
constexpr double kSubsetWaitMeanRuns = 0.1;
constexpr double kCongestionWaitFactor = 4;  // full congestion adds up to this multiple of the wait

constexpr int kRingProbes = 16;  // ring lookups that order the endpoints for a key
// A key may use this multiple of its proportional share of the endpoints: its fraction of the
// requests times the number of endpoints.
constexpr double kKeySpreadFactor = 2.5;
// A queued request with a key may use one more endpoint each time it has waited about as long as an
// endpoint takes to fetch the key's data from the shared store: this multiple of the mean running
// time, plus one tick.
constexpr double kKeyDataFetchMeanRuns = 1.5;

}  // namespace

void EndpointSelector::on_settings() {
  reserved_kinds_.assign(to_index(environment_.settings.kinds), false);
  for (const ClassSettings& of_class : environment_.settings.classes)
    if (of_class.kind >= 0)
      reserved_kinds_[to_index(of_class.kind)] = true;
}

std::optional<EndpointSlot> EndpointSelector::select(const Request& request) {
  for (const Attempt& attempt : request.attempts)
    tried_.insert(attempt.endpoint);
  Selected selected = tried_.empty() ? std::nullopt : select_any(request);
  tried_.clear();
  return selected ? selected : select_any(request);
}

std::optional<EndpointSlot> EndpointSelector::select_any(const Request& request) {
  const ClassSettings& settings = environment_.class_settings(request.arrival.class_index);
  if (settings.idempotency == Idempotency::idempotent_with_key &&
      settings.deduplication_scope == DeduplicationScope::cell) {
    for (const Attempt& attempt : request.attempts)
      if (attempt.delivery != DeliveryState::not_delivered)
        return select_in_cell(request, attempt.cell);
  }
  for (bool avoids_reserved_kinds : {true, false}) {
    Selected selected = request.arrival.key != 0
                            ? select_by_key(request, avoids_reserved_kinds)
                            : select_near_subset(request, avoids_reserved_kinds);
    if (selected)
      return selected;
  }
  return std::nullopt;
}

// A kind that some class requires is reserved for that class while other kinds have capacity.
bool EndpointSelector::may_use_kind(const Request& request, int kind,
                                    bool avoids_reserved_kinds) const {
  int needed = environment_.class_settings(request.arrival.class_index).kind;
  if (needed >= 0)
    return needed == kind;
  return !avoids_reserved_kinds || !reserved_kinds_[to_index(kind)];
}

// On an endpoint that is warming up, a request may run too long to meet its latency objective.
bool EndpointSelector::is_in_time_while_warming_up(const Request& request,
                                                   EndpointSlot slot) const {
  const ClassSettings& settings = environment_.class_settings(request.arrival.class_index);
  double run = calibration_.calibrated_cost(request) * relative_slowness(slot);
  return run <=
         settings.latency_objective_ms + settings.objective_runtime_factor * request.arrival.hint;
}

bool EndpointSelector::is_usable(const Request& request, EndpointSlot slot) const {
  const ClassSettings& settings = environment_.class_settings(request.arrival.class_index);
  // A request that cannot be retried must not be used to test an endpoint that fails repeatedly.
  if (settings.idempotency == Idempotency::non_idempotent && health_.fails_repeatedly(slot))
    return false;
  bool is_warming_up = slow_start_.is_warming_up(slot);
  if (is_warming_up && !is_in_time_while_warming_up(request, slot))
    return false;
  if (tried_.contains(endpoints_.at(slot).entry.endpoint))
    return false;
  if (!availability_.has_capacity_for(request, slot))
    return false;
  if (!retry_policy_.may_send(request, slot))
    return false;
  if (is_warming_up) {
    double work =
        slow_start_.work_of(slot, request.arrival.hint, calibration_.calibrated_cost(request));
    if (!slow_start_.has_budget_for(slot, work))
      return false;
  }
  return endpoints_.is_available(slot);
}

// The cost of an endpoint that is slower than calibrated is its capacity slots in use, including
// one for this request, times its relative slowness. The slowness is ignored for requests with
// keys, whose running times include fetches, and for the first request to an endpoint that is
// warming up, so that the endpoint is tried at all.
double EndpointSelector::cost_of(const Request& request, EndpointSlot slot) const {
  double occupied = availability_.occupied(slot);
  if (request.arrival.key != 0)
    return occupied;
  if (!endpoints_.at(slot).was_used && slow_start_.is_warming_up(slot))
    return occupied;
  return (occupied + 1) * std::max(1.0, relative_slowness(slot));
}

void EndpointSelector::keep_cheaper(const Request& request, Selected& best,
                                    EndpointSlot candidate) const {
  if (!best || cost_of(request, candidate) < cost_of(request, *best))
    best = candidate;
}

std::optional<EndpointSlot> EndpointSelector::select_in_cell(const Request& request,
                                                             int cell) const {
  Selected best;
  for (EndpointId id : endpoints_.in_cell(cell)) {
    auto slot = endpoints_.find(id);
    if (slot && is_usable(request, *slot))
      keep_cheaper(request, best, *slot);
  }
  return best;
}

// Samples this dispatcher's subset first. A request that has waited long enough for the subset may
// go to any endpoint.
std::optional<EndpointSlot> EndpointSelector::select_near_subset(const Request& request,
                                                                 bool avoids_reserved_kinds) {
  if (auto selected = sample(&EndpointTable::available_in_subset, request, avoids_reserved_kinds))
    return selected;
  double wait = kSubsetWaitMeanRuns * statistics_.mean_running_time_ms() *
                (1 + kCongestionWaitFactor * congestion_.level() * (1 - subset_.fraction()));
  if (request.is_queued && environment_.now - request.queued_since < wait)
    return std::nullopt;
  return sample(&EndpointTable::available, request, avoids_reserved_kinds);
}

std::optional<EndpointSlot> EndpointSelector::sample(Available available, const Request& request,
                                                     bool avoids_reserved_kinds) {
  auto size_of = [&](int kind) {
    return may_use_kind(request, kind, avoids_reserved_kinds) ? (endpoints_.*available)(kind).size()
                                                              : 0;
  };
  std::size_t total = 0;
  for (int kind = 0; kind < environment_.settings.kinds; ++kind)
    total += size_of(kind);
  if (total == 0)
    return std::nullopt;
  Selected best;
  int candidates = 0;
  for (int draws = 0; candidates < kMaxCandidates && draws < kMaxDraws; ++draws) {
    auto place = static_cast<std::size_t>(environment_.random() * static_cast<double>(total));
    int kind = 0;
    for (; place >= size_of(kind); ++kind)
      place -= size_of(kind);
    EndpointSlot slot = (endpoints_.*available)(kind)[place];
    if (!is_usable(request, slot))
      continue;
    ++candidates;
    keep_cheaper(request, best, slot);
  }
  return best;
}

std::vector<EndpointSelector::RingPoint> EndpointSelector::nearest_ring_points(
    const Request& request, bool avoids_reserved_kinds) const {
  std::vector<RingPoint> points;
  for (int kind = 0; kind < environment_.settings.kinds; ++kind) {
    const EndpointTable::Ring& ring = endpoints_.ring(kind);
    if (!may_use_kind(request, kind, avoids_reserved_kinds) || ring.empty())
      continue;
    std::uint64_t probe = request.arrival.key;
    for (int i = 0; i < kRingProbes; ++i) {
      probe = mix(probe);
      auto it = ring.lower_bound(probe);
      if (it == ring.end())
        it = ring.begin();
      EndpointId endpoint = endpoints_.at(it->second).entry.endpoint;
      points.push_back({it->first - probe, endpoint, it->second});
    }
  }
  std::sort(points.begin(), points.end(), [](const RingPoint& a, const RingPoint& b) {
    return std::tie(a.distance, a.endpoint) < std::tie(b.distance, b.endpoint);
  });
  return points;
}

double EndpointSelector::ready_endpoints(const Request& request, bool avoids_reserved_kinds) const {
  double ready = 0;
  for (int kind = 0; kind < environment_.settings.kinds; ++kind)
    if (may_use_kind(request, kind, avoids_reserved_kinds))
      ready += static_cast<double>(endpoints_.ring(kind).size());
  return ready;
}

// As many endpoints as the key's fraction of the traffic needs, plus one each time the request has
// waited in the queue for about as long as an endpoint takes to fetch the key's data.
double EndpointSelector::key_spread(const Request& request, double endpoints) const {
  double wait = environment_.now - request.queued_since;
  double fetch =
      kKeyDataFetchMeanRuns * statistics_.mean_running_time_ms() + environment_.settings.tick_ms;
  double waited = request.is_queued ? wait / fetch : 0;
  double needed = key_frequency_.fraction(request.arrival.key) * endpoints * kKeySpreadFactor;
  return std::ceil(needed) + waited;
}

// A request with a key goes to the endpoints closest to the key's hash on the ring, which are the
// same at every dispatcher. Any other endpoint would have to fetch the key's data from a shared
// store while slots are idle.
std::optional<EndpointSlot> EndpointSelector::select_by_key(const Request& request,
                                                            bool avoids_reserved_kinds) const {
  double spread = key_spread(request, ready_endpoints(request, avoids_reserved_kinds));
  EndpointId last = 0;
  Selected best;
  for (const RingPoint& point : nearest_ring_points(request, avoids_reserved_kinds)) {
    bool is_next = point.endpoint != last;
    if (is_next)
      spread -= 1;
    if (is_next && spread < 0)
      break;
    last = point.endpoint;
    if (is_usable(request, point.slot))
      keep_cheaper(request, best, point.slot);
  }
  return best;
}

}  // namespace keelflow::scheduler
