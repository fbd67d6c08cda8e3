// What the Engine needs from the outside, and the values that cross that border. Nothing here names
// a wire.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

using scheduler::EndpointId;
using scheduler::RequestId;

struct Payload;  // what the outbound side sends on unchanged; opaque to the core

// One request as the core sees it.
struct Job {
  std::string id;  // the client's own name for it
  int class_index = 0, tenant = 0;
  std::uint64_t key = 0;
  Duration patience{};               // until the client gives up
  std::chrono::microseconds hint{};  // expected running time; zero: none given
  double slots = 1, memory = 0;
  bool repeat = false;
  bool wants_progress = false;
  bool limits_retries = false;  // its class limits what may be repeated once it may have run
  std::string_view path, idempotency_key;  // these stand in the payload
  std::size_t bytes = 0;                   // of the payload, about
  std::shared_ptr<const Payload> payload;
};

struct AttemptRef {
  RequestId request = 0;
  int attempt = 0;
  bool operator==(const AttemptRef&) const = default;
};

// How far an attempt had come when it ended. Up to `partly_written` the endpoint cannot have run
// it.
enum class DeliveryState : std::uint8_t { never_written, partly_written, fully_written, accepted };

enum class AttemptOutcome : std::uint8_t {
  served,
  error,               // the endpoint says that it failed
  rejected,            // the endpoint says that it never ran
  broken,              // the connection or the process went; `reach` tells whether it may have run
  cancelled,           // given up on the Engine's word
  cancel_undelivered,  // so too, but the endpoint has taken it and could not be told: it may run
                       // yet
};

struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::broken;
  DeliveryState delivery = DeliveryState::never_written;
  bool withheld = false;  // it waited for a list to be sent by, and nothing of it was written
  bool may_send_callbacks =
      false;  // the endpoint may have taken it, so that call-backs of it may still come
  std::string result = {};  // of `served`
  scheduler::LoadReport report = {};
};

struct Progress {
  enum class Kind : std::uint8_t { started, running } kind = Kind::started;
  double share = 0;
  int attempt = 0;
};

struct FinalAnswer {
  enum class Kind : std::uint8_t { served, refused, failed } kind = Kind::failed;
  std::string result = {};    // of `served`
  Duration retry_after = {};  // of `refused`; zero: no guidance
  bool timed_out = false;     // of `failed`
};

// The client's side of one request. `on_final` comes exactly once, unless the client has gone
// before.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void on_progress(const Progress&) {}
  virtual void on_label(const std::string&) {}  // given by a plug-in, before anything else is told
  virtual void on_final(FinalAnswer answer) = 0;
};

// Splits requests over pools, each of which has a Dispatcher of its own. Where there is none, all
// is one pool.
class PoolSelector {
 public:
  enum class End : std::uint8_t { served, refused, failed, gone };
  virtual ~PoolSelector() = default;
  virtual int choose(const Job& job) = 0;  // the number of a pool that the Engine has a lane for
  // How a request ended that had been given to that pool.
  virtual void ended(const Job& job, int pool, TimePoint taken, End how) = 0;
};

// Looks at requests before the module sees them. It may refuse one, hold it back for a while, or
// queue_weight it; all that it lets pass is the module's to decide.
class RequestFilter {
 public:
  struct Decision {
    bool refuse = false;
    Duration come_back{};
    double queue_weight = 1;
    std::string label;
  };
  virtual ~RequestFilter() = default;
  // Empty: Engine::screened follows, in any case before the deadline.
  virtual std::optional<Decision> screen(RequestId id, const Job& job, TimePoint deadline) = 0;
  virtual void forget(RequestId id) = 0;  // its client has gone
  virtual void ended(const Job& job, Duration elapsed, PoolSelector::End how) = 0;
};

// The endpoints' side. Every attempt started ends with one Engine::attempt_ended.
class EndpointPort {
 public:
  virtual ~EndpointPort() = default;
  struct Terms {
    TimePoint until;     // it is given up then
    TimePoint write_by;  // after that its last byte must not go out any more
    scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
    bool again =
        false;  // call-backs of an earlier attempt of this request at that endpoint may still come
  };
  virtual void start(AttemptRef ref, EndpointId endpoint, const Job& job, const Terms& terms) = 0;
  virtual void give_up(AttemptRef ref) = 0;
  // Only if its last byte has not been written: then nothing has been asked of the endpoint yet.
  virtual void give_up_unsent(AttemptRef ref) = 0;
  virtual void probe(EndpointId endpoint) = 0;
};

// The other nodes of the tier, by rank. Messages may come late or never.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  virtual void tell(int peer, std::string_view bytes) = 0;
};

using TimerId = std::uint64_t;
class TimerPort {
 public:
  virtual ~TimerPort() = default;
  virtual TimePoint now() const = 0;
  virtual TimerId at(TimePoint when, std::function<void()> task) = 0;
  virtual void cancel(TimerId id) = 0;
};

}  // namespace keelflow
