#include "discovery/discovery_call.h"

#include <cerrno>
#include <utility>

#include "discovery/call_schedule.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
constexpr Duration kAcknowledgedWithin = 1s;  // for a connection to come up
constexpr Duration kObjectTimeout = 2s;       // on a watch, from an object's first byte to its last
constexpr std::size_t kMostObject = 4 * 1024 * 1024;

}  // namespace

DiscoveryCall::DiscoveryCall(net::EventLoop& loop, Owner& owner, std::uint64_t number,
                             std::string since)
    : loop_(loop),
      owner_(owner),
      number_(number),
      since_(std::move(since)),
      began_(loop.now()),
      connection_(loop) {
  connection_.allow_stream();
  connection_.attach(this);
  connection_.prefer();
}

DiscoveryCall::~DiscoveryCall() {
  close();
}

bool DiscoveryCall::begin(const net::Address& discovery) {
  if (!connection_.connect(discovery))
    return false;
  acknowledgement_ =
      loop_.at(loop_.now() + kAcknowledgedWithin, [this] { owner_.on_not_acknowledged(*this); });
  return true;
}

void DiscoveryCall::close() {
  loop_.cancel(silence_);
  loop_.cancel(acknowledgement_);
  connection_.close();
}

void DiscoveryCall::on_connected() {
  loop_.cancel(acknowledgement_);
  connection_.send("GET /discovery/hosts?follow=1" + since_ +
                   " HTTP/1.1\r\nHost: " + connection_.dial().text() + "\r\n\r\n");
}

void DiscoveryCall::on_head(const net::Head& head) {
  status_ = head.status;
  accepted_ = head.status == 200;
  if (accepted_)
    owner_.on_accepted(*this);
  else
    owner_.on_failed(
        *this,
        discovery::CallEnd::rejected);  // whatever its body says, and however long that takes
}

void DiscoveryCall::on_broken() {
  using discovery::CallEnd;
  CallEnd not_connected =
      connection_.error() == ECONNREFUSED ? CallEnd::connect_refused : CallEnd::connect_failed;
  owner_.on_failed(*this, connected() ? CallEnd::closed : not_connected);
}

void DiscoveryCall::on_body(std::string_view bytes) {
  if (!accepted_ || !connection_.open())
    return;
  bool was_within = frames_.within();
  std::size_t had = frames_.count();
  bool fine = frames_.feed(bytes, kMostObject, [this](const std::string& text) {
    return owner_.on_object(*this, text) && connection_.open();
  });
  if (!connection_.open())
    return;  // its owner has closed it
  if (!fine)
    return owner_.on_failed(*this, discovery::CallEnd::malformed);
  if (!frames_.within() && frames_.count() == had)
    owner_.on_heartbeat(*this);
  if (!connection_.open())
    return;
  bool begins = frames_.within() && (!was_within || frames_.count() > had);
  if (begins)
    object_begun_ = loop_.now();
  watch_for_silence();
}

void DiscoveryCall::established() {
  established_ = true;
  watch_for_silence();
}

// Empty lines do not keep an object alive that does not end.
void DiscoveryCall::watch_for_silence() {
  if (!established_)
    return;
  loop_.cancel(silence_);
  TimePoint latest = frames_.within() ? object_begun_ + kObjectTimeout
                                      : loop_.now() + discovery::kHeartbeatTimeout;
  silence_ = loop_.at(latest, [this] { owner_.on_failed(*this, discovery::CallEnd::timed_out); });
}

}  // namespace keelflow
