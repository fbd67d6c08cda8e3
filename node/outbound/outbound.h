// The endpoints' side: attempts, their call-backs, cancelling, probes.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/engine.h"
#include "discovery/destination_set.h"
#include "outbound/pool.h"

namespace keelflow {

// What is sent on unchanged.
struct Payload {
  std::string method, target, id, idempotency_key, body;
};

// A call-back, as it came.
struct StatusCallback {
  std::string id, from, state;
  double share = 0;
  std::string result;
  scheduler::LoadReport report = {};
};

class OutboundCall;
class ProbeCall;

class Outbound final : public EndpointPort {
 public:
  struct Settings {
    Duration connect_timeout;
    std::vector<std::string> report_names;
  };
  Outbound(net::EventLoop& loop, Engine& engine, DestinationSet& destinations, Pool& pool,
           Settings settings, Counters& counters);
  ~Outbound() override;

  void start(AttemptRef ref, EndpointId endpoint, const Job& job, const Terms& terms) override;
  void cancel(AttemptRef ref) override;
  void cancel_unsent(AttemptRef ref) override;
  void send_health_check(EndpointId endpoint) override;

  void observe(invariants::Monitor* monitor) { monitor_ = monitor; }
  void retune(Settings settings) { settings_ = std::move(settings); }

  void resume_withheld();  // attempts that waited for a list to be sent by go on

  // A call-back is believed only if its id, its sender and a running attempt fit; others change
  // nothing. False: of no attempt that this process has.
  bool news(const StatusCallback& news);

  std::size_t calls() const { return calls_.size(); }

 private:
  friend class OutboundCall;
  friend class ProbeCall;
  void ended(OutboundCall& call, AttemptEnd end);

  net::EventLoop& loop_;
  Engine& engine_;
  DestinationSet& destinations_;
  Pool& pool_;
  Settings settings_;
  Counters& counters_;
  invariants::Monitor* monitor_ = nullptr;
  std::map<std::pair<RequestId, int>, std::unique_ptr<OutboundCall>> calls_;
  std::unordered_map<std::string, RequestId> by_name_;  // of the requests in calls_
  std::unordered_map<ProbeCall*, std::unique_ptr<ProbeCall>> probes_;
};

}  // namespace keelflow
