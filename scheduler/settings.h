/// Settings of one Dispatcher. Classes, zones, kinds and tenants are identified by their positions
/// in the caller's lists; the scheduler does not use names.
#pragma once

#include <cstdint>
#include <vector>

namespace keelflow::scheduler {

/// Milliseconds on the caller's monotonic clock.
using Time = double;

/// Whether a request may be sent again after an attempt that may have run.
enum class Idempotency : std::uint8_t {
  idempotent,           ///< may run any number of times
  idempotent_with_key,  ///< a group of endpoints drops repeats within the deduplication window
  non_idempotent,       ///< must not run twice
};

/// Which endpoints drop the repeats of a request that is idempotent with a key: all of them, or
/// those in the same zone or in the same cell as the earlier attempt.
enum class DeduplicationScope : std::uint8_t { all, zone, cell };

/// The meaning of a value in an endpoint's load report.
enum class ReportField : std::uint8_t {
  other,
  active,
  waiting,
  busy,
  latency_ms,
  served_rate,
  error_rate,
  free_slots
};

/// Settings of one class of requests.
struct ClassSettings {
  Idempotency idempotency = Idempotency::idempotent;
  /// Only for classes that are idempotent with a key: which endpoints drop repeats, and for how
  /// long.
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  double deduplication_window_ms = 0;
  /// A response is in time if it arrives within `latency_objective_ms` plus
  /// `objective_runtime_factor` times the request's own running time, for which the scheduler takes
  /// the request's hint.
  double latency_objective_ms = 0;
  double objective_runtime_factor = 0;
  double priority_weight = 1;
  /// The fraction of the priority weight that a late response earns.
  double late_weight_fraction = 0;
  int kind = -1;           ///< the only kind of endpoint that runs the class, or -1 for any kind
  int queue_priority = 0;  ///< priority in the endpoints' queues if `queue_by_priority` is set
  bool operator==(const ClassSettings&) const = default;
};

/// Settings of one Dispatcher.
struct Settings {
  int dispatchers = 1;  ///< number of dispatchers in the fleet
  int rank = 0;         ///< index of this dispatcher in the fleet
  int zone = 0;         ///< zone of this dispatcher
  int zones = 1;
  int kinds = 1;  ///< number of endpoint kinds
  std::vector<ClassSettings> classes;
  std::vector<double> tenant_quota;  ///< requests per second by tenant, over all dispatchers
  double over_quota_weight = 1;      ///< weight of a request beyond its tenant's quota
  double tick_ms = 1;                ///< smallest interval between events
  bool polls_list = false;           ///< the endpoint list must be polled (PollEndpointList)
  double poll_within_ms = 10000;
  bool cancel = true;  ///< attempts may be cancelled
  bool probes = false;
  bool peers = false;  ///< dispatchers may send messages to each other
  bool concurrent_attempts = false;
  bool retry_after = false;  ///< a rejection may say when to retry
  int max_attempts = 1;
  double max_retry_after_ms = 0;
  bool reports_start = false;  ///< endpoints report when an attempt starts to run
  bool queue_by_priority = false;
  /// Prices, in points of service. No scheduling decision uses them.
  double health_check_price = 0;
  double cross_zone_price = 0;
  double waste_price = 0;
  double late_fail_price = 0;
  std::vector<ReportField> report;  ///< the meaning of each value of a load report
  double drain_grace_ms = 0;
  double grace_to_answer_ms = 0;
  /// Slow start: the fraction of its capacity that an endpoint has when it starts, and the time
  /// until it has full capacity. An endpoint is overloaded by more than `overload_multiple` times
  /// its capacity within `overload_window_ms`.
  double slow_start_initial_fraction = 1;
  double slow_start_ms = 0;
  double overload_multiple = 1;
  double overload_window_ms = 0;
  bool operator==(const Settings&) const = default;
};

/// Throws std::invalid_argument on invalid settings.
void validate(const Settings& settings);

}  // namespace keelflow::scheduler
