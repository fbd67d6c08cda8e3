/// The table of requests that are unanswered or have an attempt in flight.
#pragma once

#include <unordered_map>

#include "scheduler/request.h"

namespace keelflow::scheduler {

/// Owns all requests. References stay valid until the request is forgotten.
class RequestTable {
 public:
  /// Returns null if there is no request with this id.
  Request* find(RequestId id);
  Request& at(RequestId id) { return requests_.at(id); }
  Request& add(const RequestArrived& arrival);

  /// Returns null if there is no attempt with the number `attempt` or it is not in flight.
  Attempt* find_in_flight(RequestId id, int attempt);

  /// Forgets the request if it is finished and none of its attempts is in flight.
  void forget_if_done(RequestId id);

 private:
  std::unordered_map<RequestId, Request> requests_;  // never iterated: unordered
  std::uint64_t next_sequence_ = 0;
};

}  // namespace keelflow::scheduler
