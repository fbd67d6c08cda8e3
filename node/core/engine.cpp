#include "core/engine.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace keelflow {

using scheduler::AttemptResult;

namespace {

// Whether an attempt that broke may have run depends on one thing: had its last byte been written?
AttemptResult result_of(const AttemptEnd& end) {
  switch (end.outcome) {
    case AttemptOutcome::served:
      return AttemptResult::ok;
    case AttemptOutcome::error:
      return AttemptResult::error;
    case AttemptOutcome::rejected:
      return AttemptResult::rejected;
    case AttemptOutcome::cancelled:
    case AttemptOutcome::cancel_undelivered:
      return AttemptResult::cancelled;
    case AttemptOutcome::broken:
      break;
  }
  return end.delivery < DeliveryState::fully_written ? AttemptResult::connect_failed
                                                     : AttemptResult::reset;
}

}  // namespace

Engine::Engine(const scheduler::Settings& settings, std::uint64_t seed, Limits limits,
               TimerPort& timers, const UnixClock& clock, Counters& counters)
    : settings_(settings),
      seed_(seed),
      limits_(limits),
      timers_(timers),
      clock_(clock),
      counters_(counters) {
  lanes(1);
  name_classes(std::vector<std::string>(settings.classes.size()));
}

void Engine::lanes(int count) {
  while (lanes_.size() <
         static_cast<std::size_t>(count)) {  // the first one draws what a node without pools draws
    lanes_.push_back(std::make_unique<Lane>(settings_,
                                            seed_ + lanes_.size() * 0x9e3779b97f4a7c15ull, shares_,
                                            clock_.unix_ms(timers_.now())));
    lanes_.back()->turns.grants(grants_);
    if (!sends_allowed_)
      post(static_cast<int>(lanes_.size()) - 1, scheduler::SendPermission{false});
    if (!lives_.empty())
      post(static_cast<int>(lanes_.size()) - 1, scheduler::MembershipChanged{lives_});
  }
}

void Engine::name_classes(const std::vector<std::string>& names) {
  figures_.clear();
  for (const std::string& name : names)
    figures_.push_back(&counters_.classes[name]);
}

void Engine::retune(const scheduler::Settings& settings, std::vector<int> from, Limits limits) {
  limits_ = limits;
  if (settings == settings_)
    return;
  settings_ = settings;
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    post(static_cast<int>(i), scheduler::SettingsChanged{settings, from});
}

void Engine::allow_sends(bool allowed) {
  if (std::exchange(sends_allowed_, allowed) == allowed)
    return;
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    post(static_cast<int>(i), scheduler::SendPermission{allowed});
}

bool Engine::client_waits(RequestId id) const {
  auto it = requests_.find(id);
  return it != requests_.end() && it->second.sink;
}

void Engine::twin(std::function<void(const std::string&)> tell) {
  twin_ = std::move(tell);
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    post(static_cast<int>(i), scheduler::SiblingProcess{twin_ != nullptr});
}

std::vector<scheduler::LearnedState> Engine::knowledge() const {
  std::vector<scheduler::LearnedState> all;
  for (const auto& lane : lanes_)
    all.push_back(lane->dispatcher.learned_state(clock_.unix_ms(timers_.now())));
  return all;
}

void Engine::learn(const std::vector<scheduler::LearnedState>& knowledge) {
  for (std::size_t i = 0; i < std::min(lanes_.size(), knowledge.size()); ++i)
    post(static_cast<int>(i), knowledge[i]);
}

bool Engine::class_in_use(int class_index) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const auto& r) { return r.second.job.class_index == class_index; });
}

bool Engine::is_ejected(EndpointId endpoint) const {
  double now = clock_.unix_ms(timers_.now());
  return std::any_of(lanes_.begin(), lanes_.end(),
                     [&](const auto& lane) { return lane->dispatcher.is_ejected(endpoint, now); });
}

