#include "core/engine.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace keelflow {

namespace {

// Retry-After of rejections that the Engine makes without the scheduler.
constexpr Duration kRetryAfterOverload = std::chrono::seconds(1);

RequestOutcome outcome_of(FinalAnswer::Kind kind) {
  switch (kind) {
    case FinalAnswer::Kind::served:
      return RequestOutcome::served;
    case FinalAnswer::Kind::refused:
      return RequestOutcome::rejected;
    case FinalAnswer::Kind::failed:
      break;
  }
  return RequestOutcome::failed;
}

}  // namespace

Engine::Engine(const scheduler::Settings& settings, std::uint64_t seed, Limits limits,
               TimerPort& timers, const UnixClock& clock, Counters& counters)
    : limits_(limits),
      timers_(timers),
      counters_(counters),
      pools_(settings, seed, limits.tick, timers, clock,
             {.execute = [this](const scheduler::Action& action) { execute(action); },
              .on_handled =
                  [this](const scheduler::Event& event) {
                    on_handled(event);
                  }}),
      attempts_(requests_, pools_.settings(), timers, counters) {
  ensure_pools(1);
  name_classes(std::vector<std::string>(settings.classes.size()));
}

void Engine::name_classes(const std::vector<std::string>& names) {
  answer_counts_.clear();
  for (const std::string& name : names)
    answer_counts_.push_back(&counters_.classes[name]);
}

void Engine::change_settings(const scheduler::Settings& settings,
                             const std::vector<int>& previous_classes, Limits limits) {
  limits_ = limits;
  pools_.set_tick(limits.tick);
  pools_.change_settings(settings, previous_classes);
}

bool Engine::is_client_waiting(RequestId id) const {
  const Request* request = requests_.find(id);
  return request && request->has_client();
}

void Engine::set_sibling(std::function<void(const std::string&)> send) {
  send_to_sibling_ = std::move(send);
  pools_.post_to_all(scheduler::SiblingProcess{send_to_sibling_ != nullptr});
}

void Engine::on_handled(const scheduler::Event& event) {
  if (const auto* finished = std::get_if<scheduler::AttemptFinished>(&event))
    requests_.erase_if_complete(finished->request);
  const auto* disconnected = std::get_if<scheduler::ClientDisconnected>(&event);
  if (disconnected && disconnected->is_rerouted)
    return complete_reroute(disconnected->request);
  if (disconnected)
    requests_.erase_if_complete(disconnected->request);
}

void Engine::execute(const scheduler::Action& action) {
  if (const auto* a = std::get_if<scheduler::SendAttempt>(&action))
    return send(*a);
  if (const auto* a = std::get_if<scheduler::CancelAttempt>(&action))
    return cancel({a->request, a->attempt}, false);
  if (const auto* a = std::get_if<scheduler::SendHealthCheck>(&action)) {
    ++counters_.probes_sent;
    return endpoints_->send_health_check(a->endpoint);
  }
  if (const auto* a = std::get_if<scheduler::SendPeerMessage>(&action))
    return send_to_peer(*a);
  if (const auto* a = std::get_if<scheduler::RejectRequest>(&action))
    return finish(a->request,
                  {.kind = FinalAnswer::Kind::refused, .retry_after = from_ms(a->retry_after_ms)});
  if (const auto* a = std::get_if<scheduler::FailRequest>(&action))
    return fail(a->request);
}

// A message to this node's own rank is for its sibling process.
void Engine::send_to_peer(const scheduler::SendPeerMessage& message) {
  if (message.peer == settings().rank) {
    if (send_to_sibling_)
      send_to_sibling_(message.bytes);
  } else if (peers_) {
    peers_->send_datagram(message.peer, message.bytes);
  }
}

void Engine::reject_at_once(const Job& job, ResponseSink& sink) {
  ++counters_.answers_refused;
  ++answer_counts_of(job).rejected;
  sink.on_final({.kind = FinalAnswer::Kind::refused, .retry_after = kRetryAfterOverload});
}

