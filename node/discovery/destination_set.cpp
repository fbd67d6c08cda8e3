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
constexpr Duration kStopped = 250ms;  // a watch's timer that is later than this was held up
// An agent that answers none of so many calls, the first of them for so long, is taken to be out of
// service.
constexpr std::uint64_t kSurveySeed = 0x5eed;
constexpr std::size_t kSilentCalls = 8;
constexpr Duration kSilentFor = 2s, kLeastSilence = 1s;

}  // namespace

DestinationSet::DestinationSet(net::EventLoop& loop, net::Address discovery, Names names,
                               Listener listener, Counters& counters, std::uint64_t seed)
    : loop_(loop),
      discovery_(discovery),
      names_(std::move(names)),
      listener_(std::move(listener)),
      counters_(counters),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      schedule_({}),
      lease_({}),
      survey_(
          loop, seed ^ kSurveySeed, [this] { return watch_ && !overdue(); },
          [this] { lease_changed(); }) {}

DestinationSet::~DestinationSet() {
  loop_.cancel(lease_end_);
  stop();
}

void DestinationSet::change(const discovery::CallPolicy& policy,
                            const discovery::LeaseTerms& terms) {
  schedule_.change(policy);
  lease_.change(terms);
  pushed_ = policy.pushed;
}

void DestinationSet::start(const discovery::CallPolicy& policy,
                           const discovery::LeaseTerms& terms) {
  change(policy, terms);
  if (on_lease)
    on_lease(false);  // a list from before the start may be of any age
  schedule_.watch_lost(loop_.now(), draw());
  wait_for_next_call();
}

void DestinationSet::stop() {
  loop_.cancel(next_call_);
  while (!calls_.empty())
    close_call(calls_.begin(), CallEnd::cancelled);
}

void DestinationSet::known(const HostList& list) {
  take(list, scheduler::ListScope::cached);
}

const Destination* DestinationSet::find(EndpointId endpoint) const {
  auto it = destinations_.find(endpoint);
  return it == destinations_.end() ? nullptr : &it->second;
}

void DestinationSet::disable(EndpointId endpoint, bool disabled) {
  auto it = destinations_.find(endpoint);
  if (it != destinations_.end())
    it->second.disabled = disabled;
}

// At once, whatever state the calls are in: the old address takes none any more, and waiting for
// its watch to end would leave changes unheard.
void DestinationSet::move(const net::Address& discovery) {
  if (discovery == discovery_ && !calls_.empty())
    return;
  discovery_ = discovery;
  any_version_ = true;
  lease_.discovery_moved(loop_.now());
  lease_changed();
  stop();
  schedule_.call_now(loop_.now());
  call();
}

double DestinationSet::draw() {
  return std::uniform_real_distribution<double>()(random_);
}

void DestinationSet::wait_for_next_call() {
  loop_.cancel(next_call_);
  if (auto when = schedule_.next_call(calls_.size()))
    next_call_ = loop_.at(*when, [this] { call(); });
}

void DestinationSet::call() {
  if (agent_is_silent()) {
    auto newest = std::find_if(calls_.rbegin(), calls_.rend(), [this](const auto& call) {
      return loop_.now() - call->began() >= kLeastSilence;
    });
    lease_.unreachable_as_of((*newest)->began());
    if (monitor_)
      monitor_->discovery_unavailable(loop_.now());
    lease_changed();
  }
  if (calls_.size() >= schedule_.max_open_calls())
    give_up(calls_.begin());
  ++counters_.watches_opened;
  schedule_.call_began(loop_.now(), draw());
  std::string since = has_list_ ? "&since=" + std::to_string(version_) : "";
  calls_.push_back(std::make_unique<DiscoveryCall>(loop_, *this, ++calls_begun_, since));
  DiscoveryCall& begun = *calls_.back();
  log::info(
      Subsystem::discovery, "call-begins",
      {{"call", begun.number()}, {"since", version_}, {"open", std::uint64_t{calls_.size()}}});
  bool connects = begun.begin(discovery_);
  if (!connects && (errno == EMFILE || errno == ENFILE) && on_pressure && on_pressure())
    connects = begun.begin(discovery_);
  if (!connects)
    failed(std::prev(calls_.end()),
           errno == ECONNREFUSED ? CallEnd::connect_refused : CallEnd::connect_failed);
  lease_changed();
  wait_for_next_call();
}

bool DestinationSet::overdue() const {
  return watch_ && loop_.now() > last_heard_ + discovery::kHeartbeatTimeout + kStopped;
}

