#include "discovery/list_lease_keeper.h"

#include <utility>

#include "log/log.h"

namespace keelflow {
namespace {

using discovery::CallEnd;
using log::Subsystem;

bool is_answer(CallEnd how) {
  return how == CallEnd::closed || how == CallEnd::malformed || how == CallEnd::stale_version ||
         how == CallEnd::rejected;
}

}  // namespace

ListLeaseKeeper::ListLeaseKeeper(net::EventLoop& loop, Counters& counters,
                                 std::function<WatchStatus()> watch_status,
                                 std::function<void(bool may_send)> on_lease)
    : loop_(loop),
      counters_(counters),
      watch_status_(std::move(watch_status)),
      on_lease_(std::move(on_lease)),
      lease_({}) {}

ListLeaseKeeper::~ListLeaseKeeper() {
  loop_.cancel(lease_end_timer_);
}

void ListLeaseKeeper::change(const discovery::LeaseTerms& terms) {
  lease_.change(terms);
  pushed_ = terms.pushed;
}

bool ListLeaseKeeper::may_send() {
  bool may_send = lease_.valid(loop_.now()) && !watch_status_().is_overdue;
  has_withheld_ = has_withheld_ || !may_send;
  return may_send;
}

void ListLeaseKeeper::update() {
  loop_.cancel(lease_end_timer_);
  WatchStatus status = watch_status_();
  bool is_running = lease_.valid(loop_.now());
  if (is_running)
    lease_end_timer_ = loop_.at(lease_.until(), [this] { update(); });
  bool had_withheld = is_running && std::exchange(has_withheld_, false);
  bool has_changed = std::exchange(is_running_, is_running) != is_running;
  if (has_changed) {
    counters_.list_leases_expired += !is_running;
    log::info(Subsystem::discovery, is_running ? "lease-runs" : "lease-expired",
              {{"version", status.list_version},
               {"calls", std::uint64_t{status.open_calls}},
               {"watch", status.has_watch}});
  }
  if (has_changed || had_withheld)
    on_lease_(is_running);
}

void ListLeaseKeeper::proven_current(TimePoint written) {
  is_list_complete_ = true;
  lease_.current_as_of(written);
  update();
}

void ListLeaseKeeper::discovery_unreachable(TimePoint when) {
  lease_.unreachable_as_of(when);
  update();
}

void ListLeaseKeeper::answered_without_list() {
  lease_.answered_without_list(loop_.now());
  update();
}

void ListLeaseKeeper::discovery_moved() {
  lease_.discovery_moved(loop_.now());
  update();
}

void ListLeaseKeeper::call_ended(const EndedCall& call) {
  if (call.how == CallEnd::connect_refused)
    lease_.unreachable_as_of(call.began);
  if (call.was_watch && call.how != CallEnd::timed_out)
    lease_.watch_closed(loop_.now());
  if (pushed_ && !watch_status_().has_watch && is_answer(call.how))
    answered_without_list();
  if (call.was_watch && call.how == CallEnd::timed_out && !pushed_)
    is_list_complete_ = false;
}

void ListLeaseKeeper::revoke() {
  lease_.revoke();
  is_list_complete_ = false;
}

}  // namespace keelflow
