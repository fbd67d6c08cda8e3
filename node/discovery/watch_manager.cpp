#include "discovery/watch_manager.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "log/log.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using discovery::CallEnd;
using log::Subsystem;

// If the watch's timer is later than this, the process was suspended.
constexpr Duration kStoppedTolerance = 250ms;
// An agent is presumed out of service if this many calls are open, none is answered, and the oldest
// has waited for this long.
constexpr std::size_t kUnansweredCalls = 8;
constexpr Duration kUnansweredFor = 2s;
// A younger call may still be answered, so it is no evidence that the agent is out of service.
constexpr Duration kMinCallAge = 1s;

}  // namespace

WatchManager::WatchManager(net::EventLoop& loop, net::Address discovery, ListReceiver& receiver,
                           ListLeaseKeeper& lease, Callbacks callbacks, Counters& counters,
                           std::uint64_t seed)
    : loop_(loop),
      discovery_(discovery),
      receiver_(receiver),
      lease_(lease),
      callbacks_(std::move(callbacks)),
      counters_(counters),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      schedule_({}) {}

WatchManager::~WatchManager() {
  stop();
}

void WatchManager::start() {
  schedule_.watch_lost(loop_.now(), draw());
  schedule_next_call();
}

void WatchManager::stop() {
  loop_.cancel(next_call_timer_);
  while (!calls_.empty())
    close(calls_.begin(), CallEnd::cancelled);
}

void WatchManager::change(const discovery::CallPolicy& policy) {
  schedule_.change(policy);
  pushed_ = policy.pushed;
}

// Moves at once, whatever the state of the calls: the former address sends nothing more, and
// changes would stay unknown while waiting for its watch to end.
void WatchManager::move(const net::Address& discovery) {
  if (discovery == discovery_ && !calls_.empty())
    return;
  discovery_ = discovery;
  receiver_.discovery_moved();
  lease_.discovery_moved();
  stop();
  schedule_.call_now(loop_.now());
  open_call();
}

WatchStatus WatchManager::status() const {
  return {.has_watch = watch_ != nullptr,
          .is_overdue = is_overdue(),
          .open_calls = calls_.size(),
          .list_version = receiver_.version()};
}

double WatchManager::draw() {
  return std::uniform_real_distribution<double>()(random_);
}

void WatchManager::schedule_next_call() {
  loop_.cancel(next_call_timer_);
  if (auto when = schedule_.next_call(calls_.size()))
    next_call_timer_ = loop_.at(*when, [this] { open_call(); });
}

void WatchManager::open_call() {
  if (is_agent_unresponsive())
    report_agent_unresponsive();
  if (calls_.size() >= schedule_.max_open_calls())
    replace_oldest();
  ++counters_.watches_opened;
  schedule_.call_began(loop_.now(), draw());
  calls_.push_back(
      std::make_unique<DiscoveryCall>(loop_, *this, ++calls_begun_, receiver_.resume_query()));
  DiscoveryCall& call = *calls_.back();
  log::info(Subsystem::discovery, "call-begins",
            {{"call", call.number()},
             {"since", receiver_.version()},
             {"open", std::uint64_t{calls_.size()}}});
  if (std::error_code error = connect(call)) {
    bool is_refused = error == std::errc::connection_refused;
    fail(std::prev(calls_.end()), is_refused ? CallEnd::connect_refused : CallEnd::connect_failed);
  }
  lease_.update();
  schedule_next_call();
}

std::error_code WatchManager::connect(DiscoveryCall& call) {
  std::error_code error = call.begin(discovery_);
  bool is_exhausted =
      error == std::errc::too_many_files_open || error == std::errc::too_many_files_open_in_system;
  if (is_exhausted && callbacks_.on_descriptors_exhausted())
    error = call.begin(discovery_);
  return error;
}

bool WatchManager::is_overdue() const {
  return watch_ && loop_.now() > last_received_ + discovery::kHeartbeatTimeout + kStoppedTolerance;
}

// Lists are pushed by an agent on this machine, which answers at once while it has anything to
// send. A list from before this process started does not prove that the agent had nothing newer,
// so that list is not used while the agent does not answer.
bool WatchManager::is_agent_unresponsive() const {
  if (!pushed_ || !lease_.is_list_complete() || calls_.size() < kUnansweredCalls ||
      loop_.now() - calls_.front()->began() < kUnansweredFor)
    return false;
  return std::all_of(calls_.begin(), calls_.end(),
                     [](const auto& call) { return call->connected() && call->status() == 0; });
}

void WatchManager::report_agent_unresponsive() {
  auto newest = std::find_if(calls_.rbegin(), calls_.rend(), [this](const auto& call) {
    return loop_.now() - call->began() >= kMinCallAge;
  });
  report_unavailable();
  lease_.discovery_unreachable((*newest)->began());
}

