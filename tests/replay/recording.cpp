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

std::string entry_text(const reedlb::EndpointEntry& e) {
  return " [" + std::to_string(e.endpoint) + " " + std::to_string(e.zone) + " " +
         std::to_string(e.kind) + " " + std::to_string(e.cell) + " " +
         std::to_string(static_cast<int>(e.state)) + " " + text_of(e.nominal) + " " +
         text_of(e.started_at) + "]";
}

std::string subset_text(const reedlb::Homes::At& at) {
  return " [" + std::to_string(at.endpoint) + " " + std::to_string(at.own) + joined(at.others) +
         "]";
}

/// One overload for each type of event.
struct EventText {
  std::string operator()(const reedlb::EndpointList& e) const { return replay::text_of(e); }
  std::string operator()(const reedlb::Arrival& e) const {
    return "arrival " + std::to_string(e.request) + " " + std::to_string(e.cls) + " " +
           std::to_string(e.tenant) + " " + std::to_string(e.key) + " " + text_of(e.ttl_ms) + " " +
           text_of(e.hint) + " " + text_of(e.slots) + " " + text_of(e.memory) + " " +
           text_of(e.weigh) + " " + std::to_string(e.repeat);
  }
  std::string operator()(const reedlb::StreamBegun& e) const {
    return "stream " + std::to_string(e.request);
  }
  std::string operator()(const reedlb::Started& e) const {
    return "started " + std::to_string(e.request) + " " + std::to_string(e.attempt);
  }
  std::string operator()(const reedlb::ClientGone& e) const {
    return "gone " + std::to_string(e.request) + " " + std::to_string(e.moved);
  }
  std::string operator()(const reedlb::Timer& e) const { return "timer " + std::to_string(e.name); }
  std::string operator()(const reedlb::PeerMessage& e) const {
    return "peer " + std::to_string(e.peer) + " " + hex_of(e.bytes);
  }
  std::string operator()(const reedlb::ProbeResult& e) const {
    return "probe " + std::to_string(e.endpoint) + " " + std::to_string(e.ok) + " " +
           text_of(e.elapsed_ms);
  }
  std::string operator()(const reedlb::Outcome& e) const {
    return "outcome " + std::to_string(e.request) + " " + std::to_string(e.attempt) + " " +
           std::to_string(static_cast<int>(e.result)) + " " + text_of(e.elapsed_ms) + " " +
           std::to_string(e.final);
  }
  std::string operator()(const reedlb::Retune& e) const { return "retune" + joined(e.from); }
  std::string operator()(const reedlb::Knowledge& k) const {
    std::string out = "knowledge " + text_of(k.fleet.mean_run) + " " + text_of(k.fleet.crowding);
    for (double delay : k.fleet.start_delay)
      out += " z" + text_of(delay);
    for (const auto& c : k.classes)
      out += " c" + text_of(c.factor) + "/" + text_of(c.hint_sum) + "/" + text_of(c.hint_count);
    for (const auto& kind : k.kinds)
      out += " k" + text_of(kind.cores) + "/" + text_of(kind.slow);
    for (const auto& w : k.endpoints)
      out += " w" + std::to_string(w.endpoint) + "/" + text_of(w.started_at) + "/" +
             text_of(w.of.slow) + "/" + text_of(w.of.cap) + "/" + std::to_string(w.of.strikes) +
             "/" + std::to_string(w.of.faults) + "/" + text_of(w.of.shut_until) + "/" +
             text_of(w.load) + "/" + text_of(w.cold_work);
    return out;
  }
  std::string operator()(const reedlb::Twin& e) const { return "twin " + std::to_string(e.here); }
  std::string operator()(const reedlb::Members& e) const {
    std::string out = "members ";
    for (bool lives : e.lives)
      out += lives ? '1' : '0';
    return out;
  }
  std::string operator()(const reedlb::Homes& e) const {
    std::string out = "homes " + std::to_string(e.talk);
    for (const auto& at : e.endpoints)
      out += subset_text(at);
    return out;
  }
  std::string operator()(const reedlb::Turns& e) const {
    std::string out = "turns";
    for (const auto& at : e.endpoints)
      out += subset_text(at.home) + "/" + text_of(at.started_at) + "/" + text_of(at.share);
    return out;
  }
  std::string operator()(const reedlb::Grant& e) const {
    return "grant " + std::to_string(e.endpoint) + " " + text_of(e.started_at) + " " +
           text_of(e.work) + " " + text_of(e.until) + " " + std::to_string(e.ours);
  }
  std::string operator()(const reedlb::SendPermission& e) const {
    return "permission " + std::to_string(e.allowed);
  }
};

/// One overload for each type of action.
struct ActionText {
  std::string operator()(const reedlb::Send& a) const {
    return "send " + std::to_string(a.request) + " " + std::to_string(a.endpoint) + " " +
           text_of(a.timeout_ms);
  }
  std::string operator()(const reedlb::Refuse& a) const {
    return "refuse " + std::to_string(a.request) + " " + text_of(a.retry_after_ms);
  }
  std::string operator()(const reedlb::Fail& a) const {
    return "fail " + std::to_string(a.request);
  }
  std::string operator()(const reedlb::Recall& a) const {
    return "recall " + std::to_string(a.request) + " " + std::to_string(a.attempt);
  }
  std::string operator()(const reedlb::SetTimer& a) const {
    return "set-timer " + std::to_string(a.name) + " " + text_of(a.when);
  }
  std::string operator()(const reedlb::Probe& a) const {
    return "probe " + std::to_string(a.endpoint);
  }
  std::string operator()(const reedlb::Subscribe&) const { return "subscribe"; }
  std::string operator()(const reedlb::Tell& a) const {
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

std::string text_of(const reedlb::EndpointList& list) {
  std::string out = "list " + std::to_string(static_cast<int>(list.scope));
  for (const auto& entry : list.entries)
    out += entry_text(entry);
  return out;
}

std::string text_of(const reedlb::Event& event) {
  return std::visit(EventText{}, event);
}
std::string text_of(const reedlb::Action& action) {
  return std::visit(ActionText{}, action);
}

std::uint64_t Draw::bits() {  // splitmix64
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t x = state_;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double Draw::unit() {
  return static_cast<double>(bits() >> 11) * 0x1p-53;
}
double Draw::between(double low, double high) {
  return low + (high - low) * unit();
}
int Draw::below(int bound) {
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
