#include "discovery/destination_set.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace keelflow {
namespace {

using namespace std::chrono_literals;
constexpr Duration kFirstAnswer = 3s;  // discovery itself gives a call up long before
// Without changes an empty line comes every 2 s. A watch that misses two is dead, however open it looks: a
// machine that is cut off says nothing. What it would have told counts as told 6 s late at most.
constexpr Duration kSilence = 4500ms;
constexpr Duration kLeastBackOff = 50ms, kMostBackOff = 1s;
constexpr std::size_t kMostLine = 4 * 1024 * 1024;

}  // namespace

DestinationSet::DestinationSet(net::EventLoop& loop, net::Address discovery, Names names, Listener listener,
                               Counters& counters)
    : loop_(loop), discovery_(discovery), names_(std::move(names)), listener_(std::move(listener)),
      counters_(counters) {}

DestinationSet::~DestinationSet() { stop(); }

void DestinationSet::stop() {
  loop_.cancel(silence_);
  loop_.cancel(retry_);
  if (connection_) connection_->close(), loop_.dispose(std::move(connection_));
}

void DestinationSet::known(const HostList& list) { take(list, reedlb::ListScope::cached); }

const Destination* DestinationSet::find(WorkerId worker) const {
  auto it = destinations_.find(worker);
  return it == destinations_.end() ? nullptr : &it->second;
}

void DestinationSet::subscribe() {
  if (connection_) return;  // a watch lasts until its connection ends
  loop_.cancel(retry_);
  retry_ = loop_.at(loop_.now() + back_off_, [this] { open(); });
}

void DestinationSet::pushed(bool on) {
  pushed_ = on;
  if (on) subscribe();
}

// At once, whatever state the watch is in: the old address takes no call any more, and waiting for its watch to
// end would leave changes untold. A call of the module's that is pending is answered by the new watch.
void DestinationSet::move(const net::Address& discovery) {
  if (discovery == discovery_ && connection_) return;
  discovery_ = discovery;
  back_off_ = Duration::zero();
  stop();
  open();
}

void DestinationSet::open() {
  ++counters_.watches_opened;
  accepted_ = false;
  buffer_.clear();
  connection_ = std::make_unique<ClientConnection>(loop_);
  connection_->allow_stream();
  connection_->attach(this);
  expect(kFirstAnswer);
  if (!connection_->connect(discovery_)) broken();
}

void DestinationSet::expect(Duration within) {
  loop_.cancel(silence_);
  silence_ = loop_.at(loop_.now() + within, [this] { broken(); });
}

void DestinationSet::on_connected() {
  std::string since = has_list_ ? "&since=" + std::to_string(version_) : "";
  connection_->send("GET /discovery/hosts?follow=1" + since + " HTTP/1.1\r\nHost: " + discovery_.text() + "\r\n\r\n");
}

void DestinationSet::on_head(const net::Head& head) {
  accepted_ = head.status == 200;
  if (!accepted_) return;
  expect(kSilence);
  if (on_watching) on_watching();
}

void DestinationSet::on_body(std::string_view bytes) {
  if (!accepted_ || !connection_) return;
  expect(kSilence);
  ClientConnection* mine = connection_.get();
  buffer_ += bytes;
  std::size_t from = 0;
  for (std::size_t end; (end = buffer_.find('\n', from)) != std::string::npos; from = end + 1) {
    std::string text = buffer_.substr(from, end - from);
    if (text.find_first_not_of(" \t\r") != std::string::npos) line(text);
    if (connection_.get() != mine) return;  // the line was no list, and the watch is over
  }
  buffer_.erase(0, from);  // the rest of a line comes with the next piece
  if (buffer_.size() > kMostLine) broken();
}

void DestinationSet::line(std::string_view text) {
  try {
    HostList list = decode_list(nlohmann::json::parse(text), names_);
    back_off_ = Duration::zero();
    take(list, list.whole ? reedlb::ListScope::full : reedlb::ListScope::delta);
  } catch (const std::exception&) {  // changes may have been missed: ask again from the last good version
    broken();
  }
}

void DestinationSet::take(const HostList& list, reedlb::ListScope scope) {
  version_ = list.version;
  has_list_ = scope != reedlb::ListScope::cached || version_ > 0;  // no list yet: ask for the whole
  reedlb::WorkerList told;
  told.scope = scope;
  for (const Host& host : list.hosts) {
    if (host.dial.in.sin_port != 0) destinations_[host.entry.worker] = {host.name, host.dial};
    told.entries.push_back(host.entry);
  }
  ++counters_.lists_received;
  listener_(std::move(told));
}

void DestinationSet::broken() {
  loop_.cancel(silence_);
  if (!connection_) return;
  connection_->close();
  loop_.dispose(std::move(connection_));
  ++counters_.watches_broken;
  back_off_ = std::clamp(2 * back_off_, kLeastBackOff, kMostBackOff);
  reedlb::WorkerList failed;
  failed.scope = reedlb::ListScope::failed;
  ++counters_.lists_received;
  listener_(std::move(failed));
  if (pushed_) subscribe();
}

}  // namespace keelflow
