#include "inbound/platform_front.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "log/log.h"
#include "outbound/load_report.h"

namespace keelflow {
namespace {

constexpr std::int64_t kMostPatienceMs = 3600 * 1000;

template <typename T>
std::optional<T> number(std::string_view text, int base = 10) {
  T value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

double decimal(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && std::isfinite(value) && value > 0 ? value : 0;
}

// "name=value,name=value": the further figures that the request has in the simulator.
void read_props(std::string_view text, Job& job) {
  while (!text.empty()) {
    auto comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    auto equals = pair.find('=');
    if (equals == std::string_view::npos)
      continue;
    std::string_view name = pair.substr(0, equals);
    double value = decimal(pair.substr(equals + 1));
    if (value <= 0)
      continue;
    if (name == "slots" || name == "cores_needed")
      job.slots = value;
    if (name == "memory" || name == "mem_needed")
      job.memory = value;
  }
}

class PlainExchange final : public Exchange, public ResponseSink {
 public:
  PlainExchange(Engine& engine, InboundConnection& connection)
      : engine_(engine), connection_(connection) {}

  bool take(Job job) {
    auto id = engine_.submit(std::move(job), *this);
    if (id)
      id_ = *id;
    return id.has_value();
  }
  void on_final(FinalAnswer answer) override { respond_final(connection_, answer); }
  void on_client_gone() override { engine_.on_client_disconnected(id_); }

 private:
  Engine& engine_;
  InboundConnection& connection_;
  RequestId id_ = 0;
};

}  // namespace

std::variant<Job, Rejection> decode_job(HttpRequest request, const Names& names) {
  const net::Head& head = request.head;
  std::string_view path = head.path();
  std::string_view first = path.substr(
      1, path.find('/', 1) == std::string_view::npos ? path.npos : path.find('/', 1) - 1);
  Job job;
  job.class_index = first.empty() ? -1 : names.class_of(first);
  if (job.class_index < 0)
    return Rejection{404, "no such class\n"};
  if (head.method != "POST")
    return Rejection{405, "jobs are posted\n"};
  // One that comes twice may mean one thing here and another behind us.
  for (const char* once : {"X-Trace-Id", "X-Expires-In-Ms", "Idempotency-Key"})
    if (head.count(once) > 1)
      return Rejection{400, "a header came twice\n"};
  job.id = head.find("X-Trace-Id");
  if (job.id.empty() || job.id.size() > 128)
    return Rejection{400, "X-Trace-Id is missing or too long\n"};
  for (char c : job.id)  // it becomes part of a path
    if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_' && c != '.')
      return Rejection{400, "X-Trace-Id holds an odd character\n"};
  auto patience = number<std::int64_t>(head.find("X-Expires-In-Ms"));
  if (!patience || *patience < 0 || *patience > kMostPatienceMs)
    return Rejection{400, "X-Expires-In-Ms is missing or out of range\n"};
  job.client_timeout = std::chrono::milliseconds(*patience);
  job.tenant = Names::place(names.tenants,
                            head.find("X-Customer"));  // -1: it has no share, and uses up nobody's
  if (std::string_view key = head.find("X-Object"); !key.empty()) {
    // Keys that are no number still have to be the same one at every node.
    job.key = number<std::uint64_t>(key, 16).value_or(0);
    if (job.key == 0)
      job.key = 1 + std::uint64_t{endpoint_id(key)};
  }
  job.repeat = head.find("X-Second-Try") == "1";
  double hint = decimal(head.find("X-Size-Hint"));  // microseconds
  job.hint = std::chrono::microseconds(static_cast<std::int64_t>(std::min(hint, 1e12)));
  read_props(head.find("X-Props"), job);
  auto payload = std::make_shared<Payload>();
  payload->method = head.method;
  payload->target = head.target;
  payload->id = job.id;
  payload->idempotency_key = head.find("Idempotency-Key");
  for (unsigned char c : payload->idempotency_key)
    if (c < 32 || c > 126)
      return Rejection{400, "Idempotency-Key holds an odd character\n"};
  payload->body = std::move(request.body);
  job.bytes = payload->body.size() + payload->target.size() + payload->idempotency_key.size() +
              job.id.size();
  job.path = std::string_view(payload->target).substr(0, payload->target.find('?'));
  job.idempotency_key = payload->idempotency_key;
  job.payload = std::move(payload);
  return job;
}

std::optional<StatusCallback> decode_status_callback(std::string_view body,
                                                     const std::vector<std::string>& report_names) {
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  StatusCallback news;
  for (auto [key, into] :
       {std::pair{"id", &news.id}, {"from", &news.from}, {"state", &news.state}}) {
    if (!json.contains(key) || !json[key].is_string())
      return std::nullopt;
    *into = json[key].get<std::string>();
  }
  if (json.contains("share") && json["share"].is_number())
    news.share = json["share"].get<double>();
  if (json.contains("result"))
    news.result =
        json["result"].is_string() ? json["result"].get<std::string>() : json["result"].dump();
  if (json.contains("load") && json["load"].is_object()) {
    std::string text;
    for (const auto& [name, value] : json["load"].items())
      if (value.is_number())
        text += name + "=" + value.dump() + ",";
    news.report = read_load_report(text, report_names);
  }
  return news;
}

void respond_final(InboundConnection& connection, const FinalAnswer& answer) {
  switch (answer.kind) {
    case FinalAnswer::Kind::served:
      return connection.respond(200, answer.result);
    case FinalAnswer::Kind::refused: {
      ExtraHeaders headers;
      if (answer.retry_after > Duration::zero()) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", to_ms(answer.retry_after) / 1000);
        headers.emplace_back("Retry-After", seconds);
      }
      return connection.respond(503, "refused, trying again is harmless\n", headers);
    }
    case FinalAnswer::Kind::failed:
      return connection.respond(answer.timed_out ? 504 : 502, "failed\n");
  }
}

std::unique_ptr<Exchange> PlatformFront::on_request(InboundConnection& connection,
                                                    HttpRequest request) {
  std::string_view path = request.head.path();
  auto plain = [&](int status, std::string_view text) {
    return connection.respond(status, text), nullptr;
  };
  if (path == "/up" && request.head.method != "GET")
    return plain(405, "up\n");
  if (path == "/up")
    return ready && !ready() ? plain(503, "waits for the list of endpoints\n") : plain(200, "up\n");
  if (path == "/counters" && request.head.method == "GET") {
    counters_.log_dropped = log::dropped();
    return plain(200, counters_.text());
  }
  if (path == "/_jobs/news")
    return take_news(connection, request), nullptr;
  auto job = decode_job(std::move(request), config_.names);
  if (const auto* rejection = std::get_if<Rejection>(&job)) {
    ++counters_.requests_rejected;
    return plain(rejection->status, rejection->text);
  }
  return take_plain(connection, std::move(std::get<Job>(job)));
}

bool PlatformFront::turned_away(InboundConnection& connection) {
  if (connection.may_have_left()) {
    ++counters_.requests_rejected;
    connection.respond(503, "too much was sent ahead\n", {{"Retry-After", "1"}});
    return true;
  }
  if (!connection.crowded())
    return false;
  ++counters_.requests_rejected;
  connection.respond(503, "too many connections\n",
                     {{"Retry-After", "1"}, {"Connection", "close"}});
  return true;
}

bool PlatformFront::left_early(InboundConnection& connection) {
  if (!connection.client_left())
    return false;
  ++counters_.clients_gone;
  connection.abandon();
  return true;
}

std::unique_ptr<Exchange> PlatformFront::take_plain(InboundConnection& connection, Job job) {
  auto figures = [this,
                  class_index = static_cast<std::size_t>(job.class_index)]() -> ClassAnswerCounts& {
    return counters_.classes[config_.names.classes.at(class_index)];
  };
  if (left_early(connection))
    return nullptr;
  if (turned_away(connection))
    return ++figures().rejected, nullptr;
  auto exchange = std::make_unique<PlainExchange>(engine_, connection);
  if (!exchange->take(std::move(job))) {
    ++counters_.requests_rejected;
    ++figures().failed;
    connection.respond(400, "a request with this X-Trace-Id is open\n");
    return nullptr;
  }
  return exchange;
}

// Whatever a call-back says, the endpoint hears 200: it may be early, late, repeated or about a
// request of a former life, and an endpoint that hears anything else only tells it again.
void PlatformFront::take_news(InboundConnection& connection, const HttpRequest& request) {
  if (request.head.method != "POST")
    return connection.respond(405, "call-backs are posted\n");
  auto news = decode_status_callback(request.body, config_.report_names);
  if (!news) {
    ++counters_.requests_rejected;
    return connection.respond(400, "malformed call-back\n");
  }
  // Answered only when it is in good hands: what is not answered comes again.
  if (!outbound_.news(*news) && forward_status_callback && !forward_status_callback(request.body))
    return connection.abandon();
  connection.respond(200, "");
}

}  // namespace keelflow
