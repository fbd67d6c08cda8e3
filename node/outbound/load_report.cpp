#include "outbound/load_report.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace keelflow {

std::string_view report_name(std::string_view field) {
  static constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kNames{
      {{"inflight", "active"},
       {"queue", "waiting"},
       {"util", "cpu"},
       {"latency_ms", "avg_ms"},
       {"qps", "rps"},
       {"eps", "err_rps"}}};
  for (const auto& [socket, settings] : kNames)
    if (field == socket)
      return settings;
  return field;
}

scheduler::LoadReport read_load_report(std::string_view text,
                                       const std::vector<std::string>& names) {
  scheduler::LoadReport report;
  if (text.starts_with("TEXT"))
    text.remove_prefix(4);
  while (!text.empty()) {
    auto comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    auto equals = pair.find('=');
    auto word = pair.find_first_not_of(" \t\r\n");
    if (equals == std::string_view::npos || word > equals)
      continue;
    std::string_view name = report_name(pair.substr(word, equals - word));
    auto place = std::find(names.begin(), names.end(), name);
    auto i = static_cast<std::size_t>(place - names.begin());
    if (place == names.end() || i >= 4)
      continue;
    double value = 0;
    std::string_view digits = pair.substr(equals + 1);
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc())
      continue;
    report.values[i] = static_cast<float>(value);
    report.count = static_cast<int>(std::min<std::size_t>(names.size(), 4));
  }
  return report;
}

}  // namespace keelflow
