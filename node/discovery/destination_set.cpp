#include "discovery/destination_set.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace keelflow {
namespace {

using namespace std::chrono_literals;
// Without changes an empty line comes every 2 s; a watch that misses one is dead, however open it looks: a machine that
// is cut off says nothing. What it would have told counts as told 6 s after it fell silent, over all attempts to hear it
// again: two more may be silent too, one from its start or after its head, before that is over.
constexpr Duration kSilence = 2500ms;
constexpr Duration kFirstAnswer = 3s;         // a service that all nodes ask gives a call up before that
constexpr Duration kAnswerInSilence = 1500ms;  // but not when a watch has just fallen silent
constexpr Duration kUrgent = 3250ms;  // after that all counts as told, and a service that has too many callers is spared
constexpr Duration kAgentAnswer = 1s;         // an agent on this machine answers at once
constexpr Duration kWholeObject = 2s;         // from an object's first byte to its last
constexpr Duration kLeastBackOff = 50ms, kMostBackOff = 1s;
constexpr Duration kAgentBackOff = 100ms;  // what the agent has counts as told, and asking it costs nobody anything
constexpr std::size_t kMostObject = 4 * 1024 * 1024;

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
  any_version_ = true;
  back_off_ = Duration::zero();
  stop();
  open();
}

void DestinationSet::open() {
  ++counters_.watches_opened;
  accepted_ = false;
  frames_.clear();
  connection_ = std::make_unique<ClientConnection>(loop_);
  connection_->allow_stream();
  connection_->attach(this);
  bool urgent = fell_silent_ && loop_.now() < silent_ + kUrgent;
  expect(loop_.now() + (pushed_ ? kAgentAnswer : urgent ? kAnswerInSilence : kFirstAnswer));
  if (!connection_->connect(discovery_)) broken();
}

void DestinationSet::expect(TimePoint by) {
  loop_.cancel(silence_);
  silence_ = loop_.at(by, [this] {
    if (!std::exchange(fell_silent_, true)) silent_ = loop_.now();
    broken();
  });
}

void DestinationSet::on_connected() {
  std::string since = has_list_ ? "&since=" + std::to_string(version_) : "";
  any_version_ = any_version_ || !has_list_;
  connection_->send("GET /discovery/hosts?follow=1" + since + " HTTP/1.1\r\nHost: " + discovery_.text() + "\r\n\r\n");
}

void DestinationSet::on_head(const net::Head& head) {
  accepted_ = head.status == 200;
  if (!accepted_) return;
  expect(loop_.now() + kSilence);
  if (on_watching) on_watching();
}

void DestinationSet::on_body(std::string_view bytes) {
  if (!accepted_ || !connection_) return;
  ClientConnection* mine = connection_.get();
  bool was_within = frames_.within();
  std::size_t had = frames_.count();
  bool fine = frames_.feed(bytes, kMostObject, [this, mine](const std::string& text) { return object(text) && connection_.get() == mine; });
  if (connection_.get() != mine) return;
  if (!fine) return broken();  // changes may have been missed: ask again from the last good version
  fell_silent_ = false;
  // Empty lines do not keep an object alive that does not end.
  if (frames_.within() && (!was_within || frames_.count() > had)) begun_ = loop_.now();
  expect(frames_.within() ? begun_ + kWholeObject : loop_.now() + kSilence);
}

// False: it is no list, and the watch is of no use.
bool DestinationSet::object(const std::string& text) {
  try {
    return take_or_ask_again(decode_list(nlohmann::json::parse(text), names_));
  } catch (const std::exception&) {
    return false;
  }
}

bool DestinationSet::take_or_ask_again(const HostList& list) {
  back_off_ = Duration::zero();
  // A version that goes back: what it changes has been overtaken. A whole list may be that of a discovery that counts
  // anew, so it is asked once more, for all it has.
  if (list.version < version_ && !any_version_) {
    has_list_ = has_list_ && !list.whole;
    return !list.whole;
  }
  any_version_ = false;
  take(list, list.whole ? reedlb::ListScope::full : reedlb::ListScope::delta);
  return true;
}

void DestinationSet::take(const HostList& list, reedlb::ListScope scope) {
  version_ = list.version;
  has_list_ = scope != reedlb::ListScope::cached || version_ > 0;  // no list yet: ask for the whole
  reedlb::WorkerList told;
  told.scope = scope;
  if (scope != reedlb::ListScope::delta)
    for (auto& [worker, destination] : destinations_) destination.wants = false;
  for (const Host& host : list.hosts) {
    auto known = destinations_.find(host.entry.worker);
    bool wants = host.entry.state == reedlb::WorkerState::ready;
    if (host.dial.in.sin_port != 0) destinations_[host.entry.worker] = {host.name, host.dial, wants};
    else if (known != destinations_.end()) known->second.wants = wants;
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
  back_off_ = std::clamp(2 * back_off_, kLeastBackOff, pushed_ ? kAgentBackOff : kMostBackOff);
  reedlb::WorkerList failed;
  failed.scope = reedlb::ListScope::failed;
  ++counters_.lists_received;
  listener_(std::move(failed));
  if (pushed_) subscribe();
}

}  // namespace keelflow
