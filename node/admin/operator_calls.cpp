#include "admin/operator_calls.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace keelflow {
namespace {

std::string error(const std::string& why) {
  return "error " + why + "\n";
}

// An operator reads it back, and one call is one line.
std::string quoted(std::string text) {
  if (text.size() > 64)
    text = text.substr(0, 64) + "...";
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < 32 || c > 126; }, '?');
  return "'" + text + "'";
}

}  // namespace

std::string OperatorCalls::answer(std::string_view line) const {
  std::istringstream in{std::string(line)};
  std::vector<std::string> words;
  for (std::string word; in >> word;)
    words.push_back(word);
  if (words.empty())
    return error("empty call: READY, STATS, DISABLE ID or ENABLE ID wanted");
  const std::string& verb = words[0];
  bool hand = verb == "DISABLE" || verb == "ENABLE";
  if (!hand && verb != "READY" && verb != "STATS")
    return error("unknown call " + quoted(verb) + ": READY, STATS, DISABLE ID or ENABLE ID wanted");
  if (hand && words.size() < 2)
    return error(verb + " wants the executor's ID");
  if (words.size() > (hand ? 2u : 1u))
    return error(verb + " takes no " + quoted(words.back()));
  if (verb == "STATS")
    return figures();
  std::string why = hand ? callbacks_.by_hand(words[1], verb == "DISABLE") : callbacks_.not_ready();
  return why.empty() ? "done\n" : error(why);
}

std::string OperatorCalls::figures() const {
  std::ostringstream out;
  auto count = [&](const std::string& name, std::uint64_t value) {
    out << "node." << name << ':' << value << "|c\n";
  };
  auto gauge = [&](const std::string& name, std::uint64_t value) {
    out << "node." << name << ':' << value << "|g\n";
  };
  for (const auto& [name, figures] : counters_.classes) {
    if (name.empty())
      continue;
    count("completed." + name, figures.completed);
    count("rejected." + name, figures.rejected);
    count("failed." + name, figures.failed);
  }
  count("upstream_requests", counters_.attempts_written);
  count("config_reloads", counters_.reloads);
  count("config_reload_errors", counters_.reloads_failed);
  Gauges now = callbacks_.gauges();
  gauge("pending", now.pending);
  gauge("members", now.members);
  gauge("members_unavailable", now.members_unavailable);
  out << "end\n";
  return out.str();
}

}  // namespace keelflow
