#include "invariants/monitor.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace keelflow::invariants {
namespace {

using namespace std::chrono_literals;

constexpr Duration kChangeCountsWithin = 6s;
constexpr Duration kSlack = 200ms;  // for a process that is held up, and for messages on their way
constexpr Duration kClientLeftSlack = 100ms;
constexpr Duration kDeadlineSlack = 150ms;
constexpr std::size_t kMostEvents = 40;

std::string_view header(std::string_view bytes, std::string_view name) {
  std::string wanted = "\r\n" + std::string(name) + ": ";
  auto at = bytes.find(wanted);
  if (at == bytes.npos || at > bytes.find("\r\n\r\n"))
    return {};
  at += wanted.size();
  return bytes.substr(at, bytes.find("\r\n", at) - at);
}

}  // namespace

std::string_view to_string(Rule rule) {
  constexpr std::array<std::string_view, kRules> names = {
      "drain", "stale-list", "one-attempt", "repeat", "client-gone", "deadline", "answer"};
  return names[static_cast<std::size_t>(rule)];
}

void Monitor::note(std::string event) {
  if (events_.size() >= kMostEvents)
    events_.pop_front();
  events_.push_back(std::move(event));
}

std::string Monitor::last_events() const {
  std::string all;
  for (const std::string& event : events_)
    all += event + "\n";
  return all;
}

void Monitor::violate(Rule rule, const std::string& what) {
  ++violations_;
  ++by_rule_[static_cast<std::size_t>(rule)];
  note("violation " + std::string(to_string(rule)) + ": " + what);
  violated_(rule, what);
}

void Monitor::list_received(std::string_view object, TimePoint now) {
  auto list = nlohmann::json::parse(object, nullptr, false);
  if (!list.is_object() || !list.contains("hosts") || !list["hosts"].is_array())
    return;
  bool whole = list.contains("whole") && list["whole"] == true;
  std::uint64_t version = list.contains("seq") && list["seq"].is_number_unsigned()
                              ? list["seq"].get<std::uint64_t>()
                              : version_;
  if (!whole && version < version_)
    return;  // overtaken
  version_ = version;
  if (whole)
    for (auto& [host, since] : not_ready_since_)
      since = since.value_or(now);
  for (const auto& entry : list["hosts"]) {
    if (!entry.is_object() || !entry.contains("host") || !entry["host"].is_string())
      continue;
    bool ready = entry.contains("health") && entry["health"] == "ready";
    auto& since = not_ready_since_[entry["host"].get<std::string>()];
    if (ready)
      since.reset();
    else
      since = since.value_or(now);
  }
  confirmed_ = now;
  note("list " + std::to_string(list["hosts"].size()) + (whole ? " whole" : ""));
}

void Monitor::heartbeat_received(TimePoint now) {
  confirmed_ = now;
}

void Monitor::discovery_unavailable(TimePoint now) {
  confirmed_ = now;
  note("discovery unavailable");
}

void Monitor::request_read(const std::string& id, Duration patience, TimePoint now) {
  requests_[id] = {
      .client_left = {}, .deadline = now + patience, .over = false, .whole_writes = 0, .out = {}};
  note("read " + id);
}

void Monitor::client_left(const std::string& id, TimePoint now) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.client_left)
    return;
  it->second.client_left = now;
  note("client left " + id);
}

void Monitor::request_over(const std::string& id) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  it->second.over = true;
  forget_if_over(id);
}

void Monitor::forget_if_over(const std::string& id) {
  auto it = requests_.find(id);
  if (it != requests_.end() && it->second.over && it->second.out.empty())
    requests_.erase(it);
}

void Monitor::connection_closed(bool request_unanswered, bool client_left, TimePoint) {
  if (request_unanswered && !client_left)
    violate(Rule::answer, "a connection was closed with a request that was read and not answered");
}

void Monitor::check_list(const std::string& id, const std::string& host, TimePoint now) {
  auto known = not_ready_since_.find(host);
  if (known != not_ready_since_.end() && known->second &&
      now > *known->second + terms_.drain_grace + kSlack)
    violate(Rule::drain, id + " to " + host);
  if (!confirmed_ || now > *confirmed_ + kChangeCountsWithin + terms_.drain_grace)
    violate(Rule::stale_list, id + " to " + host);
}

void Monitor::count_whole(Request& request, const std::string& id,
                          scheduler::Idempotency idempotency) {
  if (++request.whole_writes > 1 && idempotency == scheduler::Idempotency::non_idempotent)
    violate(Rule::repeat, id);
}

void Monitor::attempt_written(const std::string& host, std::string_view bytes, bool whole,
                              scheduler::Idempotency idempotency, TimePoint now) {
  std::string id(header(bytes, "X-Trace-Id"));
  note("write " + id + " to " + host);
  check_list(id, host, now);
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  if (request.client_left && now > *request.client_left + kClientLeftSlack)
    violate(Rule::client_gone, id + " to " + host);
  if (request.out.contains(host) || (!request.out.empty() && !terms_.parallel_attempts))
    violate(Rule::one_attempt, id + " to " + host);
  std::string_view stated = header(bytes, "X-Expires-In-Ms");
  std::int64_t told = 0;
  std::from_chars(stated.data(), stated.data() + stated.size(), told);
  if (std::chrono::milliseconds(told) > request.deadline - now + kDeadlineSlack)
    violate(Rule::deadline, id + " to " + host);
  request.out.emplace(host, whole);
  if (whole)
    count_whole(request, id, idempotency);
}

void Monitor::last_byte_written(const std::string& id, scheduler::Idempotency idempotency,
                                TimePoint) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  for (auto& [host, whole] : it->second.out) {
    if (whole)
      continue;
    whole = true;
    return count_whole(it->second, id, idempotency);
  }
}

void Monitor::attempt_over(const std::string& id, const std::string& host, bool never_ran) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  auto out = it->second.out.find(host);
  if (out == it->second.out.end())
    return;
  if (out->second && never_ran)
    --it->second.whole_writes;
  it->second.out.erase(out);
  forget_if_over(id);
}

}  // namespace keelflow::invariants