bool DestinationSet::may_send_by_list() {
  bool may = loop_.now() < may_send_until() && !overdue();
  withheld_ = withheld_ || !may;
  return may;
}

TimePoint DestinationSet::may_send_until() const {
  auto outage = was_complete_ && !watch_ ? survey_.presumption().until(loop_.now()) : std::nullopt;
  return std::max(lease_.until(), outage.value_or(TimePoint::min()));
}

void DestinationSet::heard(const DiscoveryCall& call) {
  last_heard_ = loop_.now();
  was_complete_ = true;
  survey_.presumption().end();
  lease_.current_as_of(call.written_after());
  lease_changed();
}

void DestinationSet::lease_changed() {
  loop_.cancel(lease_end_);
  survey_.run(was_complete_ && !watch_);
  TimePoint until = may_send_until();
  bool runs = loop_.now() < until;
  if (runs)
    lease_end_ = loop_.at(until, [this] { lease_changed(); });
  bool was_withheld = runs && std::exchange(withheld_, false);
  if (std::exchange(lease_runs_, runs) != runs) {
    counters_.list_leases_expired += !runs;
    log::info(Subsystem::discovery, runs ? "lease-runs" : "lease-expired",
              {{"version", version_},
               {"calls", std::uint64_t{calls_.size()}},
               {"watch", watch_ != nullptr}});
  } else if (!was_withheld) {
    return;
  }
  if (on_lease)
    on_lease(runs);
}

// Lists are pushed by an agent on this machine, which answers at once while it has anything to
// tell. What it had before this process started counts all the same, so that a list from before the
// start does not serve meanwhile.
bool DestinationSet::agent_is_silent() const {
  if (!pushed_ || !was_complete_ || calls_.size() < kSilentCalls ||
      loop_.now() - calls_.front()->began() < kSilentFor)
    return false;
  return std::all_of(calls_.begin(), calls_.end(),
                     [](const auto& call) { return call->connected() && call->status() == 0; });
}

// Before its first object a call may yet have something to tell, whatever keeps it alive.
void DestinationSet::on_heartbeat(DiscoveryCall& call) {
  if (!call.has_brought_object())
    return log::info(Subsystem::discovery, "heartbeat-before-list", {{"call", call.number()}});
  if (monitor_)
    monitor_->heartbeat_received(loop_.now());
  establish(call);
  heard(call);
}

void DestinationSet::on_accepted(DiscoveryCall& call) {
  log::info(Subsystem::discovery, "call-accepted",
            {{"call", call.number()}, {"after_ms", to_ms(loop_.now() - call.began())}});
  if (!watch_)
    answered_without_list();
  if (on_watch_established)
    on_watch_established();
}

// The first call that brings something is the watch. Those that began before it have failed to;
// those that began later are not needed.
void DestinationSet::establish(DiscoveryCall& call) {
  if (watch_ == &call)
    return;
  watch_ = &call;
  schedule_.watch_established();
  log::info(Subsystem::discovery, "watch-established",
            {{"call", call.number()}, {"after_ms", to_ms(loop_.now() - call.began())}});
  while (calls_.front().get() != &call)
    failed(calls_.begin(), CallEnd::superseded);
  while (calls_.back().get() != &call)
    close_call(std::prev(calls_.end()), CallEnd::superseded);
  call.established();
  wait_for_next_call();
}

