/// \file
/// One call to discovery for the list and its changes. It becomes the watch once it has received
/// an object.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

#include "discovery/call_end.h"
#include "discovery/object_framer.h"
#include "outbound/client_connection.h"

namespace keelflow {

/// An HTTP exchange with discovery whose response does not end. Reports its events to its owner,
/// which must outlive it. Not thread-safe.
class DiscoveryCall final : ClientConnection::User {
 public:
  /// Receives the events of a call, each from within the event loop.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Discovery has answered with 200; objects follow.
    virtual void on_accepted(DiscoveryCall& call) = 0;
    /// A complete JSON object. False: it cannot be applied, and the call has to end.
    virtual bool on_object(DiscoveryCall& call, const std::string& text) = 0;
    /// White space between objects.
    virtual void on_heartbeat(DiscoveryCall& call) = 0;
    /// The connection was not established within a second. The call goes on.
    virtual void on_not_acknowledged(DiscoveryCall& call) = 0;
    /// The last event: the owner has to close the call.
    virtual void on_failed(DiscoveryCall& call, discovery::CallEnd how) = 0;
  };

  /// `number`: the call's identifier in the log, counted from 1 in each process. `since`: the query
  /// for the changes since a version; empty: for the complete list.
  DiscoveryCall(net::EventLoop& loop, Owner& owner, std::uint64_t number, std::string since);
  ~DiscoveryCall() override;
  DiscoveryCall(const DiscoveryCall&) = delete;
  DiscoveryCall& operator=(const DiscoveryCall&) = delete;

  /// Starts to connect. A non-zero error code means that no connection could be started; `begin`
  /// may then be called again.
  std::error_code begin(const net::Address& discovery);
  /// Closes the call; no event follows. Idempotent.
  void close();
  /// The call is the watch: from now on it fails if no heartbeat arrives in time.
  void established();

  std::uint64_t number() const { return number_; }
  TimePoint began() const { return began_; }
  bool connected() const { return connection_.connected(); }
  /// The HTTP status of the answer; 0: there is none yet.
  int status() const { return status_; }
  bool has_brought_object() const { return framer_.count() > 0; }
  /// A lower bound of the time at which discovery wrote the bytes that are being read.
  TimePoint written_after() const { return std::max(began_, connection_.readable_since()); }
  bool asked_for_all() const { return since_.empty(); }
  /// Within `on_object`: whether the object is the first of the call.
  bool is_at_first_object() const { return framer_.count() == 1; }

 private:
  /// The progress of a call, which only advances.
  enum class State : std::uint8_t { requested, accepted, watching };

  void on_connected() override;
  void on_head(const net::Head& head) override;
  void on_body(std::string_view bytes) override;
  // The response must not end, so its end is a failure of the call.
  void on_complete(bool /*reusable*/) override {
    owner_.on_failed(*this, discovery::CallEnd::closed);
  }
  void on_broken() override;
  void enter(State state);
  void restart_silence_timer();

  net::EventLoop& loop_;
  Owner& owner_;
  std::uint64_t number_;
  std::string since_;
  TimePoint began_;
  int status_ = 0;
  ClientConnection connection_;
  ObjectFramer framer_;
  TimePoint object_began_;  // the start of the incomplete object
  TimerId silence_timer_ = 0;
  TimerId acknowledgement_timer_ = 0;
  State state_ = State::requested;
};

}  // namespace keelflow
