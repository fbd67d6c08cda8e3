#include "discovery/destination_set.h"

#include <algorithm>
#include <cerrno>
#include <nlohmann/json.hpp>
#include <utility>

#include "log/log.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using discovery::CallEnd;
using log::Subsystem;
constexpr Duration kStopped = 250ms;       // a watch's timer that is later than this was held up
constexpr Duration kDistrustWithin = 1500ms;  // for a call that brings the list after that

}  // namespace

DestinationSet::DestinationSet(net::EventLoop& loop, net::Address discovery, Names names, Listener listener,
                               Counters& counters, std::uint64_t seed)
    : loop_(loop), discovery_(discovery), names_(std::move(names)), listener_(std::move(listener)),
      counters_(counters), random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)), schedule_({}) {}

DestinationSet::~DestinationSet() {
  loop_.cancel(trust_);
  stop();
}

void DestinationSet::start(const discovery::CallPolicy& policy) {
  schedule_.change(policy);
  distrust();  // a list from before the start may be of any age
  schedule_.watch_lost(loop_.now(), draw());
  wait_for_next_call();
}

void DestinationSet::stop() {
  loop_.cancel(next_call_);
  while (!calls_.empty()) close_call(calls_.begin(), CallEnd::no_longer_wanted);
}

void DestinationSet::known(const HostList& list) { take(list, reedlb::ListScope::cached); }

const Destination* DestinationSet::find(WorkerId worker) const {
  auto it = destinations_.find(worker);
  return it == destinations_.end() ? nullptr : &it->second;
}

void DestinationSet::disable(WorkerId worker, bool disabled) {
  auto it = destinations_.find(worker);
  if (it != destinations_.end()) it->second.disabled = disabled;
}

// At once, whatever state the calls are in: the old address takes none any more, and waiting for its watch to end would
// leave changes unheard.
void DestinationSet::move(const net::Address& discovery) {
  if (discovery == discovery_ && !calls_.empty()) return;
  discovery_ = discovery;
  any_version_ = true;
  stop();
  schedule_.call_now(loop_.now());
  call();
}

double DestinationSet::draw() { return std::uniform_real_distribution<double>()(random_); }

void DestinationSet::wait_for_next_call() {
  loop_.cancel(next_call_);
  if (auto when = schedule_.next_call(calls_.size())) next_call_ = loop_.at(*when, [this] { call(); });
}

void DestinationSet::call() {
  if (calls_.size() >= schedule_.most_calls()) give_up(calls_.begin());
  ++counters_.watches_opened;
  schedule_.call_began(loop_.now(), draw());
  std::string since = has_list_ ? "&since=" + std::to_string(version_) : "";
  calls_.push_back(std::make_unique<DiscoveryCall>(loop_, *this, ++calls_begun_, since));
  DiscoveryCall& begun = *calls_.back();
  log::info(Subsystem::discovery, "call-begins", {{"call", begun.number()}, {"since", version_}, {"open", std::uint64_t{calls_.size()}}});
  bool connects = begun.begin(discovery_);
  if (!connects && (errno == EMFILE || errno == ENFILE) && on_pressure && on_pressure()) connects = begun.begin(discovery_);
  if (!connects) failed(std::prev(calls_.end()), CallEnd::connect_failed);
  wait_for_next_call();
}

bool DestinationSet::overdue() const {
  return watch_ && loop_.now() > last_heard_ + discovery::kHeartbeatTimeout + kStopped;
}

bool DestinationSet::trusted() {
  bool is = loop_.now() >= distrusted_until_ && !overdue();
  was_distrusted_ = was_distrusted_ || !is;
  return is;
}

void DestinationSet::distrust() {
  distrusted_until_ = loop_.now() + kDistrustWithin;
  loop_.cancel(trust_);
  trust_ = loop_.at(distrusted_until_, [this] { heard(); });
}

void DestinationSet::heard() {
  last_heard_ = loop_.now();
  distrusted_until_ = {};
  if (std::exchange(was_distrusted_, false) && on_trusted) on_trusted();
}

void DestinationSet::on_heartbeat(DiscoveryCall& call) {
  if (watch_ != &call) log::info(Subsystem::discovery, "heartbeat-first", {{"call", call.number()}, {"after_ms", to_ms(loop_.now() - call.began())}});
  establish(call);
  heard();
}

void DestinationSet::on_accepted(DiscoveryCall& call) {
  log::info(Subsystem::discovery, "call-accepted", {{"call", call.number()}, {"after_ms", to_ms(loop_.now() - call.began())}});
  if (on_watching) on_watching();
}