// Events are played one after another, each at its own time. An action may cause the next event
// before it returns (a connection refused at once); that event waits here until the present one is
// dealt with.
void Engine::post(int pool, scheduler::Event event) {
  inbox_.emplace_back(pool, std::move(event));
  if (std::exchange(pumping_, true))
    return;
  scheduler::Actions actions;
  while (!inbox_.empty()) {
    auto [lane, next] = std::move(inbox_.front());
    inbox_.pop_front();
    actions.clear();
    lanes_.at(static_cast<std::size_t>(lane))
        ->dispatcher.handle(clock_.unix_ms(timers_.now()), next, actions);
    for (const scheduler::Action& action : actions)
      carry_out(lane, action);
    after(lane, next);
    if (const auto* outcome = std::get_if<scheduler::AttemptFinished>(&next))
      forget_if_over(outcome->request);
    if (const auto* gone = std::get_if<scheduler::ClientDisconnected>(&next))
      forget_if_over(gone->request);
  }
  pumping_ = false;
}

// What stands beside the module and tells it values: those come before whatever else waits.
void Engine::after(int lane, const scheduler::Event& event) {
  Lane& of = *lanes_.at(static_cast<std::size_t>(lane));
  std::vector<scheduler::Event> follow_ups;
  scheduler::Actions words;
  if (auto homes = of.homes.after(event))
    follow_ups.emplace_back(std::move(*homes));
  of.turns.after(clock_.unix_ms(timers_.now()), event, of.dispatcher, follow_ups, words);
  for (const scheduler::Action& word : words)
    carry_out(lane, word);
  for (auto it = follow_ups.rbegin(); it != follow_ups.rend(); ++it)
    inbox_.emplace_front(lane, std::move(*it));
}

void Engine::carry_out(int pool, const scheduler::Action& action) {
  if (const auto* a = std::get_if<scheduler::SendAttempt>(&action))
    return send(*a);
  if (const auto* a = std::get_if<scheduler::CancelAttempt>(&action))
    return recall({a->request, a->attempt}, false);
  if (const auto* a = std::get_if<scheduler::SendHealthCheck>(&action)) {
    ++counters_.probes_sent;
    return endpoints_->probe(a->endpoint);
  }
  if (const auto* a = std::get_if<scheduler::SendPeerMessage>(&action);
      a && a->peer == settings_.rank)
    return twin_ ? twin_(a->bytes) : void();
  if (const auto* a = std::get_if<scheduler::SendPeerMessage>(&action))
    return peers_ ? peers_->tell(a->peer, a->bytes) : void();
  if (const auto* a = std::get_if<scheduler::RejectRequest>(&action)) {
    FinalAnswer answer{.kind = FinalAnswer::Kind::refused,
                       .retry_after = from_ms(a->retry_after_ms)};
    return finish(a->request, std::move(answer));
  }
  if (const auto* a = std::get_if<scheduler::FailRequest>(&action)) {
    auto it = requests_.find(a->request);
    bool late = it != requests_.end() &&
                (it->second.expired || timers_.now() + 2 * limits_.tick >= it->second.deadline);
    return finish(a->request, {.kind = FinalAnswer::Kind::failed, .timed_out = late});
  }
  if (const auto* a = std::get_if<scheduler::SetTimer>(&action))
    timers_.at(std::max(clock_.at(a->when),
                        lanes_[static_cast<std::size_t>(pool)]->last_bell + limits_.tick),
               [this, pool, name = a->id] { ring(pool, name); });
}

// Timers ring no more often than once a tick, but on time where none has rung just before. Rounding
// them up to a grid of ticks used up the tick that the module leaves for an answer to travel before
// its client gives up.
void Engine::ring(int pool, std::uint64_t name) {
  Lane& lane = *lanes_[static_cast<std::size_t>(pool)];
  TimePoint now = timers_.now(), allowed = lane.last_bell + limits_.tick;
  if (now < allowed) {
    timers_.at(allowed, [this, pool, name] { ring(pool, name); });
    return;
  }
  lane.last_bell = now;
  post(pool, scheduler::TimerFired{name});
}

