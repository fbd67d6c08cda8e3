#include "outbound/outbound.h"

#include "outbound/load_report.h"
#include "outbound/outbound_call.h"

namespace keelflow {
namespace {
constexpr Duration kProbePatience = std::chrono::milliseconds(250);
}

// One probe: a GET beside the jobs.
class ProbeCall final : ClientConnection::User {
 public:
  ProbeCall(Outbound& owner, EndpointId endpoint)
      : owner_(owner), endpoint_(endpoint), sent_(owner.loop_.now()) {}
  ~ProbeCall() override { owner_.loop_.cancel(timer_); }

  void begin(const Destination& to) {
    host_ = to.host;
    connection_ = owner_.pool_.take(endpoint_, to.dial);
    timer_ = owner_.loop_.at(sent_ + (connection_ ? kProbePatience : Duration::zero()), [this] {
      owner_.pool_.forget(endpoint_);
      on_broken();
    });
    if (!connection_)
      return;
    connection_->attach(this);
    if (connection_->connected())
      on_connected();
  }

 private:
  void on_connected() override {
    connection_->send("GET /metrics/load HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n");
  }
  void on_head(const net::Head& head) override { ok_ = head.status == 200; }
  void on_body(std::string_view bytes) override { body_ += bytes; }
  void on_complete(bool reusable) override {
    if (reusable)
      owner_.pool_.give_back(endpoint_, std::move(connection_));
    end(ok_);
  }
  void on_broken() override { end(false); }

  void end(bool ok) {
    owner_.pool_.discard(std::move(connection_));
    Outbound& owner = owner_;
    auto it = owner.probes_.find(this);
    owner.loop_.dispose(std::move(it->second));
    owner.probes_.erase(it);
    owner.engine_.on_health_check_result(endpoint_, ok, owner.loop_.now() - sent_,
                                         read_load_report(body_, owner.settings_.report_names));
  }

  Outbound& owner_;
  EndpointId endpoint_;
  TimePoint sent_;
  TimerId timer_ = 0;
  std::string host_, body_;
  std::unique_ptr<ClientConnection> connection_;
  bool ok_ = false;
};

Outbound::Outbound(net::EventLoop& loop, Engine& engine, DestinationSet& destinations, Pool& pool,
                   Settings settings, Counters& counters)
    : loop_(loop),
      engine_(engine),
      destinations_(destinations),
      pool_(pool),
      settings_(std::move(settings)),
      counters_(counters) {}

Outbound::~Outbound() = default;

void Outbound::start(AttemptRef ref, EndpointId endpoint, const Job& job, const Terms& terms) {
  const Destination* to = destinations_.find(endpoint);
  if (!to)
    return engine_.on_attempt_ended(
        ref, {.outcome = AttemptOutcome::broken, .delivery = DeliveryState::never_written});
  auto& call = calls_[{ref.request, ref.attempt}];
  call = std::make_unique<OutboundCall>(*this, ref, endpoint, *to, job, terms);
  by_name_[call->id()] = ref.request;
  call->begin();
}

void Outbound::cancel(AttemptRef ref) {
  auto it = calls_.find({ref.request, ref.attempt});
  if (it != calls_.end())
    it->second->give_up();
}

void Outbound::cancel_unsent(AttemptRef ref) {
  auto it = calls_.find({ref.request, ref.attempt});
  if (it != calls_.end() && it->second->unsent())
    it->second->give_up();
}

void Outbound::send_health_check(EndpointId endpoint) {
  const Destination* to = destinations_.find(endpoint);
  if (!to)
    return engine_.on_health_check_result(endpoint, false, {}, {});
  auto call = std::make_unique<ProbeCall>(*this, endpoint);
  ProbeCall* raw = call.get();
  probes_.emplace(raw, std::move(call));
  raw->begin(*to);
}

void Outbound::resume_withheld() {
  std::vector<std::pair<RequestId, int>> all;
  for (const auto& [ref, call] : calls_)
    all.push_back(ref);
  for (const auto& ref : all)
    if (auto it = calls_.find(ref); it != calls_.end())
      it->second->resume_withheld();
}

bool Outbound::news(const StatusCallback& news) {
  ++counters_.news_received;
  auto name = by_name_.find(news.id);
  if (name != by_name_.end())
    for (auto it = calls_.lower_bound({name->second, 0});
         it != calls_.end() && it->first.first == name->second; ++it)
      if (it->second->host() == news.from)
        return it->second->news(news), true;
  ++counters_.news_unmatched;
  return false;
}

void Outbound::ended(OutboundCall& call, AttemptEnd end) {
  AttemptRef ref = call.ref();
  auto it = calls_.find({ref.request, ref.attempt});
  auto next = calls_.lower_bound({ref.request, 0});
  bool alone =
      next == it && (std::next(it) == calls_.end() || std::next(it)->first.first != ref.request);
  if (alone)
    by_name_.erase(call.id());
  loop_.dispose(std::move(it->second));  // it is calling us
  calls_.erase(it);
  if (monitor_)
    monitor_->attempt_ended(
        call.id(), call.host(),
        end.outcome == AttemptOutcome::rejected || end.delivery < DeliveryState::fully_written);
  engine_.on_attempt_ended(ref, std::move(end));
}

}  // namespace keelflow
