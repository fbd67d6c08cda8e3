#include "core/request_table.h"

#include <algorithm>
#include <utility>

namespace keelflow {

bool Request::has_open_attempt() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.is_open(); });
}

scheduler::RequestArrived arrival_of(RequestId id, const Request& request, TimePoint now) {
  const Job& job = request.job;
  scheduler::RequestArrived arrival;
  arrival.request = id;
  arrival.class_index = job.class_index;
  arrival.tenant = job.tenant;
  arrival.key = job.key;
  arrival.client_timeout_ms = to_ms(std::max(Duration::zero(), request.deadline - now));
  arrival.queue_weight = request.queue_weight;
  arrival.hint = Milliseconds(job.hint).count();
  arrival.slots = job.slots;
  arrival.memory = job.memory;
  arrival.is_client_retry = job.repeat;
  return arrival;
}

bool Request::is_reroutable_from(int from) const {
  return pool == from && attempts.empty() && has_client() && !awaits_filter;
}

Request& RequestTable::add(RequestId id, Job job) {
  by_name_.emplace(job.id, id);
  Request& request = requests_[id];
  request.job = std::move(job);
  return request;
}

Request* RequestTable::find(RequestId id) {
  auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

const Request* RequestTable::find(RequestId id) const {
  auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

bool RequestTable::is_class_in_use(int class_index) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const auto& r) { return r.second.job.class_index == class_index; });
}

std::vector<RequestId> RequestTable::reroutable_requests(int pool) const {
  std::vector<RequestId> unsent;
  for (const auto& [id, request] : requests_) {
    if (request.is_reroutable_from(pool))
      unsent.push_back(id);
  }
  std::sort(unsent.begin(), unsent.end());
  return unsent;
}

void RequestTable::erase_if_complete(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.has_client() || it->second.has_open_attempt())
    return;
  by_name_.erase(it->second.job.id);
  requests_.erase(it);
}

}  // namespace keelflow