std::optional<RequestId> Engine::take(Job job, ResponseSink& sink) {
  if (by_name_.contains(job.id))
    return std::nullopt;
  RequestId id = next_id_++;
  auto phase = last_answer_ <= timers_.now() ? operation_guard::Phase::ended
                                             : operation_guard::Phase::serving;
  auto verdict = operation_guard::may_start({.phase = phase, .client_waits = true});
  if (!verdict.allowed()) {  // nobody would be there to answer it any more
    refusals_.count(operation_guard::Operation::start, verdict.reason());
    ++counters_.answers_refused;
    ++figures_.at(static_cast<std::size_t>(job.class_index))->rejected;
    sink.on_final({.kind = FinalAnswer::Kind::refused, .retry_after = std::chrono::seconds(1)});
    return id;
  }
  if (by_name_.size() >=
      limits_.most_held) {  // the platform's own cap; the module never sees these
    ++counters_.answers_refused;
    ++figures_.at(static_cast<std::size_t>(job.class_index))->rejected;
    sink.on_final({.kind = FinalAnswer::Kind::refused, .retry_after = std::chrono::seconds(1)});
    return id;
  }
  ++counters_.requests_taken;
  ++pending_;
  TimePoint now = timers_.now();
  if (monitor_)
    monitor_->request_read(job.id, job.patience, now);
  if (job.patience > last_answer_ - now)
    job.patience = std::max(Duration::zero(), last_answer_ - now);
  job.limits_retries =
      settings_.classes.at(static_cast<std::size_t>(job.class_index)).idempotency !=
      scheduler::Idempotency::idempotent;
  by_name_.emplace(job.id, id);
  Request& request = requests_[id];
  request.taken = now;
  request.deadline = now + job.patience;
  request.sink = &sink;
  request.job = std::move(job);
  request.screening = screen_ != nullptr;
  std::optional<RequestFilter::Decision> said;
  if (!screen_)
    admit(id, request);
  else if ((said = screen_->screen(id, request.job, request.deadline)))
    screened(id, *said);
  return id;
}

void Engine::screened(RequestId id, const RequestFilter::Decision& said) {
  auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.screening)
    return;
  Request& request = it->second;
  if (said.refuse) {
    Duration most = from_ms(settings_.max_retry_after_ms);
    return finish(id, {.kind = FinalAnswer::Kind::refused,
                       .retry_after = settings_.retry_after ? std::min(said.come_back, most)
                                                            : Duration::zero()});
  }
  request.screening = false;
  request.queue_weight = said.queue_weight;
  if (!said.label.empty())
    request.sink->on_label(said.label);
  admit(id, request);
}

void Engine::admit(RequestId id, Request& request) {
  request.admitted = timers_.now();
  request.pool = routes_ ? routes_->choose(request.job) : 0;
  post(request.pool, arrival_of(id, request));
}

scheduler::RequestArrived Engine::arrival_of(RequestId id, const Request& request) const {
  const Job& job = request.job;
  scheduler::RequestArrived arrival;
  arrival.request = id;
  arrival.class_index = job.class_index;
  arrival.tenant = job.tenant;
  arrival.key = job.key;
  arrival.client_timeout_ms = to_ms(std::max(Duration::zero(), request.deadline - timers_.now()));
  arrival.queue_weight = request.queue_weight;
  arrival.hint = Milliseconds(job.hint).count();
  arrival.slots = job.slots;
  arrival.memory = job.memory;
  arrival.is_client_retry = job.repeat;
  return arrival;
}