std::optional<RequestId> Engine::submit(Job job, ResponseSink& sink) {
  if (requests_.contains_name(job.id))
    return std::nullopt;
  RequestId id = requests_.next_id();
  auto phase = shutdown_deadline_ <= timers_.now() ? operation_guard::Phase::ended
                                                   : operation_guard::Phase::serving;
  auto verdict = operation_guard::may_start({.phase = phase, .has_waiting_client = true});
  if (!verdict.allowed()) {  // the process would end before it could answer
    refusals_.count(operation_guard::Operation::start, verdict.reason());
    reject_at_once(job, sink);
    return id;
  }
  // The platform's limit is enforced before the scheduler gets the request.
  if (requests_.size() >= limits_.max_open_requests) {
    reject_at_once(job, sink);
    return id;
  }
  ++counters_.requests_taken;
  ++pending_;
  TimePoint now = timers_.now();
  if (monitor_)
    monitor_->request_read(job.id, job.client_timeout, now);
  if (job.client_timeout > shutdown_deadline_ - now)
    job.client_timeout = std::max(Duration::zero(), shutdown_deadline_ - now);
  job.has_limited_retries =
      settings().classes.at(static_cast<std::size_t>(job.class_index)).idempotency !=
      scheduler::Idempotency::idempotent;
  Request& request = requests_.add(id, std::move(job));
  request.read_time = now;
  request.deadline = now + request.job.client_timeout;
  request.sink = &sink;
  request.awaits_filter = filter_ != nullptr;
  if (!filter_)
    admit(id, request);
  else if (auto decision = filter_->decide(id, request.job, request.deadline))
    on_filter_decision(id, *decision);
  return id;
}

void Engine::on_filter_decision(RequestId id, const RequestFilter::Decision& decision) {
  Request* request = requests_.find(id);
  if (!request || !request->awaits_filter)
    return;
  if (decision.is_rejected) {
    Duration max_retry_after = from_ms(settings().max_retry_after_ms);
    Duration retry_after =
        settings().retry_after ? std::min(decision.retry_after, max_retry_after) : Duration::zero();
    return finish(id, {.kind = FinalAnswer::Kind::refused, .retry_after = retry_after});
  }
  request->awaits_filter = false;
  request->queue_weight = decision.queue_weight;
  if (!decision.label.empty())
    request->sink->on_label(decision.label);
  admit(id, *request);
}

void Engine::admit(RequestId id, Request& request) {
  request.admitted = timers_.now();
  request.pool = selector_ ? selector_->choose(request.job) : 0;
  pools_.post(request.pool, arrival_of(id, request, timers_.now()));
}

// The previous Dispatcher gets an event as if the client of a rerouted request had disconnected.
// Nothing was sent, so nothing has to be cancelled. Handling that event may end or send requests
// that come later in the list, so each is looked up when its turn comes.
void Engine::reroute(int pool) {
  if (!selector_)
    return;
  for (RequestId id : requests_.reroutable_requests(pool)) {
    Request* request = requests_.find(id);
    if (!request || !request->is_reroutable_from(pool))
      continue;
    request->pool = selector_->choose(request->job);
    if (request->pool != pool)
      pools_.post(pool, scheduler::ClientDisconnected{.request = id, .is_rerouted = true});
  }
}

// The previous Dispatcher has released the request. The request keeps its deadline and counts only
// once against its tenant's quota.
void Engine::complete_reroute(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || !request->has_client())
    return;
  ++counters_.requests_rehomed;
  pools_.post(request->pool, arrival_of(id, *request, timers_.now()));
}

void Engine::report_outcome(const Request& request, RequestOutcome outcome) {
  if (selector_ && !request.awaits_filter)
    selector_->on_request_ended(request.job, request.pool, request.admitted, outcome);
  if (filter_)
    filter_->on_request_ended(request.job, timers_.now() - request.read_time, outcome);
}

void Engine::on_client_disconnected(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || !request->has_client())
    return;
  ++counters_.clients_gone;
  --pending_;
  request->sink = nullptr;
  report_outcome(*request, RequestOutcome::client_disconnected);
  if (monitor_) {
    monitor_->client_left(request->job.id, timers_.now());
    monitor_->request_completed(request->job.id);
  }
  if (request->awaits_filter) {
    filter_->on_client_disconnected(id);
    return requests_.erase_if_complete(id);
  }
  // If the settings forbid cancelling, the scheduler does not cancel attempts. Attempts that have
  // not been fully written are cancelled here, since no client waits for them.
  std::vector<AttemptRef> unsent;
  for (std::size_t i = 0; !settings().cancel && i < request->attempts.size(); ++i) {
    if (request->attempts[i].is_open())
      unsent.push_back({id, static_cast<int>(i)});
  }
  pools_.post(request->pool, scheduler::ClientDisconnected{id});
  for (AttemptRef ref : unsent)
    endpoints_->cancel_unsent(ref);
}