// The first call that brings something is the watch. Those that began before it have failed to; those that began later
// are not needed.
void DestinationSet::establish(DiscoveryCall& call) {
  if (watch_ == &call) return;
  watch_ = &call;
  schedule_.watch_established();
  log::info(Subsystem::discovery, "watch-established", {{"call", call.number()}, {"after_ms", to_ms(loop_.now() - call.began())}});
  while (calls_.front().get() != &call) failed(calls_.begin(), CallEnd::superseded);
  while (calls_.back().get() != &call) close_call(std::prev(calls_.end()), CallEnd::superseded);
  call.established();
  wait_for_next_call();
}

bool DestinationSet::on_object(DiscoveryCall& call, const std::string& text) {
  try {
    HostList list = decode_list(nlohmann::json::parse(text), names_);
    if (out_of_date(call, list)) {
      bool all_again = list.whole || call.at_first_object();
      has_list_ = has_list_ && !all_again;
      return !all_again;
    }
    if (list.malformed > 0) {
      take_what_is_well_formed(list);
      return false;
    }
    any_version_ = false;
    establish(call);
    take(list, list.whole ? reedlb::ListScope::full : reedlb::ListScope::delta);
    heard();
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

// A version that goes back: what it changes has been overtaken. A whole list, or a first object, may be that of a
// discovery that counts anew, so it is asked once more, for all it has.
bool DestinationSet::out_of_date(const DiscoveryCall& call, const HostList& list) {
  return list.version < version_ && !any_version_ && !(call.asked_for_all() && call.at_first_object());
}

void DestinationSet::on_failed(DiscoveryCall& call, CallEnd how) {
  bool was_stopped = watch_ == &call && overdue();
  failed(std::find_if(calls_.begin(), calls_.end(), [&](const auto& one) { return one.get() == &call; }), how);
  if (was_stopped) {
    distrust();
    schedule_.call_now(loop_.now());
  }
  wait_for_next_call();
}

void DestinationSet::give_up(Calls::iterator call) {
  failed(call, (*call)->connected() ? CallEnd::unanswered : CallEnd::no_connection);
}

void DestinationSet::failed(Calls::iterator call, CallEnd how) {
  bool was_watch = watch_ == call->get();
  close_call(call, how);
  ++counters_.watches_broken;
  ++counters_.lists_received;
  if (was_watch) schedule_.watch_lost(loop_.now(), draw());
}

void DestinationSet::close_call(Calls::iterator call, CallEnd how) {
  const DiscoveryCall& ending = **call;
  log::info(Subsystem::discovery, watch_ == &ending ? "watch-ends" : "call-ends",
            {{"call", ending.number()}, {"why", discovery::to_string(how)}, {"status", ending.status()}, {"after_ms", to_ms(loop_.now() - ending.began())}});
  if (watch_ == &ending) watch_ = nullptr;
  (*call)->close();
  loop_.dispose(std::move(*call));
  calls_.erase(call);
}

// The version stays, so that the next call brings what could not be read once more.
void DestinationSet::take_what_is_well_formed(const HostList& list) {
  counters_.list_entries_malformed += list.malformed;
  log::warning(Subsystem::discovery, "list-malformed", {{"version", list.version}, {"entries", list.malformed}});
  HostList readable = list;
  readable.version = version_;
  bool had_list = has_list_;
  take(readable, list.whole ? reedlb::ListScope::full : reedlb::ListScope::delta);
  has_list_ = had_list;
}

void DestinationSet::take(const HostList& list, reedlb::ListScope scope) {
  version_ = list.version;
  has_list_ = scope != reedlb::ListScope::cached || version_ > 0;  // no list yet: ask for the whole
  reedlb::WorkerList received;
  received.scope = scope;
  if (scope != reedlb::ListScope::delta)
    for (auto& [worker, destination] : destinations_) destination.listed_ready = false;
  for (const Host& host : list.hosts) {
    auto known = destinations_.find(host.entry.worker);
    bool ready = host.entry.state == reedlb::WorkerState::ready;
    if (known == destinations_.end() && host.dial.in.sin_port != 0) destinations_[host.entry.worker] = {host.name, host.dial, ready};
    else if (known != destinations_.end()) {
      if (host.dial.in.sin_port != 0) known->second.dial = host.dial;
      known->second.listed_ready = ready;
    }
    received.entries.push_back(host.entry);
  }
  ++counters_.lists_received;
  auto not_ready = std::count_if(list.hosts.begin(), list.hosts.end(), [](const Host& host) { return host.entry.state != reedlb::WorkerState::ready; });
  log::info(Subsystem::discovery, "list-applied", {{"version", list.version}, {"whole", list.whole}, {"entries", std::uint64_t{list.hosts.size()}},
            {"not_ready", static_cast<std::uint64_t>(not_ready)}, {"cached", scope == reedlb::ListScope::cached}});
  listener_(std::move(received));
}

}  // namespace keelflow