// To the Dispatcher that held it, a request that leaves is one whose client has gone: nothing was
// sent, so nothing has to be called off. Its deadline stays what it was, and it counts once against
// its tenant's share.
void Engine::rehome(int pool) {
  if (!routes_)
    return;
  std::vector<RequestId> held;
  for (const auto& [id, request] : requests_)
    if (request.pool == pool && request.attempts.empty() && request.sink && !request.screening)
      held.push_back(id);
  std::sort(held.begin(), held.end());  // the order in which they came
  for (RequestId id : held) {
    Request& request = requests_.at(id);
    int now_in = routes_->choose(request.job);
    if (now_in == pool)
      continue;
    ++counters_.requests_rehomed;
    request.pool = now_in;
    post(pool, scheduler::ClientDisconnected{.request = id, .is_rerouted = true});
    post(now_in, arrival_of(id, request));
  }
}

void Engine::tell_end(const Request& request, PoolSelector::End how) {
  if (routes_ && !request.screening)
    routes_->ended(request.job, request.pool, request.admitted, how);
  if (screen_)
    screen_->ended(request.job, timers_.now() - request.taken, how);
}

void Engine::client_gone(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.sink)
    return;
  std::vector<AttemptRef> unsent;
  ++counters_.clients_gone;
  --pending_;
  it->second.sink = nullptr;
  tell_end(it->second, PoolSelector::End::gone);
  if (monitor_)
    monitor_->client_left(it->second.job.id, timers_.now()),
        monitor_->request_over(it->second.job.id);
  if (it->second.screening) {
    screen_->forget(id);
    return forget_if_over(id);
  }
  // Where the settings bar calling attempts off the module leaves them be; one that nothing has
  // been written of is no attempt yet, and nobody waits for it.
  for (std::size_t i = 0; !settings_.cancel && i < it->second.attempts.size(); ++i)
    if (it->second.attempts[i].out)
      unsent.push_back({id, static_cast<int>(i)});
  post(it->second.pool, scheduler::ClientDisconnected{id});
  for (AttemptRef ref : unsent)
    endpoints_->give_up_unsent(ref);
}

void Engine::send(const scheduler::SendAttempt& send) {
  auto it = requests_.find(send.request);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  AttemptRef ref{send.request, static_cast<int>(request.attempts.size())};
  TimePoint now = timers_.now(), until = request.deadline;
  if (send.timeout_ms != 0)
    until = std::min(until, now + from_ms(std::max(0.0, send.timeout_ms)));
  bool again = std::any_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& a) {
    return a.endpoint == send.endpoint && (a.out || a.may_send_callbacks);
  });
  TimePoint by = write_by(request);
  Attempt attempt{.endpoint = send.endpoint, .sent = now};
  attempt.timer = timers_.at(until, [this, ref] { recall(ref, true); });
  operation_guard::Verdict verdict = may_repeat(request, send.endpoint);
  request.attempts.push_back(attempt);
  ++counters_.attempts_started;
  ++attempts_out_;
  if (!verdict.allowed()) {
    refusals_.count(operation_guard::Operation::repeat, verdict.reason());
    log::warning(log::Subsystem::node, "repeat-forbidden",
                 {{"id", request.job.id}, {"why", operation_guard::to_string(verdict.reason())}});
    return attempt_ended(ref, {.outcome = AttemptOutcome::cancelled,
                               .delivery = DeliveryState::never_written,
                               .withheld = true});
  }
  endpoints_->start(
      ref, send.endpoint, request.job,
      {.until = until,
       .write_by = by,
       .idempotency =
           settings_.classes.at(static_cast<std::size_t>(request.job.class_index)).idempotency,
       .again = again});
}

operation_guard::Verdict Engine::may_repeat(const Request& request, EndpointId endpoint) const {
  operation_guard::RepeatFacts facts{
      .idempotency =
          settings_.classes.at(static_cast<std::size_t>(request.job.class_index)).idempotency,
      .parallel_allowed = settings_.concurrent_attempts,
      .in_window = timers_.now() <= write_by(request)};
  for (const Attempt& a : request.attempts) {
    facts.earlier_out = facts.earlier_out || a.out;
    facts.earlier_out_there = facts.earlier_out_there || (a.out && a.endpoint == endpoint);
    facts.earlier_may_have_run = facts.earlier_may_have_run || a.may_have_run;
  }
  return operation_guard::may_repeat(facts);
}

