/// Lookup and removal of requests and attempts.
#include "scheduler/request_table.h"

#include "scheduler/hashing.h"

namespace keelflow::scheduler {

Request* RequestTable::find(RequestId id) {
  auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

Request& RequestTable::add(const RequestArrived& arrival) {
  Request& request = requests_[arrival.request];
  request.arrival = arrival;
  request.sequence = next_sequence_++;
  return request;
}

Attempt* RequestTable::find_in_flight(RequestId id, int attempt) {
  Request* request = find(id);
  if (!request || attempt < 0 || to_index(attempt) >= request->attempts.size())
    return nullptr;
  Attempt& found = request->attempts[to_index(attempt)];
  return found.delivery == DeliveryState::in_flight ? &found : nullptr;
}

void RequestTable::forget_if_done(RequestId id) {
  Request* request = find(id);
  if (request && request->is_finished && !request->has_attempt_in_flight())
    requests_.erase(id);
}

}  // namespace keelflow::scheduler