bool DestinationSet::on_object(DiscoveryCall& call, const std::string& text) {
  if (monitor_)
    monitor_->list_received(text, loop_.now());
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
    take(list, list.whole ? scheduler::ListScope::full : scheduler::ListScope::delta);
    heard(call);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

// A version that goes back: what it changes has been overtaken. A whole list, or a first object,
// may be that of a discovery that counts anew, so it is asked once more, for all it has.
bool DestinationSet::out_of_date(const DiscoveryCall& call, const HostList& list) {
  return list.version < version_ && !any_version_ &&
         !(call.asked_for_all() && call.at_first_object());
}

void DestinationSet::on_failed(DiscoveryCall& call, CallEnd how) {
  bool was_stopped = watch_ == &call && overdue();
  failed(std::find_if(calls_.begin(), calls_.end(),
                      [&](const auto& one) { return one.get() == &call; }),
         how);
  if (was_stopped) {
    lease_.revoke();
    was_complete_ = false;
    schedule_.call_now(loop_.now());
  }
  lease_changed();
  wait_for_next_call();
}

void DestinationSet::give_up(Calls::iterator call) {
  failed(call, (*call)->connected() ? CallEnd::unanswered : CallEnd::not_connected);
}

void DestinationSet::on_not_acknowledged(DiscoveryCall& call) {
  log::info(Subsystem::discovery, "call-not-acknowledged", {{"call", call.number()}});
  lease_.unreachable_as_of(call.began());
  if (monitor_)
    monitor_->discovery_unavailable(loop_.now());
  lease_changed();
}

// What the end of a call proves of the list; `lease_changed` follows.
void DestinationSet::note_end(const DiscoveryCall& call, CallEnd how) {
  if (monitor_ && (how == CallEnd::rejected || how == CallEnd::connect_refused))
    monitor_->discovery_unavailable(loop_.now());
  if (how == CallEnd::rejected)
    survey_.presumption().call_rejected(call.began(), loop_.now());
  if (how == CallEnd::connect_refused)
    lease_.unreachable_as_of(call.began());
  if (watch_ == &call && how != CallEnd::timed_out)
    lease_.watch_closed(loop_.now());
  bool answered = how == CallEnd::closed || how == CallEnd::malformed ||
                  how == CallEnd::stale_version || how == CallEnd::rejected;
  if (pushed_ && !watch_ && answered)
    answered_without_list();
  was_complete_ = was_complete_ && !(watch_ == &call && how == CallEnd::timed_out && !pushed_);
}

// Discovery is there: no outage is presumed any more, and what it has may count.
void DestinationSet::answered_without_list() {
  survey_.presumption().end();
  lease_.answered_without_list(loop_.now());
  lease_changed();
}

void DestinationSet::failed(Calls::iterator call, CallEnd how) {
  bool was_watch = watch_ == call->get();
  note_end(**call, how);
  close_call(call, how);
  ++counters_.watches_broken;
  ++counters_.lists_received;
  if (was_watch)
    schedule_.watch_lost(loop_.now(), draw());
}

void DestinationSet::close_call(Calls::iterator call, CallEnd how) {
  const DiscoveryCall& ending = **call;
  log::info(Subsystem::discovery, watch_ == &ending ? "watch-ends" : "call-ends",
            {{"call", ending.number()},
             {"why", discovery::to_string(how)},
             {"status", ending.status()},
             {"after_ms", to_ms(loop_.now() - ending.began())}});
  if (watch_ == &ending)
    watch_ = nullptr;
  (*call)->close();
  loop_.dispose(std::move(*call));
  calls_.erase(call);
}

// The version stays, so that the next call brings what could not be read once more.
void DestinationSet::take_what_is_well_formed(const HostList& list) {
  counters_.list_entries_malformed += list.malformed;
  log::warning(Subsystem::discovery, "list-malformed",
               {{"version", list.version}, {"entries", list.malformed}});
  HostList readable = list;
  readable.version = version_;
  bool had_list = has_list_;
  take(readable, list.whole ? scheduler::ListScope::full : scheduler::ListScope::delta);
  has_list_ = had_list;
}

void DestinationSet::take(const HostList& list, scheduler::ListScope scope) {
  version_ = list.version;
  has_list_ =
      scope != scheduler::ListScope::cached || version_ > 0;  // no list yet: ask for the whole
  scheduler::EndpointList received;
  received.scope = scope;
  if (scope != scheduler::ListScope::delta)
    for (auto& [endpoint, destination] : destinations_)
      destination.listed_ready = false;
  for (const Host& host : list.hosts) {
    auto known = destinations_.find(host.entry.endpoint);
    bool ready = host.entry.state == scheduler::EndpointState::ready;
    if (known == destinations_.end() && host.dial.in.sin_port != 0)
      destinations_[host.entry.endpoint] = {host.name, host.dial, ready};
    else if (known != destinations_.end()) {
      if (host.dial.in.sin_port != 0)
        known->second.dial = host.dial;
      known->second.listed_ready = ready;
    }
    received.entries.push_back(host.entry);
  }
  ++counters_.lists_received;
  auto not_ready = std::count_if(list.hosts.begin(), list.hosts.end(), [](const Host& host) {
    return host.entry.state != scheduler::EndpointState::ready;
  });
  log::info(Subsystem::discovery, "list-applied",
            {{"version", list.version},
             {"whole", list.whole},
             {"entries", std::uint64_t{list.hosts.size()}},
             {"not_ready", static_cast<std::uint64_t>(not_ready)},
             {"cached", scope == scheduler::ListScope::cached}});
  listener_(std::move(received));
}

}  // namespace keelflow
