#include "invariants/monitor.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace keelflow::invariants {
namespace {

using namespace std::chrono_literals;

// The platform considers a list change received this long after it reached discovery.
constexpr Duration kListDeadline = 6s;
// Tolerances for a slow process or messages in transit, for the notification of a client's
// disconnection, and for the delay between computing the remaining time and writing it.
constexpr Duration kDrainTolerance = 200ms;
constexpr Duration kClientLeftTolerance = 100ms;
constexpr Duration kDeadlineTolerance = 150ms;
// Number of events kept for the report of a violation.
constexpr std::size_t kMaxEvents = 40;

// Returns the value of a header in a request's head, or an empty view if there is none.
std::string_view header(std::string_view bytes, std::string_view name) {
  std::string line_start = "\r\n" + std::string(name) + ": ";
  auto at = bytes.find(line_start);
  if (at == bytes.npos || at > bytes.find("\r\n\r\n"))
    return {};
  at += line_start.size();
  return bytes.substr(at, bytes.find("\r\n", at) - at);
}

std::optional<std::uint64_t> version_of(const nlohmann::json& list) {
  if (!list.contains("seq") || !list["seq"].is_number_unsigned())
    return std::nullopt;
  return list["seq"].get<std::uint64_t>();
}

bool is_ready(const nlohmann::json& entry) {
  return entry.contains("health") && entry["health"] == "ready";
}

}  // namespace

std::string_view to_string(Rule rule) {
  constexpr std::array<std::string_view, kRuleCount> names = {
      "drain", "stale-list", "one-attempt", "repeat", "client-gone", "deadline", "answer"};
  return names[static_cast<std::size_t>(rule)];
}

void Monitor::record(std::string event) {
  if (events_.size() >= kMaxEvents)
    events_.pop_front();
  events_.push_back(std::move(event));
}

std::string Monitor::last_events() const {
  std::string all;
  for (const std::string& event : events_)
    all += event + "\n";
  return all;
}

void Monitor::violate(Rule rule, const std::string& description) {
  ++violations_;
  ++by_rule_[static_cast<std::size_t>(rule)];
  record("violation " + std::string(to_string(rule)) + ": " + description);
  on_violation_(rule, description);
}

void Monitor::list_received(std::string_view object, TimePoint now) {
  auto list = nlohmann::json::parse(object, nullptr, false);
  if (!list.is_object() || !list.contains("hosts") || !list["hosts"].is_array())
    return;
  bool is_complete = list.contains("whole") && list["whole"] == true;
  std::uint64_t version = version_of(list).value_or(version_);
  if (!is_complete && version < version_)
    return;  // a later change has already been received
  version_ = version;
  // Hosts that a complete list does not name are not ready.
  if (is_complete)
    for (auto& [host, since] : not_ready_since_)
      since = since.value_or(now);
  for (const auto& entry : list["hosts"]) {
    if (!entry.is_object() || !entry.contains("host") || !entry["host"].is_string())
      continue;
    auto& since = not_ready_since_[entry["host"].get<std::string>()];
    if (is_ready(entry))
      since.reset();
    else
      since = since.value_or(now);
  }
  confirmed_ = now;
  record("list " + std::to_string(list["hosts"].size()) + (is_complete ? " whole" : ""));
}

void Monitor::heartbeat_received(TimePoint now) {
  confirmed_ = now;
}

void Monitor::discovery_unavailable(TimePoint now) {
  confirmed_ = now;
  record("discovery unavailable");
}

void Monitor::request_read(const std::string& id, Duration timeout, TimePoint now) {
  requests_[id] = Request{.client_left = {},
                          .deadline = now + timeout,
                          .has_ended = false,
                          .complete_writes = 0,
                          .in_flight = {}};
  record("read " + id);
}

void Monitor::client_left(const std::string& id, TimePoint now) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.client_left)
    return;
  it->second.client_left = now;
  record("client left " + id);
}

void Monitor::request_completed(const std::string& id) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  it->second.has_ended = true;
  erase_if_ended(id);
}

void Monitor::erase_if_ended(const std::string& id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.has_ended)
    return;
  const auto& attempts = it->second.in_flight;
  if (std::all_of(attempts.begin(), attempts.end(),
                  [](const auto& a) { return a.second.has_ended; }))
    requests_.erase(it);
}

