/// \file
/// Decodes the lists that discovery sends, checks them against the version that this process has,
/// and passes them on.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/counters.h"
#include "discovery/endpoint_directory.h"
#include "discovery/host_list.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

/// The action to take on an object from discovery.
enum class ListVerdict : std::uint8_t {
  current,            ///< apply it
  overtaken,          ///< a change older than the present version: skip it, the call goes on
  stale,              ///< a complete list, or a call's first object, that is older: end the call
  malformed_entries,  ///< apply the entries that were decoded, and end the call
  undecodable,        ///< not a list: end the call
};

/// An object of discovery, decoded. `list` is empty for `undecodable`.
struct ReceivedList {
  ListVerdict verdict = ListVerdict::undecodable;
  HostList list;
};

/// The request of the call that received an object.
struct ListRequest {
  bool asked_for_all = false;    ///< for the complete list, not for the changes since a version
  bool is_first_object = false;  ///< the object is the first of its call
};

/// Tracks the version of this process's list, and passes each list to its consumers. Not
/// thread-safe. Reports errors as verdicts.
class ListReceiver {
 public:
  /// Receives each list that is applied.
  using Listener = std::function<void(scheduler::EndpointList)>;

  /// Keeps references to `directory` and `counters`, which must outlive it.
  ListReceiver(EndpointDirectory& directory, Names names, Listener listener, Counters& counters);

  /// Decodes an object and checks its version. Applies nothing.
  ReceivedList receive(const std::string& text, const ListRequest& request);
  /// Applies a list that was judged `current`.
  void apply(const HostList& list);
  /// Applies the entries of a list that was judged `malformed_entries`. The version stays, so that
  /// the next call receives the other entries again.
  void apply_decoded_entries(const HostList& list);
  /// Applies the list that the process had before it started.
  void apply_cached(const HostList& list);

  /// The next object is applied whatever its version: it comes from another discovery.
  void discovery_moved() { accepts_any_version_ = true; }
  /// Takes effect with the next list.
  void set_names(Names names);
  std::uint64_t version() const { return version_; }
  /// The query that asks for the changes since the present version; empty: for the complete list.
  std::string resume_query() const;

 private:
  bool is_stale(const HostList& list, const ListRequest& request) const;
  void publish(const HostList& list, scheduler::ListScope scope);

  EndpointDirectory& directory_;
  Names names_;
  Listener listener_;
  Counters& counters_;
  std::uint64_t version_ = 0;
  bool has_list_ = false;  // a list of `version_`: a call may ask for the changes since
  bool accepts_any_version_ = true;
};

}  // namespace keelflow
