/// The requests that have not been forgotten: those under way, and those with an attempt in flight.
#pragma once

#include <unordered_map>

#include "scheduler/request.h"

namespace keelflow::scheduler {

/// Owns all requests. References stay valid until the request is forgotten.
class RequestTable {
 public:
  /// Null: there is none of that id.
  Request* find(RequestId id);
  Request& at(RequestId id) { return requests_.at(id); }
  Request& add(const RequestArrived& arrival);

  /// Null: it is not in flight.
  Attempt* find_in_flight(RequestId id, int attempt);

  /// Forgets the request if it is finished and none of its attempts is in flight.
  void forget_if_done(RequestId id);

 private:
  std::unordered_map<RequestId, Request> requests_;  // never iterated
  std::uint64_t next_sequence_ = 0;
};

}  // namespace keelflow::scheduler