void WatchManager::report_unavailable() {
  if (monitor_)
    monitor_->discovery_unavailable(loop_.now());
}

void WatchManager::on_accepted(DiscoveryCall& call) {
  log::info(Subsystem::discovery, "call-accepted",
            {{"call", call.number()}, {"after_ms", to_ms(loop_.now() - call.began())}});
  if (!watch_)
    lease_.answered_without_list();
  callbacks_.on_call_accepted();
}

// Until a call has received its first object, changes may be pending, so a heartbeat does not show
// that the list is current.
void WatchManager::on_heartbeat(DiscoveryCall& call) {
  if (!call.has_brought_object()) {
    log::info(Subsystem::discovery, "heartbeat-before-list", {{"call", call.number()}});
    return;
  }
  if (monitor_)
    monitor_->heartbeat_received(loop_.now());
  establish(call);
  prove_current(call);
}

bool WatchManager::on_object(DiscoveryCall& call, const std::string& text) {
  if (monitor_)
    monitor_->list_received(text, loop_.now());
  ListRequest request{.asked_for_all = call.asked_for_all(),
                      .is_first_object = call.is_at_first_object()};
  ReceivedList received = receiver_.receive(text, request);
  // A list that its consumers cannot apply ends its call, as one that cannot be decoded does.
  try {
    return apply(call, received);
  } catch (const std::exception&) {
    return false;
  }
}

// False: the call has to end.
bool WatchManager::apply(DiscoveryCall& call, const ReceivedList& received) {
  switch (received.verdict) {
    case ListVerdict::undecodable:
    case ListVerdict::stale:
      return false;
    case ListVerdict::overtaken:
      return true;
    case ListVerdict::malformed_entries:
      receiver_.apply_decoded_entries(received.list);
      return false;
    case ListVerdict::current:
      break;
  }
  establish(call);
  receiver_.apply(received.list);
  prove_current(call);
  return true;
}

// The first call that receives something becomes the watch. Calls that began before it have
// received nothing and count as failed; calls that began later are not needed.
void WatchManager::establish(DiscoveryCall& call) {
  if (watch_ == &call)
    return;
  watch_ = &call;
  schedule_.watch_established();
  log::info(Subsystem::discovery, "watch-established",
            {{"call", call.number()}, {"after_ms", to_ms(loop_.now() - call.began())}});
  while (calls_.front().get() != &call)
    fail(calls_.begin(), CallEnd::superseded);
  while (calls_.back().get() != &call)
    close(std::prev(calls_.end()), CallEnd::superseded);
  call.established();
  schedule_next_call();
}

void WatchManager::prove_current(const DiscoveryCall& call) {
  last_received_ = loop_.now();
  lease_.proven_current(call.written_after());
}

void WatchManager::on_not_acknowledged(DiscoveryCall& call) {
  log::info(Subsystem::discovery, "call-not-acknowledged", {{"call", call.number()}});
  report_unavailable();
  lease_.discovery_unreachable(call.began());
}

void WatchManager::on_failed(DiscoveryCall& call, CallEnd how) {
  bool was_stopped = watch_ == &call && is_overdue();
  fail(find(call), how);
  if (was_stopped) {
    lease_.revoke();
    schedule_.call_now(loop_.now());
  }
  lease_.update();
  schedule_next_call();
}

WatchManager::Calls::iterator WatchManager::find(const DiscoveryCall& call) {
  return std::find_if(calls_.begin(), calls_.end(),
                      [&](const auto& candidate) { return candidate.get() == &call; });
}

void WatchManager::replace_oldest() {
  bool is_connected = calls_.front()->connected();
  fail(calls_.begin(), is_connected ? CallEnd::unanswered : CallEnd::not_connected);
}

void WatchManager::fail(Calls::iterator call, CallEnd how) {
  bool was_watch = watch_ == call->get();
  if (how == CallEnd::connect_refused)
    report_unavailable();
  lease_.call_ended({.how = how, .began = (*call)->began(), .was_watch = was_watch});
  close(call, how);
  ++counters_.watches_broken;
  ++counters_.lists_received;
  if (was_watch)
    schedule_.watch_lost(loop_.now(), draw());
}

void WatchManager::close(Calls::iterator call, CallEnd how) {
  DiscoveryCall& ended = **call;
  bool was_watch = watch_ == &ended;
  log::info(Subsystem::discovery, was_watch ? "watch-ends" : "call-ends",
            {{"call", ended.number()},
             {"why", discovery::to_string(how)},
             {"status", ended.status()},
             {"after_ms", to_ms(loop_.now() - ended.began())}});
  if (was_watch)
    watch_ = nullptr;
  ended.close();
  loop_.dispose(std::move(*call));
  calls_.erase(call);
}

}  // namespace keelflow
