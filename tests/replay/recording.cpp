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

std::string entry_text(const scheduler::EndpointEntry& e) {
  return " [" + std::to_string(e.endpoint) + " " + std::to_string(e.zone) + " " +
         std::to_string(e.kind) + " " + std::to_string(e.cell) + " " +
         std::to_string(static_cast<int>(e.state)) + " " + text_of(e.nominal_capacity) + " " +
         text_of(e.started_at) + "]";
}

std::string subset_text(const scheduler::SubsetEntry& at) {
  return " [" + std::to_string(at.endpoint) + " " + std::to_string(at.is_own) + joined(at.peers) +
         "]";
}

/// One overload for each type of event.
struct EventText {
  std::string operator()(const scheduler::EndpointList& e) const { return replay::text_of(e); }
  std::string operator()(const scheduler::RequestArrived& e) const {
    return "arrival " + std::to_string(e.request) + " " + std::to_string(e.class_index) + " " +
           std::to_string(e.tenant) + " " + std::to_string(e.key) + " " +
           text_of(e.client_timeout_ms) + " " + text_of(e.hint) + " " + text_of(e.slots) + " " +
           text_of(e.memory) + " " + text_of(e.queue_weight) + " " +
           std::to_string(e.is_client_retry);
  }
  std::string operator()(const scheduler::ResponseStreamStarted& e) const {
    return "stream " + std::to_string(e.request);
  }
  std::string operator()(const scheduler::AttemptStarted& e) const {
    return "started " + std::to_string(e.request) + " " + std::to_string(e.attempt);
  }
  std::string operator()(const scheduler::ClientDisconnected& e) const {
    return "gone " + std::to_string(e.request) + " " + std::to_string(e.is_rerouted);
  }
  std::string operator()(const scheduler::TimerFired& e) const {
    return "timer " + std::to_string(e.id);
  }
  std::string operator()(const scheduler::PeerMessage& e) const {
    return "peer " + std::to_string(e.peer) + " " + hex_of(e.bytes);
  }
  std::string operator()(const scheduler::HealthCheckResult& e) const {
    return "probe " + std::to_string(e.endpoint) + " " + std::to_string(e.ok) + " " +
           text_of(e.elapsed_ms);
  }
  std::string operator()(const scheduler::AttemptFinished& e) const {
    return "outcome " + std::to_string(e.request) + " " + std::to_string(e.attempt) + " " +
           std::to_string(static_cast<int>(e.result)) + " " + text_of(e.elapsed_ms) + " " +
           std::to_string(e.request_finished);
  }
  std::string operator()(const scheduler::SettingsChanged& e) const {
    return "retune" + joined(e.learned_from);
  }
  std::string operator()(const scheduler::LearnedState& k) const {
    std::string out =
        "knowledge " + text_of(k.fleet.mean_run_ms) + " " + text_of(k.fleet.congestion);
    for (double delay : k.fleet.start_delay_ms)
      out += " z" + text_of(delay);
    for (const auto& c : k.classes)
      out += " c" + text_of(c.factor) + "/" + text_of(c.hint_sum) + "/" + text_of(c.hint_count);
    for (const auto& kind : k.kinds)
      out += " k" + text_of(kind.observed_cores) + "/" + text_of(kind.service_time_ratio);
    for (const auto& w : k.endpoints)
      out += " w" + std::to_string(w.endpoint) + "/" + text_of(w.started_at) + "/" +
             text_of(w.health.service_time_ratio) + "/" + text_of(w.health.concurrency_limit) +
             "/" + std::to_string(w.health.outlier_signs) + "/" +
             std::to_string(w.health.consecutive_failures) + "/" + text_of(w.health.ejected_until) +
             "/" + text_of(w.in_flight) + "/" + text_of(w.slow_start_work_ms);
    return out;
  }
  std::string operator()(const scheduler::SiblingProcess& e) const {
    return "twin " + std::to_string(e.is_present);
  }
  std::string operator()(const scheduler::MembershipChanged& e) const {
    std::string out = "members ";
    for (bool lives : e.is_alive)
      out += lives ? '1' : '0';
    return out;
  }
  std::string operator()(const scheduler::SubsetChanged& e) const {
    std::string out = "homes " + std::to_string(e.shares_load);
    for (const auto& at : e.endpoints)
      out += subset_text(at);
    return out;
  }
  std::string operator()(const scheduler::SlowStartShares& e) const {
    std::string out = "turns";
    for (const auto& at : e.endpoints)
      out += subset_text(at.subset) + "/" + text_of(at.started_at) + "/" + text_of(at.fraction);
    return out;
  }
  std::string operator()(const scheduler::SlowStartGrant& e) const {
    return "grant " + std::to_string(e.endpoint) + " " + text_of(e.started_at) + " " +
           text_of(e.work_ms) + " " + text_of(e.until) + " " + std::to_string(e.is_received);
  }
  std::string operator()(const scheduler::SendPermission& e) const {
    return "permission " + std::to_string(e.is_allowed);
  }
};

/// One overload for each type of action.
struct ActionText {
  std::string operator()(const scheduler::SendAttempt& a) const {
    return "send " + std::to_string(a.request) + " " + std::to_string(a.endpoint) + " " +
           text_of(a.timeout_ms);
  }
  std::string operator()(const scheduler::RejectRequest& a) const {
    return "refuse " + std::to_string(a.request) + " " + text_of(a.retry_after_ms);
  }
  std::string operator()(const scheduler::FailRequest& a) const {
    return "fail " + std::to_string(a.request);
  }
  std::string operator()(const scheduler::CancelAttempt& a) const {
    return "recall " + std::to_string(a.request) + " " + std::to_string(a.attempt);
  }
  std::string operator()(const scheduler::SetTimer& a) const {
    return "set-timer " + std::to_string(a.id) + " " + text_of(a.when);
  }
  std::string operator()(const scheduler::SendHealthCheck& a) const {
    return "probe " + std::to_string(a.endpoint);
  }
  std::string operator()(const scheduler::PollEndpointList&) const { return "subscribe"; }
  std::string operator()(const scheduler::SendPeerMessage& a) const {
    return "tell " + std::to_string(a.peer) + " " + hex_of(a.bytes);
  }
};

const char* trace_folder() {
  return std::getenv("REPLAY_TRACE");
}

/// The recorded lines by name of the day.
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
  std::ostringstream now;
  now << recording.name() << " " << recording.lines() << " " << hash;
  auto it = recorded().find(recording.name());
  EXPECT_EQ(now.str(), it == recorded().end() ? "(not recorded)" : it->second);
}

}  // namespace keelflow::replay
