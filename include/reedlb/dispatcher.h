// reedlb: the decisions of one dispatcher that pushes jobs to endpoints.
//
// A Dispatcher is told the time and one event per call and appends what it wants done to a list of
// actions. It has no clock, no threads, no I/O and no globals; the same settings, seed and events
// always give the same actions. All times are milliseconds on the caller's clock, which only moves
// forward. Classes, zones, kinds and tenants are positions in the caller's own lists: the library
// is never told a name.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace reedlb {

using Time = double;
using RequestId = std::uint32_t;
using EndpointId = std::uint32_t;

enum class Effect : std::uint8_t {
  safe,
  keyed,
  unsafe
};  // may be repeated; repeats dropped by a group; never
enum class Scope : std::uint8_t { all, zone, cell };  // who drops a keyed class's repeats

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

struct ClassSettings {
  Effect effect = Effect::safe;
  Scope scope = Scope::all;  // keyed only
  double window_ms = 0;      // keyed only: how long repeats are dropped
  double target_ms =
      0;  // an answer is in time within target + stretch x the job's own running time
  double stretch = 0;
  double value = 1;  // worth of a job, and the share of it that a late answer still earns
  double late_worth = 0;
  int kind = -1;     // the only endpoint kind that runs it, or -1
  int priority = 0;  // counts in the endpoints' queues where queue_by_priority
  bool operator==(const ClassSettings&) const = default;
};

struct Settings {
  int dispatchers = 1, rank = 0;       // how many there are, and which one this is
  int zone = 0, zones = 1, kinds = 1;  // own zone, and how many zones and endpoint kinds exist
  std::vector<ClassSettings> classes;
  std::vector<double>
      tenant_quota;  // per tenant: jobs a second within its share, over all dispatchers
  double over_share_worth = 1;
  double tick_ms = 1;     // events arrive no more often than this
  bool ask_list = false;  // the endpoint list must be asked for (Subscribe)
  double ask_within_ms = 10000;
  bool cancel = true, probes = false, peers = false, parallel_tries = false, retry_after = false;
  int try_limit = 1;
  double max_retry_after_ms = 0;
  bool tells_start = false;  // endpoints report when a job starts
  bool queue_by_priority = false;
  double probe_price = 0, cross_zone_price = 0, waste_price = 0,
         late_fail_price = 0;       // points of service each
  std::vector<ReportField> report;  // meaning of each load report value
  double drain_grace_ms = 0, grace_to_answer_ms = 0;
  double cold_from = 1, cold_ms = 0, fall_multiple = 1, fall_ms = 0;  // rule 4, see docs/design.md
  bool operator==(const Settings&) const = default;
};

// ---- events ----

