/// The open requests of this node, indexed by number and by the id that the client assigned.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/attempt.h"
#include "core/job.h"
#include "core/response_sink.h"

namespace keelflow {

/// One open request: the client's job and the attempts made for it so far.
struct Request {
  Job job;
  ResponseSink* sink = nullptr;  ///< Not owned. Null once answered or the client disconnected.
  TimePoint read_time;           ///< When the request was read.
  TimePoint admitted;            ///< Time when it was admitted to its pool.
  TimePoint deadline;            ///< Time when its client gives up.
  int pool = 0;
  bool awaits_filter = false;     ///< No Dispatcher has received it yet.
  std::vector<Attempt> attempts;  ///< In the order in which they were sent; never shrinks.
  double queue_weight = 1;
  bool has_timed_out = false;  ///< One of its attempts exceeded its time limit.

  /// Whether the client still waits for the final answer.
  bool has_client() const { return sink != nullptr; }
  /// Whether any attempt of the request has not ended.
  bool has_open_attempt() const;
  /// Whether the request waits in `pool` and may move to another one: it has a client and no
  /// attempt.
  bool is_reroutable_from(int pool) const;
};

/// Returns the event that passes the request to a Dispatcher at `now`.
scheduler::RequestArrived arrival_of(RequestId id, const Request& request, TimePoint now);

/// Owns the open requests. References to a request stay valid until it is erased.
///
/// Every call out of the core may end and erase any request: an event passed to a Dispatcher, an
/// answer or progress passed to a sink, a call of the filter or of the endpoint port. Across such a
/// call the caller keeps RequestIds, looks the request up again afterwards and checks its state. A
/// loop over requests does so for each of them.
class RequestTable {
 public:
  /// Returns a number that no request of this process has had before.
  RequestId next_id() { return next_id_++; }
  /// Adds a request under the number `id` and under the job's id, which must not be in use.
  Request& add(RequestId id, Job job);
  /// Returns null if there is no such request.
  Request* find(RequestId id);
  const Request* find(RequestId id) const;
  bool contains_name(const std::string& name) const { return by_name_.contains(name); }
  std::size_t size() const { return by_name_.size(); }
  bool is_class_in_use(int class_index) const;
  /// Returns the requests that may be moved from `pool` to another one, in order of arrival.
  std::vector<RequestId> reroutable_requests(int pool) const;
  /// Erases the request if it has neither a client nor an open attempt. It is kept until then
  /// because the endpoint and the status callbacks of an attempt that is being cancelled still
  /// refer to the request by its id.
  void erase_if_complete(RequestId id);

 private:
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::string, RequestId> by_name_;  // by Job::id; same entries as requests_
  RequestId next_id_ = 1;
};

}  // namespace keelflow
