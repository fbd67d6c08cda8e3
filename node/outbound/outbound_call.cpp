#include "outbound/outbound_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "log/log.h"
#include "outbound/load_report.h"

namespace keelflow {
namespace {

// A request that must not run twice goes on a new connection, and its last byte a little after the
// others: by then it has shown whether the connection is reset. Up to there it never ran, and may
// be sent again.
constexpr Duration kSettle = std::chrono::milliseconds(5);
constexpr Duration kBodyPatience =
    std::chrono::milliseconds(100);  // from an answer's head to its end
// An endpoint may answer twice, some milliseconds apart. On a connection that was used so shortly
// before, an answer that ends the attempt may be the second one to the request before.
constexpr Duration kSecondAnswer = std::chrono::milliseconds(100);
constexpr int kMostDeletes = 3;  // tries to tell an endpoint that its job is given up
constexpr Duration kDeletePause = std::chrono::milliseconds(100);
constexpr Duration kDeletePatience = std::chrono::milliseconds(300);

}  // namespace

OutboundCall::OutboundCall(Outbound& owner, AttemptRef ref, EndpointId endpoint,
                           const Destination& to, const Job& job, const EndpointPort::Terms& terms)
    : owner_(owner),
      ref_(ref),
      endpoint_(endpoint),
      host_(to.host),
      dial_(to.dial),
      payload_(job.payload),
      wants_progress_(job.wants_progress),
      once_(job.has_limited_retries),
      terms_(terms) {}

OutboundCall::~OutboundCall() {
  owner_.loop_.cancel(timer_);
  owner_.pool_.discard(std::move(connection_));
}

void OutboundCall::begin() {
  connection_ = owner_.pool_.take(endpoint_, dial_, once_);
  if (!connection_)
    return end(AttemptOutcome::broken);
  connection_->attach(this);
  soon_ = connection_->stood() > Duration::zero() && connection_->stood() < kSecondAnswer;
  if (connection_->connected())
    return write_request();
  timer_ = owner_.loop_.at(owner_.loop_.now() + owner_.settings_.connect_timeout,
                           [this] { on_broken(); });
}

void OutboundCall::on_connected() {
  owner_.loop_.cancel(timer_);
  if (state_ == State::giving_up)
    return send_delete();
  write_request();
}

void OutboundCall::resume_withheld() {
  if (std::exchange(waits_for_list_, false) && state_ == State::connecting)
    write_request();
}

// What holds at this moment: the connection may have come up late.
operation_guard::SendVerdict OutboundCall::may_send() const {
  TimePoint now = owner_.loop_.now();
  const Destination* endpoint = owner_.destinations_.find(endpoint_);
  return operation_guard::may_send(
      {.is_list_lease_valid = owner_.destinations_.may_send_by_list(),
       .is_endpoint_ready = endpoint && endpoint->accepts_new_work(),
       .is_address_current = endpoint && endpoint->dial == dial_,
       .has_waiting_client = owner_.engine_.is_client_waiting(ref_.request),
       .is_in_window = now <= terms_.write_by,
       .time_left = terms_.until - now});
}

void OutboundCall::withhold(operation_guard::Reason reason) {
  owner_.engine_.count_refusal(operation_guard::Operation::send, reason);
  log::info(log::Subsystem::node, "send-forbidden",
            {{"id", payload_->id}, {"host", host_}, {"why", operation_guard::to_string(reason)}});
}

void OutboundCall::write_request() {
  auto verdict = may_send();
  waits_for_list_ = verdict.reason() == operation_guard::Reason::list_lease_expired;
  if (!verdict.allowed())
    withhold(verdict.reason());
  if (waits_for_list_)
    return;
  if (!verdict.allowed())
    return on_broken();
  state_ = State::asked;
  auto left =
      std::chrono::floor<std::chrono::milliseconds>(terms_.until - owner_.loop_.now()).count();
  const Payload& p = *payload_;
  std::string request = p.method + " " + p.target + " HTTP/1.1\r\nHost: " + host_ +
                        "\r\nX-Trace-Id: " + p.id + "\r\n";
  if (!p.idempotency_key.empty())
    request += "Idempotency-Key: " + p.idempotency_key + "\r\n";
  if (wants_progress_)
    request += "Accept: text/event-stream\r\n";
  request += "X-Expires-In-Ms: " + std::to_string(std::max<std::int64_t>(1, left)) + "\r\n";
  request += "Content-Length: " + std::to_string(p.body.size()) + "\r\n\r\n" + p.body;
  if (owner_.monitor_)
    owner_.monitor_->attempt_written(host_, request, !once_, terms_.idempotency,
                                     owner_.loop_.now());
  connection_->send_job(verdict.permit(), request, once_ ? 1 : 0);
  if (once_) {
    rest_ = request.back();
    timer_ = owner_.loop_.at(owner_.loop_.now() + kSettle, [this] { write_rest(); });
    return;
  }
  watch_connection();
}

// Without its last byte it never runs.
void OutboundCall::write_rest() {
  auto verdict = may_send();
  if (!verdict.allowed()) {
    withhold(verdict.reason());
    return on_broken();
  }
  if (owner_.monitor_)
    owner_.monitor_->last_byte_written(payload_->id, terms_.idempotency, owner_.loop_.now());
  connection_->send_rest(verdict.permit(), std::exchange(rest_, {}));
  watch_connection();
}

void OutboundCall::watch_connection() {
  // A machine that is cut off leaves connections open and says nothing. What is written to another
  // of them may have run and can often not be repeated; on a new connection, which never comes up,
  // it has not.
  timer_ = owner_.loop_.at(owner_.loop_.now() + owner_.settings_.connect_timeout,
                           [this] { owner_.pool_.forget(endpoint_); });
}

void OutboundCall::on_flushed() {
  if (state_ != State::asked || delivery() < DeliveryState::fully_written)
    return;
  if (!std::exchange(counted_, true))
    ++owner_.counters_.attempts_written;
}

// Once the connection is gone, what it had reached is what counts.
DeliveryState OutboundCall::delivery() const {
  return connection_ ? std::max(reached_, connection_->delivery()) : reached_;
}

void OutboundCall::on_head(const net::Head& head) {
  if (state_ == State::giving_up || state_ == State::ended)
    return;
  owner_.loop_.cancel(timer_);
  status_ = head.status;
  if (owner_.monitor_ && status_ == attempt_evidence::kAcceptedStatus && rest_.empty())
    owner_.monitor_->attempt_accepted(payload_->id, host_);
  never_ran_ = head.find("X-Never-Ran") == "1";
  report_ = read_load_report(head.find("Endpoint-Load-Metrics"), owner_.settings_.report_names);
  reached_ = std::max(reached_, delivery());
  if (status_ == 200 && head.find("Content-Type").starts_with("text/event-stream")) {
    state_ = State::streaming;
    reached_ = DeliveryState::accepted;
    connection_->allow_stream();
    return;
  }
  timer_ = owner_.loop_.at(owner_.loop_.now() + kBodyPatience, [this] { on_broken(); });
}

void OutboundCall::on_body(std::string_view bytes) {
  if (state_ != State::streaming)
    return;
  bool fine = events_.feed(bytes, [this](const SseEvent& event) {
    if (state_ == State::streaming)
      read_event(event);
  });
  if (!fine && state_ == State::streaming)
    on_broken();
}

void OutboundCall::on_complete(bool reusable) {
  if (state_ == State::streaming)
    return on_broken();  // an end without a final event
  if (!rest_.empty())
    reusable = false, reached_ = delivery();
  owner_.loop_.cancel(timer_);
  auto connection = std::move(connection_);
  if (reusable)
    owner_.pool_.give_back(endpoint_, std::move(connection));
  else
    owner_.pool_.discard(std::move(connection));
  if (state_ == State::giving_up) {
    report_release();
    return end(doubtful_.value_or(AttemptOutcome::cancelled));
  }
  if (state_ != State::asked)
    return;
  if (status_ == attempt_evidence::kAcceptedStatus && !rest_.empty())
    return on_broken();  // it cannot have taken what it does not have yet
  answered();
}

void OutboundCall::answered() {
  if (status_ == attempt_evidence::kAcceptedStatus) {
    state_ = State::accepted;
    reached_ = DeliveryState::accepted;
    return;
  }
  report_release();
  bool turned_away = never_ran_ && (status_ == 503 || status_ == 504);
  if (turned_away && told_)
    return call_off(AttemptOutcome::error);  // it has reported the start of what never ran
  AttemptOutcome outcome = turned_away ? AttemptOutcome::rejected : AttemptOutcome::error;
  if (soon_)
    return call_off(outcome);
  end(outcome, {}, report_);
}

// Keeps what the connection shows, which is asked for after it has been discarded.
void OutboundCall::read_evidence() {
  reached_ = delivery();
  if (connection_)
    may_be_accepted_ = attempt_evidence::may_be_acceptance(connection_->response_start());
}

attempt_evidence::Conclusion OutboundCall::conclusion() const {
  return attempt_evidence::conclude({.is_fully_written = reached_ >= DeliveryState::fully_written,
                                     .is_streaming = state_ == State::streaming,
                                     .has_status_callback = told_,
                                     .may_be_acceptance = may_be_accepted_,
                                     .response_status = status_});
}

// The connection ended, or its response is malformed or lacks its end.
void OutboundCall::on_broken() {
  if (state_ == State::giving_up)
    return on_delete_failed();
  read_evidence();
  if (connection_ && status_ == 0)
    owner_.pool_.worn(connection_->stood());
  owner_.pool_.discard(std::move(connection_));
  owner_.loop_.cancel(timer_);
  switch (conclusion()) {
    case attempt_evidence::Conclusion::accepted:
      return answered();
    case attempt_evidence::Conclusion::may_be_running:
      return call_off(AttemptOutcome::broken);
    case attempt_evidence::Conclusion::never_ran:
    case attempt_evidence::Conclusion::ended:
      return end(AttemptOutcome::broken);
  }
}

void OutboundCall::on_delete_failed() {
  owner_.pool_.discard(std::move(connection_));
  owner_.loop_.cancel(timer_);
  owner_.pool_.forget(endpoint_);
  if (deletes_ < most_deletes_) {
    timer_ = owner_.loop_.at(owner_.loop_.now() + kDeletePause, [this] { send_delete(); });
    return;
  }
  if (!may_be_running_)
    return end(doubtful_.value_or(AttemptOutcome::cancelled));
  ++owner_.counters_.give_ups_unheard;
  end(AttemptOutcome::cancel_undelivered);
}

// Before any response the connection's end gives the attempt up. The 202 may be on its way, though,
// so an endpoint that has had the whole request is told by name as well: once, as a silent machine
// would else hold up the next attempt. One that has shown that it has the job is told until it
// answers.
void OutboundCall::give_up() {
  if (state_ == State::ended || state_ == State::giving_up)
    return;
  read_evidence();
  owner_.loop_.cancel(timer_);
  owner_.pool_.discard(std::move(connection_));
  attempt_evidence::Conclusion found = conclusion();
  if (found == attempt_evidence::Conclusion::never_ran || state_ == State::streaming)
    return end(AttemptOutcome::cancelled);
  may_be_running_ = found != attempt_evidence::Conclusion::ended;
  most_deletes_ = may_be_running_ ? kMostDeletes : 1;
  state_ = State::giving_up;
  send_delete();
}

void OutboundCall::send_delete() {
  owner_.loop_.cancel(timer_);
  if (!connection_) {
    connection_ = owner_.pool_.take(endpoint_, dial_);
    if (!connection_ || connection_->stood() == Duration::zero())
      ++deletes_;  // an old one proves nothing
    if (!connection_)
      return on_broken();
    connection_->attach(this);
  }
  bool up = connection_->connected();
  timer_ = owner_.loop_.at(
      owner_.loop_.now() + (up ? kDeletePatience : owner_.settings_.connect_timeout), [this] {
        connection_->stood({});  // silent, which has nothing to do with its age
        on_broken();
      });
  if (!up)
    return;
  connection_->send("DELETE /jobs/" + payload_->id + " HTTP/1.1\r\nHost: " + host_ +
                    "\r\nContent-Length: 0\r\n\r\n");
}

void OutboundCall::report_release() {
  if (owner_.monitor_)
    owner_.monitor_->attempt_released(payload_->id, host_);
}

void OutboundCall::news(const StatusCallback& news) {
  hear(news, !terms_.expects_earlier_callbacks);
}

// `certain`: it is of this attempt and no other.
void OutboundCall::hear(const StatusCallback& news, bool certain) {
  // A call-back that comes before the last byte is out belongs to an earlier attempt at the same
  // endpoint.
  if (state_ == State::ended || delivery() < DeliveryState::fully_written) {
    ++owner_.counters_.news_unmatched;
    return;
  }
  bool over = news.state == "done" || news.state == "failed" || news.state == "returned" ||
              news.state == "lost";
  if (over)
    report_release();
  else if (owner_.monitor_ && state_ != State::streaming)
    owner_.monitor_->attempt_accepted(payload_->id, host_);
  if (news.state == "done")
    return end(AttemptOutcome::served, news.result, news.report);
  told_ = true;
  if (over && !certain)
    return call_off(AttemptOutcome::error);
  if (news.state == "failed")
    return end(AttemptOutcome::error, {}, news.report);
  if (news.state == "returned")
    return end(AttemptOutcome::rejected, {}, news.report);
  if (news.state == "lost")
    return reached_ = delivery(), end(AttemptOutcome::broken, {}, news.report);
  if (state_ == State::giving_up)
    return;
  if (news.state == "started")
    owner_.engine_.on_attempt_started(ref_);
  if (news.state == "running")
    owner_.engine_.on_attempt_progress(ref_, news.share);
}

// A call-back names no attempt and comes again until it has been answered: where this endpoint has
// had the request before, an end may be that of the earlier attempt. An answer may be the second
// one to another request. In both cases the attempt is called off, which makes its end true.
void OutboundCall::call_off(AttemptOutcome outcome) {
  ++owner_.counters_.answers_doubted;
  doubtful_ = outcome;
  give_up();
}

// The same words as in the call-backs: a stream is these, told on one connection.
void OutboundCall::read_event(const SseEvent& event) {
  StatusCallback told{.id = payload_->id, .from = host_, .state = event.type, .result = {}};
  if (event.type == "done") {
    told.result = event.data;
  } else if (event.type == "progress" || event.type == "running") {
    auto data = nlohmann::json::parse(event.data, nullptr, false);
    if (!data.is_object() || !data.contains("share") || !data["share"].is_number())
      return;
    told.state = "running";
    told.share = data["share"].get<double>();
  }
  hear(told, true);
}

void OutboundCall::end(AttemptOutcome outcome, std::string result,
                       const scheduler::LoadReport& report) {
  State was = std::exchange(state_, State::ended);
  if (was == State::ended)
    return;
  owner_.loop_.cancel(timer_);
  // Its own complete answer says that it was not taken.
  bool refused = was == State::asked && status_ != 0 && outcome != AttemptOutcome::broken && !told_;
  reached_ = delivery();
  // It is deleted at the end of the turn only: a connection that comes up in this same turn must
  // find nothing to write.
  owner_.pool_.discard(std::move(connection_));
  owner_.ended(*this, {.outcome = outcome,
                       .delivery = delivery(),
                       .withheld = waits_for_list_,
                       .may_send_callbacks = !refused && delivery() >= DeliveryState::fully_written,
                       .result = std::move(result),
                       .report = report});
}

}  // namespace keelflow
