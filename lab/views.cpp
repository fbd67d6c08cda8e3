#include "views.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <sstream>

namespace keelflow::lab {
namespace {

constexpr double kLong =
    3000;  // ms for which a node must have been well to be held for dead wrongly
constexpr double kShort = 2500;  // ms: who is stopped for less need not be held for dead

double time_of(const std::string& line) {
  std::tm tm{};
  int ms = 0;
  if (std::sscanf(line.c_str(), "time=%d-%d-%dT%d:%d:%d.%dZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday,
                  &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &ms) != 7)
    return 0;
  tm.tm_year -= 1900;
  tm.tm_mon -= 1;
  return 1000.0 * static_cast<double>(timegm(&tm)) + ms;
}

}  // namespace

void Views::read(int node, const std::string& log) {
  std::istringstream in(log);
  for (std::string line; std::getline(in, line);) {
    auto event = line.find(" event=member member=");
    if (line.find(" event=listens ") != std::string::npos &&
        line.find("subsystem=node") != std::string::npos) {
      changes_.push_back(
          {time_of(line), node, -1, false, false});  // a new life: it holds nobody for dead
      continue;
    }
    if (event == std::string::npos)
      continue;
    bool dead = line.find(" to=dead") != std::string::npos;
    if (!dead && line.find(" from=dead") == std::string::npos)
      continue;
    changes_.push_back({time_of(line), node, std::atoi(line.c_str() + event + 21), dead,
                        line.find("it said that it ends") != std::string::npos});
  }
}

bool Views::agreed(const Truth& truth, const std::vector<std::vector<bool>>& dead) const {
  for (std::size_t i = 0; i < dead.size(); ++i) {
    if (!truth.well[i])
      continue;
    for (std::size_t j = 0; j < dead.size(); ++j) {
      if (i == j)
        continue;
      if (!truth.well[j] && !dead[i][j])
        return false;
      if (truth.well[j] && truth.hears[i][j] && truth.hears[j][i] &&
          (dead[i][j] || dead[i] != dead[j]))
        return false;
    }
  }
  return true;
}

double Views::agree_s() const {
  double longest = 0;
  auto changes = changes_;
  std::stable_sort(changes.begin(), changes.end(),
                   [](const Change& a, const Change& b) { return a.unix_ms < b.unix_ms; });
  if (truths_.empty())
    return 0;
  std::size_t nodes = truths_[0].well.size(), next = 0;
  std::vector<std::vector<bool>> dead(nodes, std::vector<bool>(nodes));
  for (std::size_t t = 0; t < truths_.size(); ++t) {
    double from = truths_[t].unix_ms,
           until = t + 1 < truths_.size() ? truths_[t + 1].unix_ms : end_, last = from;
    bool ever = agreed(truths_[t], dead);
    bool differed = !ever;
    for (; next < changes.size() && changes[next].unix_ms < until; ++next) {
      const Change& c = changes[next];
      auto& of = dead[static_cast<std::size_t>(c.by)];
      if (c.member < 0)
        of.assign(nodes, false);
      else
        of[static_cast<std::size_t>(c.member)] = c.dead;
      bool now = agreed(truths_[t], dead);
      if (now && differed)
        last = std::max(last, c.unix_ms);
      differed = !now;
    }
    if (differed)
      last = until;
    if (until - from >= kShort || !differed)
      longest = std::max(longest, last - from);
  }
  return longest / 1000;
}

int Views::false_deaths() const {
  int wrong = 0;
  for (const Change& c : changes_) {
    if (!c.dead || c.by_itself || c.unix_ms >= end_)
      continue;
    auto by = static_cast<std::size_t>(c.by), m = static_cast<std::size_t>(c.member);
    bool well = true;
    for (std::size_t t = 0; t < truths_.size(); ++t) {
      double until = t + 1 < truths_.size() ? truths_[t + 1].unix_ms : end_;
      if (truths_[t].unix_ms > c.unix_ms || until < c.unix_ms - kLong)
        continue;
      well = well && truths_[t].well[m] && truths_[t].well[by] && truths_[t].hears[by][m] &&
             truths_[t].hears[m][by];
    }
    wrong += well;
  }
  return wrong;
}

}  // namespace keelflow::lab