// The module sends keyed work again only within its window. What it sends near the window's end may
// find its connection up after it, when those who would know the repeat have forgotten the first.
TimePoint Engine::write_by(const Request& request) const {
  const scheduler::ClassSettings& class_settings =
      settings_.classes.at(static_cast<std::size_t>(request.job.class_index));
  TimePoint by = TimePoint::max();
  for (const Attempt& a : request.attempts)
    if (class_settings.idempotency == scheduler::Idempotency::idempotent_with_key &&
        (a.out || a.may_have_run))
      by = std::min(by, a.sent + from_ms(class_settings.deduplication_window_ms));
  return by;
}

Engine::Attempt* Engine::out(AttemptRef ref) {
  auto it = requests_.find(ref.request);
  if (it == requests_.end() || ref.attempt < 0)
    return nullptr;
  auto& attempts = it->second.attempts;
  auto place = static_cast<std::size_t>(ref.attempt);
  return place < attempts.size() && attempts[place].out ? &attempts[place] : nullptr;
}

// The attempt's outcome comes only when the outbound side has given it up, so that no other attempt
// of the request goes out while the endpoint may still hold this one.
void Engine::recall(AttemptRef ref, bool timed_out) {
  Attempt* attempt = out(ref);
  if (!attempt)
    return;
  if (std::exchange(attempt->giving_up, true))
    return;
  attempt->timed_out = timed_out;
  endpoints_->give_up(ref);
}

void Engine::attempt_started(AttemptRef ref) {
  Attempt* attempt = out(ref);
  if (!attempt || std::exchange(attempt->started, true))
    return;
  if (ResponseSink* sink = requests_.at(ref.request).sink)
    sink->on_progress({.kind = Progress::Kind::started, .attempt = ref.attempt});
  post(requests_.at(ref.request).pool, scheduler::AttemptStarted{ref.request, ref.attempt});
}

void Engine::attempt_progress(AttemptRef ref, double share) {
  if (!out(ref))
    return;
  if (ResponseSink* sink = requests_.at(ref.request).sink)
    sink->on_progress({.kind = Progress::Kind::running, .share = share, .attempt = ref.attempt});
}

void Engine::attempt_ended(AttemptRef ref, AttemptEnd end) {
  Attempt* attempt = out(ref);
  if (!attempt)
    return;
  attempt->out = false;
  attempt->may_send_callbacks = end.may_send_callbacks;
  --attempts_out_;
  timers_.cancel(attempt->timer);
  Request& request = requests_.at(ref.request);
  scheduler::AttemptFinished outcome;
  outcome.request = ref.request;
  outcome.attempt = ref.attempt;
  outcome.result = result_of(end);
  // Where one attempt at a time is allowed, none may follow one that may run yet.
  bool may_run_yet =
      end.outcome == AttemptOutcome::cancel_undelivered && !settings_.concurrent_attempts;
  if (outcome.result == AttemptResult::cancelled && (attempt->timed_out || may_run_yet))
    outcome.result = AttemptResult::timeout;
  if (end.withheld)
    outcome.result = AttemptResult::withheld;
  attempt->may_have_run = outcome.result != AttemptResult::rejected &&
                          outcome.result != AttemptResult::connect_failed &&
                          outcome.result != AttemptResult::withheld;
  outcome.elapsed_ms = to_ms(timers_.now() - attempt->sent);
  outcome.report = end.report;
  switch (outcome.result) {
    case AttemptResult::ok:
      ++counters_.attempts_served;
      break;
    case AttemptResult::error:
      ++counters_.attempts_error;
      break;
    case AttemptResult::rejected:
      ++counters_.attempts_turned_away;
      break;
    case AttemptResult::connect_failed:
      ++counters_.attempts_never_connected;
      break;
    case AttemptResult::reset:
      ++counters_.attempts_reset;
      break;
    case AttemptResult::timeout:
      request.expired = true;
      ++counters_.attempts_timed_out;
      break;
    default:
      ++counters_.attempts_cancelled;
  }
  bool served = outcome.result == AttemptResult::ok;
  int pool = request.pool;
  outcome.request_finished = served || !request.sink;
  if (served)  // the first result concludes the request by itself; `request` may be gone after this
    finish(ref.request, {.kind = FinalAnswer::Kind::served, .result = std::move(end.result)});
  post(pool, outcome);
}