void Engine::send(const scheduler::SendAttempt& send) {
  Request* request = requests_.find(send.request);
  if (!request)
    return;
  AttemptRef ref{send.request, static_cast<int>(request->attempts.size())};
  TimePoint now = timers_.now();
  TimePoint until = request->deadline;
  if (send.timeout_ms != 0)
    until = std::min(until, now + from_ms(std::max(0.0, send.timeout_ms)));
  EndpointPort::Terms terms{
      .until = until,
      .write_by = attempts_.write_deadline(*request),
      .idempotency =
          settings().classes.at(static_cast<std::size_t>(request->job.class_index)).idempotency,
      .expects_earlier_callbacks = AttemptTracker::may_receive_callbacks(*request, send.endpoint)};
  Attempt attempt{.endpoint = send.endpoint, .sent = now};
  attempt.timer = timers_.at(until, [this, ref] { cancel(ref, true); });
  operation_guard::Verdict verdict = attempts_.may_repeat(*request, send.endpoint);
  attempts_.add(*request, attempt);
  if (verdict.allowed() && request->has_client())
    return endpoints_->start(ref, send.endpoint, request->job, terms);
  if (!verdict.allowed()) {
    refusals_.count(operation_guard::Operation::repeat, verdict.reason());
    log::warning(log::Subsystem::node, "repeat-forbidden",
                 {{"id", request->job.id}, {"why", operation_guard::to_string(verdict.reason())}});
  } else {  // the client left while an earlier action of the same event was executed
    refusals_.count(operation_guard::Operation::send, operation_guard::Reason::client_disconnected);
  }
  on_attempt_ended(ref, {.outcome = AttemptOutcome::cancelled,
                         .delivery = DeliveryState::never_written,
                         .withheld = true});
}

// The scheduler gets the outcome only after the outbound side has ended the attempt, so that no
// other attempt of the request is sent while the endpoint may still hold this one.
void Engine::cancel(AttemptRef ref, bool has_timed_out) {
  if (attempts_.on_cancel(ref, has_timed_out))
    endpoints_->cancel(ref);
}

void Engine::on_attempt_started(AttemptRef ref) {
  if (!attempts_.on_started(ref))
    return;
  const Request& request = *requests_.find(ref.request);  // exists: the attempt is open
  int pool = request.pool;
  if (ResponseSink* sink = request.sink)
    sink->on_progress({.kind = Progress::Kind::started, .attempt = ref.attempt});
  pools_.post(pool, scheduler::AttemptStarted{ref.request, ref.attempt});
}

void Engine::on_attempt_progress(AttemptRef ref, double share) {
  if (!attempts_.find_open(ref))
    return;
  if (ResponseSink* sink = requests_.find(ref.request)->sink)
    sink->on_progress({.kind = Progress::Kind::running, .share = share, .attempt = ref.attempt});
}

void Engine::on_attempt_ended(AttemptRef ref, AttemptEnd end) {
  if (!attempts_.find_open(ref))
    return;
  scheduler::AttemptFinished finished = attempts_.on_ended(ref, end);
  const Request& request = *requests_.find(ref.request);
  bool served = finished.result == scheduler::AttemptResult::ok;
  int pool = request.pool;
  finished.request_finished = served || !request.has_client();
  if (served)  // the first result completes the request; `request` may dangle afterwards
    finish(ref.request, {.kind = FinalAnswer::Kind::served, .result = std::move(end.result)});
  pools_.post(pool, finished);
}

// The scheduler does not send health checks yet. Once it does, the result should go only to the
// pool that requested it.
void Engine::on_health_check_result(EndpointId endpoint, bool ok, Duration elapsed,
                                    const scheduler::LoadReport& report) {
  pools_.post_to_all(scheduler::HealthCheckResult{endpoint, ok, to_ms(elapsed), report});
}

void Engine::on_peer_message(int peer, const std::string& bytes) {
  pools_.post_to_all(scheduler::PeerMessage{peer, bytes});
}

void Engine::on_endpoint_list(scheduler::EndpointList list, int pool) {
  pools_.post(pool, std::move(list));
}

void Engine::fail(RequestId id) {
  const Request* request = requests_.find(id);
  bool is_late =
      request && (request->has_timed_out || timers_.now() + 2 * limits_.tick >= request->deadline);
  finish(id, {.kind = FinalAnswer::Kind::failed, .timed_out = is_late});
}

void Engine::count_answer(const Job& job, FinalAnswer::Kind kind) {
  --pending_;
  ClassAnswerCounts& answer_counts = answer_counts_of(job);
  switch (kind) {
    case FinalAnswer::Kind::served:
      ++counters_.answers_served;
      ++answer_counts.completed;
      break;
    case FinalAnswer::Kind::refused:
      ++counters_.answers_refused;
      ++answer_counts.rejected;
      break;
    case FinalAnswer::Kind::failed:
      ++counters_.answers_failed;
      ++answer_counts.failed;
      break;
  }
}

void Engine::finish(RequestId id, FinalAnswer answer) {
  Request* request = requests_.find(id);
  if (!request || !request->has_client())
    return;
  count_answer(request->job, answer.kind);
  ResponseSink* sink = request->sink;
  request->sink = nullptr;
  report_outcome(*request, outcome_of(answer.kind));
  if (monitor_)
    monitor_->request_completed(request->job.id);
  sink->on_final(std::move(answer));
  requests_.erase_if_complete(id);
}

}  // namespace keelflow