void Monitor::connection_closed(bool has_unanswered_request, bool client_left, TimePoint) {
  if (has_unanswered_request && !client_left)
    violate(Rule::answer, "a connection was closed with a request that was read and not answered");
}

void Monitor::check_list(const std::string& id, const std::string& host, TimePoint now) {
  auto known = not_ready_since_.find(host);
  if (known != not_ready_since_.end() && known->second &&
      now > *known->second + terms_.drain_grace + kDrainTolerance)
    violate(Rule::drain, "request " + id + " sent to " + host);
  if (!confirmed_ || now > *confirmed_ + kListDeadline + terms_.drain_grace)
    violate(Rule::stale_list, "request " + id + " sent to " + host);
}

void Monitor::count_complete_write(Request& request, const std::string& id,
                                   scheduler::Idempotency idempotency) {
  if (++request.complete_writes > 1 && idempotency == scheduler::Idempotency::non_idempotent)
    violate(Rule::repeat, id);
}

void Monitor::check_request(const Request& request, const std::string& id, const std::string& host,
                            TimePoint now) {
  if (request.client_left && now > *request.client_left + kClientLeftTolerance)
    violate(Rule::client_gone, "request " + id + " sent to " + host);
  // One whose cancellation an accepting endpoint did not confirm is still in flight.
  bool is_same_host = request.in_flight.contains(host);
  bool is_forbidden_hedge = !request.in_flight.empty() && !terms_.parallel_attempts;
  if (is_same_host || is_forbidden_hedge)
    violate(Rule::one_attempt, "request " + id + " sent to " + host);
}

void Monitor::check_deadline(const Request& request, const std::string& id, const std::string& host,
                             std::string_view bytes, TimePoint now) {
  std::string_view text = header(bytes, "X-Expires-In-Ms");
  std::int64_t expires_in_ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), expires_in_ms);
  Duration time_left = request.deadline - now;
  if (std::chrono::milliseconds(expires_in_ms) > time_left + kDeadlineTolerance)
    violate(Rule::deadline, "request " + id + " sent to " + host);
}

void Monitor::attempt_written(const std::string& host, std::string_view bytes, bool is_complete,
                              scheduler::Idempotency idempotency, TimePoint now) {
  std::string id(header(bytes, "X-Trace-Id"));
  record("write " + id + " to " + host);
  check_list(id, host, now);
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  check_request(request, id, host, now);
  check_deadline(request, id, host, bytes, now);
  request.in_flight.emplace(host, Attempt{.is_complete = is_complete});
  if (is_complete)
    count_complete_write(request, id, idempotency);
}

void Monitor::last_byte_written(const std::string& id, scheduler::Idempotency idempotency,
                                TimePoint) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  for (auto& [host, attempt] : it->second.in_flight) {
    if (attempt.is_complete)
      continue;
    attempt.is_complete = true;
    count_complete_write(it->second, id, idempotency);
    return;
  }
}

// Returns the open attempt at that host, or null.
Monitor::Attempt* Monitor::find_attempt(const std::string& id, const std::string& host) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return nullptr;
  auto [first, last] = it->second.in_flight.equal_range(host);
  auto open = std::find_if(first, last, [](const auto& a) { return !a.second.has_ended; });
  return open == last ? nullptr : &open->second;
}

void Monitor::attempt_accepted(const std::string& id, const std::string& host) {
  if (Attempt* attempt = find_attempt(id, host))
    attempt->is_accepted = true;
}

void Monitor::attempt_released(const std::string& id, const std::string& host) {
  if (Attempt* attempt = find_attempt(id, host))
    attempt->is_accepted = false;
}

void Monitor::attempt_ended(const std::string& id, const std::string& host, bool never_ran) {
  Attempt* attempt = find_attempt(id, host);
  if (!attempt)
    return;
  attempt->has_ended = true;
  Request& request = requests_.at(id);
  if (attempt->is_complete && never_ran)
    --request.complete_writes;
  if (!attempt->is_accepted)
    std::erase_if(request.in_flight, [&](const auto& a) { return &a.second == attempt; });
  erase_if_ended(id);
}

}  // namespace keelflow::invariants
