// One call to discovery for the list and its changes. It becomes the watch once it has brought
// something.
#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "discovery/call_end.h"
#include "discovery/value_frames.h"
#include "outbound/client_connection.h"

namespace keelflow {

class DiscoveryCall final : ClientConnection::User {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_accepted(
        DiscoveryCall& call) = 0;  // discovery has answered with 200; what it has comes next
    // One whole JSON object. False: it is no list, and the call is of no use.
    virtual bool on_object(DiscoveryCall& call, const std::string& text) = 0;
    virtual void on_heartbeat(DiscoveryCall& call) = 0;
    virtual void on_not_acknowledged(
        DiscoveryCall& call) = 0;  // its connection does not come up; it goes on trying
    virtual void on_failed(DiscoveryCall& call, discovery::CallEnd how) = 0;  // last call
  };

  // `since`: the query of the version to go on from; empty: the whole list is asked for.
  DiscoveryCall(net::EventLoop& loop, Owner& owner, std::uint64_t number, std::string since);
  ~DiscoveryCall() override;
  DiscoveryCall(const DiscoveryCall&) = delete;
  DiscoveryCall& operator=(const DiscoveryCall&) = delete;

  bool begin(const net::Address& discovery);  // false: no connection could be begun (errno)
  void close();                               // nothing is heard of it any more
  void established();  // it is the watch: from now on it fails when it falls silent
  std::uint64_t number() const {
    return number_;
  }  // of this process, from 1 on: its name in the log
  TimePoint began() const { return began_; }
  bool connected() const { return connection_.connected(); }
  int status() const { return status_; }  // of the answer; 0: none yet
  bool has_brought_object() const { return frames_.count() > 0; }
  // Not later than what is being read was written.
  TimePoint written_after() const { return std::max(began_, connection_.readable_since()); }
  bool asked_for_all() const { return since_.empty(); }
  bool at_first_object() const { return frames_.count() == 1; }  // within `on_object`

 private:
  void on_connected() override;
  void on_head(const net::Head& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete(bool) override { owner_.on_failed(*this, discovery::CallEnd::closed); }
  void on_broken() override;
  void watch_for_silence();

  net::EventLoop& loop_;
  Owner& owner_;
  std::uint64_t number_;
  std::string since_;
  TimePoint began_;
  int status_ = 0;
  ClientConnection connection_;
  ValueFrames frames_;
  TimePoint object_begun_;  // of the one that is not complete yet
  TimerId silence_ = 0, acknowledgement_ = 0;
  bool accepted_ = false, established_ = false;
};

}  // namespace keelflow
