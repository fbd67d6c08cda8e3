/// The requests that are open at this node, by number and by the client's own name.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/attempt.h"
#include "core/job.h"
#include "core/response_sink.h"

namespace keelflow {

/// One open request: what the client asked for, and the attempts made for it so far.
struct Request {
  Job job;
  ResponseSink* sink = nullptr;  ///< Not owned. Null once answered or once the client disconnected.
  TimePoint taken;               ///< When it was read.
  TimePoint admitted;            ///< When the request filter admitted it.
  TimePoint deadline;            ///< When its client gives up.
  int pool = 0;
  bool awaits_filter = false;     ///< No Dispatcher has seen it yet.
  std::vector<Attempt> attempts;  ///< In the order in which they were sent; never shrinks.
  double queue_weight = 1;
  bool has_timed_out = false;  ///< One of its attempts ran into its time limit.

  /// Whether its client still waits for the final answer.
  bool has_client() const { return sink != nullptr; }
  /// Whether an attempt of it has not ended yet.
  bool has_open_attempt() const;
};

/// The event by which a Dispatcher gets the request, at `now`.
scheduler::RequestArrived arrival_of(RequestId id, const Request& request, TimePoint now);

/// Owns the open requests. References to a request stay valid until it is erased.
class RequestTable {
 public:
  /// A number that no request of this process had before.
  RequestId next_id() { return next_id_++; }
  /// Adds a request under that number and under the name that the job has. The name must be free.
  Request& add(RequestId id, Job job);
  /// Null if there is none.
  Request* find(RequestId id);
  const Request* find(RequestId id) const;
  bool contains_name(const std::string& name) const { return by_name_.contains(name); }
  std::size_t size() const { return by_name_.size(); }
  bool is_class_in_use(int class_index) const;
  /// Requests of that pool that may be moved to another: no attempt was made for them yet and
  /// their client waits. In the order in which they came.
  std::vector<RequestId> unsent_in_pool(int pool) const;
  /// Erases the request if it has neither a client nor an open attempt. Not before: while an
  /// attempt is being cancelled, its endpoint and its status callbacks know the request by its
  /// name.
  void erase_if_complete(RequestId id);

 private:
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::string, RequestId> by_name_;  // of all in requests_
  RequestId next_id_ = 1;
};

}  // namespace keelflow
