/// Text forms of events and actions, and the comparison with recordings.
#include "recording.h"

#include <gtest/gtest.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

namespace keelflow::replay {
namespace {

std::string joined(const std::vector<int>& numbers) {
  std::string out;
  for (int number : numbers)
    out += "," + std::to_string(number);
  return out;
}

std::string entry_text(const scheduler::EndpointEntry& entry) {
  return " [" + std::to_string(entry.endpoint) + " " + std::to_string(entry.zone) + " " +
         std::to_string(entry.kind) + " " + std::to_string(entry.cell) + " " +
         std::to_string(static_cast<int>(entry.state)) + " " + text_of(entry.nominal_capacity) +
         " " + text_of(entry.started_at) + "]";
}

std::string subset_text(const scheduler::SubsetEntry& entry) {
  return " [" + std::to_string(entry.endpoint) + " " + std::to_string(entry.is_own) +
         joined(entry.peers) + "]";
}

/// Converts events to text, with one overload for each type.
struct EventText {
  std::string operator()(const scheduler::EndpointList& event) const {
    return replay::text_of(event);
  }
  std::string operator()(const scheduler::RequestArrived& event) const {
    return "arrival " + std::to_string(event.request) + " " + std::to_string(event.class_index) +
           " " + std::to_string(event.tenant) + " " + std::to_string(event.key) + " " +
           text_of(event.client_timeout_ms) + " " + text_of(event.hint) + " " +
           text_of(event.slots) + " " + text_of(event.memory) + " " + text_of(event.queue_weight) +
           " " + std::to_string(event.is_client_retry);
  }
  std::string operator()(const scheduler::ResponseStreamStarted& event) const {
    return "stream " + std::to_string(event.request);
  }
  std::string operator()(const scheduler::AttemptStarted& event) const {
    return "started " + std::to_string(event.request) + " " + std::to_string(event.attempt);
  }
  std::string operator()(const scheduler::ClientDisconnected& event) const {
    return "gone " + std::to_string(event.request) + " " + std::to_string(event.is_rerouted);
  }
  std::string operator()(const scheduler::TimerFired& event) const {
    return "timer " + std::to_string(event.id);
  }
  std::string operator()(const scheduler::PeerMessage& event) const {
    return "peer " + std::to_string(event.peer) + " " + hex_of(event.bytes);
  }
  std::string operator()(const scheduler::HealthCheckResult& event) const {
    return "probe " + std::to_string(event.endpoint) + " " + std::to_string(event.ok) + " " +
           text_of(event.elapsed_ms);
  }
  std::string operator()(const scheduler::AttemptFinished& event) const {
    return "outcome " + std::to_string(event.request) + " " + std::to_string(event.attempt) + " " +
           std::to_string(static_cast<int>(event.result)) + " " + text_of(event.elapsed_ms) + " " +
           std::to_string(event.request_finished);
  }
  std::string operator()(const scheduler::SettingsChanged& event) const {
    return "retune" + joined(event.learned_from);
  }
  std::string operator()(const scheduler::LearnedState& state) const {
    std::string out =
        "knowledge " + text_of(state.fleet.mean_run_ms) + " " + text_of(state.fleet.congestion);
    for (double delay : state.fleet.start_delay_ms)
      out += " z" + text_of(delay);
    for (const auto& calibration : state.classes)
      out += " c" + text_of(calibration.factor) + "/" + text_of(calibration.hint_sum) + "/" +
             text_of(calibration.hint_count);
    for (const auto& kind : state.kinds)
      out += " k" + text_of(kind.observed_cores) + "/" + text_of(kind.service_time_ratio);
    for (const auto& endpoint : state.endpoints)
      out += " w" + std::to_string(endpoint.endpoint) + "/" + text_of(endpoint.started_at) + "/" +
             text_of(endpoint.health.service_time_ratio) + "/" +
             text_of(endpoint.health.concurrency_limit) + "/" +
             std::to_string(endpoint.health.outlier_signs) + "/" +
             std::to_string(endpoint.health.consecutive_failures) + "/" +
             text_of(endpoint.health.ejected_until) + "/" + text_of(endpoint.in_flight) + "/" +
             text_of(endpoint.slow_start_work_ms);
    return out;
  }
  std::string operator()(const scheduler::SiblingProcess& event) const {
    return "twin " + std::to_string(event.is_present);
  }
  std::string operator()(const scheduler::MembershipChanged& event) const {
    std::string out = "members ";
    for (bool is_alive : event.is_alive)
      out += is_alive ? '1' : '0';
    return out;
  }
  std::string operator()(const scheduler::SubsetChanged& event) const {
    std::string out = "homes " + std::to_string(event.shares_load);
    for (const auto& entry : event.endpoints)
      out += subset_text(entry);
    return out;
  }
  std::string operator()(const scheduler::SlowStartShares& event) const {
    std::string out = "turns";
    for (const auto& entry : event.endpoints)
      out += subset_text(entry.subset) + "/" + text_of(entry.started_at) + "/" +
             text_of(entry.fraction);
    return out;
  }
  std::string operator()(const scheduler::SlowStartGrant& event) const {
    return "grant " + std::to_string(event.endpoint) + " " + text_of(event.started_at) + " " +
           text_of(event.work_ms) + " " + text_of(event.until) + " " +
           std::to_string(event.is_received);
  }
  std::string operator()(const scheduler::SendPermission& event) const {
    return "permission " + std::to_string(event.is_allowed);
  }
};

/// Converts actions to text, with one overload for each type.
struct ActionText {
  std::string operator()(const scheduler::SendAttempt& action) const {
    return "send " + std::to_string(action.request) + " " + std::to_string(action.endpoint) + " " +
           text_of(action.timeout_ms);
  }
  std::string operator()(const scheduler::RejectRequest& action) const {
    return "refuse " + std::to_string(action.request) + " " + text_of(action.retry_after_ms);
  }
  std::string operator()(const scheduler::FailRequest& action) const {
    return "fail " + std::to_string(action.request);
  }
  std::string operator()(const scheduler::CancelAttempt& action) const {
    return "recall " + std::to_string(action.request) + " " + std::to_string(action.attempt);
  }
  std::string operator()(const scheduler::SetTimer& action) const {
    return "set-timer " + std::to_string(action.id) + " " + text_of(action.when);
  }
  std::string operator()(const scheduler::SendHealthCheck& action) const {
    return "probe " + std::to_string(action.endpoint);
  }
  std::string operator()(const scheduler::PollEndpointList&) const { return "subscribe"; }
  std::string operator()(const scheduler::SendPeerMessage& action) const {
    return "tell " + std::to_string(action.peer) + " " + hex_of(action.bytes);
  }
};

const char* trace_folder() {
  return std::getenv("REPLAY_TRACE");
}

/// The recorded lines by scenario name.
const std::map<std::string, std::string>& recorded() {
  static const std::map<std::string, std::string> lines = [] {
    std::map<std::string, std::string> read;
    std::ifstream file(std::string(REPLAY_RECORDINGS) + "/decisions.txt");
    for (std::string line; std::getline(file, line);)
      read[line.substr(0, line.find(' '))] = line;
    return read;
  }();
  return lines;
}

}  // namespace

Recording::Recording(std::string name)
    : name_(std::move(name)), keep_text_(trace_folder() != nullptr) {}

Recording::~Recording() {
  if (!keep_text_)
    return;
  std::ofstream(std::string(trace_folder()) + "/" + name_ + ".txt") << text_;
}

void Recording::line(std::string_view text) {
  ++lines_;
  for (char c : text)
    hash_ = (hash_ ^ static_cast<std::uint8_t>(c)) * 0x100000001b3ULL;
  hash_ = (hash_ ^ static_cast<std::uint8_t>('\n')) * 0x100000001b3ULL;
  if (keep_text_)
    text_.append(text).append("\n");
}

std::string text_of(double value) {
  char digits[64];
  auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
  return std::string(digits, end);
}

std::string hex_of(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (unsigned char byte : bytes) {
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
  return out;
}

std::string text_of(const scheduler::EndpointList& list) {
  std::string out = "list " + std::to_string(static_cast<int>(list.scope));
  for (const auto& entry : list.entries)
    out += entry_text(entry);
  return out;
}

std::string text_of(const scheduler::Event& event) {
  return std::visit(EventText{}, event);
}
std::string text_of(const scheduler::Action& action) {
  return std::visit(ActionText{}, action);
}

std::uint64_t Rng::bits() {  // splitmix64
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t x = state_;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double Rng::unit() {
  return static_cast<double>(bits() >> 11) * 0x1p-53;
}
double Rng::between(double low, double high) {
  return low + (high - low) * unit();
}
int Rng::below(int bound) {
  return static_cast<int>(unit() * bound);
}

void expect_recorded(const Recording& recording) {
  char hash[32];
  std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(recording.hash()));
  std::ostringstream actual;
  actual << recording.name() << " " << recording.lines() << " " << hash;
  auto it = recorded().find(recording.name());
  EXPECT_EQ(actual.str(), it == recorded().end() ? "(not recorded)" : it->second);
}

}  // namespace keelflow::replay