void Engine::probed(EndpointId endpoint, bool ok, Duration elapsed,
                    const scheduler::LoadReport& report) {
  // The module sends no probes yet. With pools, the answer belongs to the lane that asked.
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    post(static_cast<int>(i), scheduler::HealthCheckResult{endpoint, ok, to_ms(elapsed), report});
}

void Engine::on_peer_message(int peer, const std::string& bytes) {
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    post(static_cast<int>(i), scheduler::PeerMessage{peer, bytes});
}

void Engine::members(const std::vector<bool>& lives) {
  lives_ = lives;
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    post(static_cast<int>(i), scheduler::MembershipChanged{lives});
}

void Engine::for_each_subset_entry(
    const std::function<void(int pool, const scheduler::SubsetEntry&)>& look) const {
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    for (const auto& at : lanes_[i]->homes.told().endpoints)
      look(static_cast<int>(i), at);
}

void Engine::for_each_lease(
    const std::function<void(int pool, const fleet::SlowStartLeases::EndpointLease&,
                             const scheduler::SlowStartBudget&)>& look) const {
  double now = clock_.unix_ms(timers_.now());
  for (std::size_t i = 0; i < lanes_.size(); ++i)
    for (const auto& [endpoint, turn] : lanes_[i]->turns.leases())
      look(static_cast<int>(i), turn, lanes_[i]->dispatcher.slow_start_budget(endpoint, now));
}

fleet::SlowStartLeases::Statistics Engine::lease_statistics() const {
  fleet::SlowStartLeases::Statistics all;
  for (const auto& lane : lanes_)
    all += lane->turns.statistics();
  return all;
}

void Engine::grants(bool on) {
  grants_ = on;
  for (const auto& lane : lanes_)
    lane->turns.grants(on);
}

void Engine::destinations(scheduler::EndpointList list, int pool) {
  post(pool, std::move(list));
}

void Engine::count_end(const Request& request, FinalAnswer::Kind kind) {
  --pending_;
  ClassFigures& figures = *figures_.at(static_cast<std::size_t>(request.job.class_index));
  switch (kind) {
    case FinalAnswer::Kind::served:
      return ++counters_.answers_served, void(++figures.completed);
    case FinalAnswer::Kind::refused:
      return ++counters_.answers_refused, void(++figures.rejected);
    case FinalAnswer::Kind::failed:
      return ++counters_.answers_failed, void(++figures.failed);
  }
}

void Engine::finish(RequestId id, FinalAnswer answer) {
  auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.sink)
    return;
  count_end(it->second, answer.kind);
  ResponseSink* sink = it->second.sink;
  it->second.sink = nullptr;
  tell_end(it->second, answer.kind == FinalAnswer::Kind::served    ? PoolSelector::End::served
                       : answer.kind == FinalAnswer::Kind::refused ? PoolSelector::End::refused
                                                                   : PoolSelector::End::failed);
  if (monitor_)
    monitor_->request_over(it->second.job.id);
  sink->on_final(std::move(answer));
  forget_if_over(id);
}

void Engine::forget_if_over(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.sink)
    return;
  for (const Attempt& attempt : it->second.attempts)
    if (attempt.out)
      return;
  // Not before: while an attempt is being called off, its endpoint and its call-backs know the
  // request by this name.
  by_name_.erase(it->second.job.id);
  requests_.erase(it);
}

}  // namespace keelflow
