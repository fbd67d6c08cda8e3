#include "discovery/discovery_call.h"

#include <cerrno>
#include <utility>

#include "discovery/call_schedule.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using discovery::CallEnd;

// A connection is normally established within this time.
constexpr Duration kConnectTimeout = 1s;
// The time limit of an object on a watch, from its first byte to its last.
constexpr Duration kObjectTimeout = 2s;
// The limit of an object in bytes. A larger object ends the call as malformed.
constexpr std::size_t kMaxObjectSize = 4 * 1024 * 1024;

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

std::error_code DiscoveryCall::begin(const net::Address& discovery) {
  if (!connection_.connect(discovery))
    return {errno != 0 ? errno : EIO, std::generic_category()};
  acknowledgement_timer_ =
      loop_.at(loop_.now() + kConnectTimeout, [this] { owner_.on_not_acknowledged(*this); });
  return {};
}

void DiscoveryCall::close() {
  loop_.cancel(silence_timer_);
  loop_.cancel(acknowledgement_timer_);
  connection_.close();
}

void DiscoveryCall::on_connected() {
  loop_.cancel(acknowledgement_timer_);
  connection_.send("GET /discovery/hosts?follow=1" + since_ +
                   " HTTP/1.1\r\nHost: " + connection_.dial().text() + "\r\n\r\n");
}

void DiscoveryCall::on_head(const net::Head& head) {
  status_ = head.status;
  if (head.status != 200) {
    // The status alone decides that the call has failed; the body is not used.
    owner_.on_failed(*this, CallEnd::rejected);
    return;
  }
  enter(State::accepted);
  owner_.on_accepted(*this);
}

void DiscoveryCall::on_broken() {
  bool is_refused = connection_.error() == ECONNREFUSED;
  CallEnd without_connection = is_refused ? CallEnd::connect_refused : CallEnd::connect_failed;
  owner_.on_failed(*this, connected() ? CallEnd::closed : without_connection);
}

void DiscoveryCall::on_body(std::string_view bytes) {
  if (state_ == State::requested || !connection_.open())
    return;
  bool was_within = framer_.is_within_object();
  std::size_t count_before = framer_.count();
  bool is_well_formed = framer_.feed(bytes, kMaxObjectSize, [this](const std::string& text) {
    return owner_.on_object(*this, text) && connection_.open();
  });
  if (!connection_.open())
    return;  // the owner has closed the call
  if (!is_well_formed) {
    owner_.on_failed(*this, CallEnd::malformed);
    return;
  }
  bool has_new_object = framer_.count() > count_before;
  if (!framer_.is_within_object() && !has_new_object)
    owner_.on_heartbeat(*this);
  if (!connection_.open())
    return;
  if (framer_.is_within_object() && (!was_within || has_new_object))
    object_began_ = loop_.now();
  restart_silence_timer();
}

void DiscoveryCall::established() {
  enter(State::watching);
  restart_silence_timer();
}

// The only function that changes the state, which only advances.
void DiscoveryCall::enter(State state) {
  state_ = std::max(state_, state);
}

// White space within an object does not extend the time in which the object has to be complete.
void DiscoveryCall::restart_silence_timer() {
  if (state_ != State::watching)
    return;
  loop_.cancel(silence_timer_);
  TimePoint latest = framer_.is_within_object() ? object_began_ + kObjectTimeout
                                                : loop_.now() + discovery::kHeartbeatTimeout;
  silence_timer_ = loop_.at(latest, [this] { owner_.on_failed(*this, CallEnd::timed_out); });
}

}  // namespace keelflow