enum class EndpointState : std::uint8_t { gone, ready, draining };
struct EndpointEntry {
  EndpointId endpoint = 0;
  int zone = 0, kind = 0, cell = 0;
  EndpointState state = EndpointState::ready;
  double nominal = 1;
  Time started_at = 0;  // when it last started; 0 = long ago
};
enum class ListScope : std::uint8_t { cached, failed, delta, full };
struct EndpointList {
  ListScope scope = ListScope::full;
  std::vector<EndpointEntry> entries;
};
struct Arrival {
  RequestId request = 0;
  int cls = 0, tenant = 0;
  std::uint64_t key = 0;
  double ttl_ms = 0;  // until the client gives this try up
  double hint = 0;    // expected running time on a standard core; 0 = none given
  double slots = 1, memory = 0;
  double weigh = 1;     // x hint: what it is queued by; neither its time nor B hears of it
  bool repeat = false;  // the client marks it as its own further try
};
struct StreamBegun {
  RequestId request = 0;
};
struct Started {
  RequestId request = 0;
  int attempt = 0;
};
struct ClientGone {
  RequestId request = 0;
  bool moved = false;  // unsent, it goes to another Dispatcher with the same TenantShares, which
                       // asks for its share anew
};
struct Timer {
  std::uint64_t name = 0;
};
struct PeerMessage {
  int peer = 0;
  std::string bytes;
};
struct LoadReport {
  int count = 0;
  float values[4] = {};
};
struct ProbeResult {
  EndpointId endpoint = 0;
  bool ok = false;
  double elapsed_ms = 0;
  LoadReport report;
};
enum class Result : std::uint8_t {
  ok,
  error,
  full,
  timeout,
  connect_failed,
  reset,
  cancelled,
  moot
};
struct Outcome {
  RequestId request = 0;
  int attempt = 0;
  Result result = Result::ok;
  double elapsed_ms = 0;
  bool final = false;  // the request has ended, with this outcome or before
  LoadReport report;
};
// New settings, which `validate` must have passed. Jobs under way keep their class: a number that
// some of them have must stand for the same class as before, and no list may be shorter. What was
// learned stays.
struct Retune {
  Settings settings;
  std::vector<int> from;  // by class: the number it learned under until now (its own: the same
                          // class), or -1: it is new
};
// What a Dispatcher has learned, for one that takes over from it in the same place: told to the
// fresh one after its list.
struct Knowledge {
  struct OfWorker {
    double slow = 1;  // run times here over corrected hints, as if it were warm
    double cap =
        2;  // own slots it may hold; the first one is what is believed before anything is known
    int strikes = 0;      // signs of illness since the last good one
    int faults = 0;       // attempts that failed there since the last that was served
    Time shut_until = 0;  // left alone before this
  };
  struct OfClass {
    double factor = 1;  // B
    double hint_sum = 0, hint_count = 0;
    void add(double hint) { hint_sum += hint, ++hint_count; }
  };
  struct OfKind {
    double cores = 1;  // most own jobs in work at once on a warm endpoint
    double slow = 1;   // run times on warm endpoints over corrected hints
  };
  struct Seen {
    EndpointId endpoint = 0;
    Time started_at = 0;  // of another life nothing is believed
    OfWorker of;
    double load = 0,
           cold_work = 0;  // own slots in flight; work sent within the last window while cold
  };
  struct OfFleet {
    std::vector<double> start_delay;  // usual time from send to start note, by zone
    double mean_run = 0;              // EMA of own run times
    double crowding = 0;              // share of late starts and refusals among the latest signs
  };
  std::vector<Seen> endpoints;
  std::vector<OfClass> classes;  // by number, as many as the settings have, as kinds and zones
  std::vector<OfKind> kinds;
  OfFleet fleet;
};
// Whether anything may be sent at present; until the first one comes it may. While not, jobs are
// held.
struct SendPermission {
  bool allowed = true;
};
// Another process of this same node decides beside this one: each is told (Tell, to the own rank)
// of what the other sends, and counts it as its own where the rules do.
struct Twin {
  bool here = false;
};
// Which of all dispatchers live, by rank; until the first one comes all do. The living split
// tenants' shares.
struct Members {
  std::vector<bool> lives;
};
// Who is at home at the endpoints that the Dispatcher knows: it prefers those that are home to it,
// and tells the others there of them where `talk`. While a endpoint is cold its Turns say so
// instead. Until the first one comes all are at home.
struct Homes {
  struct At {
    EndpointId endpoint = 0;
    bool own = false;
    std::vector<int> others;  // ranks
  };
  std::vector<At> endpoints;
  bool talk = false;
};
// Rule 4 holds of what all dispatchers send to a cold endpoint. Each has a part; until it is told
// of it, an even one.
struct Turns {
  struct At {
    Homes::At home;       // while it is cold
    Time started_at = 0;  // of another life it says nothing
    double share = 0;     // of the budget
  };
  std::vector<At> endpoints;
};
// Work that may be sent to a cold endpoint until that time, of another dispatcher's part (ours: in
// place of what such a grant had left); or that another one was granted of the own part, which
// counts as sent then (less than 0: it gave that back).
struct Grant {
  EndpointId endpoint = 0;
  Time started_at = 0;
  double work = 0;  // ms
  Time until = 0;
  bool ours = false;
};
using Event = std::variant<EndpointList, Arrival, StreamBegun, Started, ClientGone, Timer,
                           PeerMessage, ProbeResult, Outcome, Retune, Knowledge, Twin, Members,
                           Homes, Turns, Grant, SendPermission>;

// ---- actions ----

struct Send {  // attempts of a request are numbered 0, 1, 2 ... in the order of their Sends
  RequestId request = 0;
  EndpointId endpoint = 0;
  double timeout_ms = 0;  // 0: until the client gives up
};
struct Refuse {  // final: the client may safely try again
  RequestId request = 0;
  double retry_after_ms = 0;
};
struct Fail {  // final: no assurance
  RequestId request = 0;
};
struct Recall {
  RequestId request = 0;
  int attempt = 0;
};
struct SetTimer {
  std::uint64_t name = 0;
  Time when = 0;
};
struct Probe {
  EndpointId endpoint = 0;
};
struct Subscribe {};  // ask for the endpoint list and its changes
struct Tell {  // a message to the dispatcher of that rank (the own one: the twin); it may come late
               // or never
  int peer = 0;
  std::string bytes;
};
using Action = std::variant<Send, Refuse, Fail, Recall, SetTimer, Probe, Subscribe, Tell>;
using Actions = std::vector<Action>;

// What of their shares tenants have left: a bucket for each. Dispatchers that split one node's
// traffic between them are given the same one, so that a tenant's share is the same however its
// requests are split.
struct TenantShares {
  struct Bucket {
    double left = 0;
    Time filled = 0;
  };
  std::vector<Bucket> buckets;
};

void validate(const Settings& settings);  // throws std::invalid_argument on impossible settings

// What a Dispatcher may send to a cold endpoint now, in ms of work.
struct ColdRoom {
  double own = 0;      // of its own part; below 0: more was sent than is thought right by now
  double granted = 0;  // of others' parts
  double usual = 0;    // a usual job's
  double all() const { return own + granted; }
};

class Dispatcher {
 public:
  // Throws std::invalid_argument on impossible settings. Without `shares` it keeps tenants' shares
  // by itself.
  Dispatcher(const Settings& settings, std::uint64_t seed,
             std::shared_ptr<TenantShares> shares = nullptr);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  void handle(Time now, const Event& event, Actions& out);

  double calibration(int cls) const;  // the factor B of a class, for monitoring
  std::size_t held() const;           // jobs waiting here, for monitoring
  Knowledge knowledge(Time now) const;
  ColdRoom cold_room(EndpointId endpoint, Time now) const;
  bool avoids(EndpointId endpoint,
              Time now) const;  // it is ready and yet left alone, as it looks ill; for monitoring

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace reedlb
