#include "simulator_adapter/settings.h"

#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <string>

namespace keelflow::simulator_adapter {
namespace {

using scheduler::ClassSettings;
using scheduler::DeduplicationScope;
using scheduler::Idempotency;
using scheduler::ReportField;
using scheduler::Settings;

class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    while (!text.empty()) {
      auto end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
      if (line.empty())
        continue;
      auto eq = line.find('=');
      if (eq == std::string_view::npos)
        throw SettingsError("settings: no '=' in line '" + std::string(line) + "'");
      values_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
    }
  }

  std::optional<std::string_view> find(const std::string& key) const {
    auto it = values_.find(key);
    if (it == values_.end())
      return std::nullopt;
    return it->second;
  }

  std::string_view text(const std::string& key) const {
    auto v = find(key);
    if (!v)
      throw SettingsError("settings: '" + key + "' is missing");
    return *v;
  }

  static double to_number(const std::string& key, std::string_view v) {
    double d = 0;
    auto [end, error] = std::from_chars(v.data(), v.data() + v.size(), d);
    if (error != std::errc() || end != v.data() + v.size() || !std::isfinite(d))
      throw SettingsError("settings: '" + key + "' is not a number: '" + std::string(v) + "'");
    return d;
  }

  double number(const std::string& key) const { return to_number(key, text(key)); }
  double number(const std::string& key, double otherwise) const {
    auto v = find(key);
    return v ? to_number(key, *v) : otherwise;
  }
  static int to_int(const std::string& key, double d) {
    if (d != std::floor(d) || std::abs(d) > 1e9)
      throw SettingsError("settings: '" + key + "' is not a whole number");
    return static_cast<int>(d);
  }
  int integer(const std::string& key) const { return to_int(key, number(key)); }
  int integer(const std::string& key, int otherwise) const {
    return to_int(key, number(key, otherwise));
  }
  bool flag(const std::string& key, bool otherwise) const {
    auto v = find(key);
    if (!v)
      return otherwise;
    if (*v != "true" && *v != "false")
      throw SettingsError("settings: '" + key + "' is neither true nor false");
    return *v == "true";
  }
  std::vector<std::string_view> list(const std::string& key) const {
    std::vector<std::string_view> items;
    auto v = find(key);
    if (!v || v->empty())
      return items;
    for (std::string_view rest = *v;;) {
      auto comma = rest.find(',');
      items.push_back(rest.substr(0, comma));
      if (comma == std::string_view::npos)
        return items;
      rest.remove_prefix(comma + 1);
    }
  }
  double item(const std::string& key, std::size_t i, double otherwise) const {
    auto items = list(key);
    return i < items.size() ? to_number(key, items[i]) : otherwise;
  }

 private:
  std::map<std::string, std::string_view> values_;
};

template <typename T>
T choice(const Pairs& p, const std::string& key,
         std::initializer_list<std::pair<std::string_view, T>> choices) {
  auto v = p.text(key);
  for (const auto& [name, value] : choices)
    if (v == name)
      return value;
  throw SettingsError("settings: '" + key + "' has an unknown value: '" + std::string(v) + "'");
}

ClassSettings read_class(const Pairs& p, std::size_t i) {
  std::string at = "classes." + std::to_string(i) + ".";
  ClassSettings c;
  c.idempotency = choice<Idempotency>(p, at + "effect",
                                      {{"safe", Idempotency::idempotent},
                                       {"keyed", Idempotency::idempotent_with_key},
                                       {"unsafe", Idempotency::non_idempotent}});
  if (c.idempotency == Idempotency::idempotent_with_key) {
    c.deduplication_scope = choice<DeduplicationScope>(p, at + "key_scope",
                                                       {{"all", DeduplicationScope::all},
                                                        {"zone", DeduplicationScope::zone},
                                                        {"cell", DeduplicationScope::cell}});
    c.deduplication_window_ms = p.number(at + "dedup_window_ms");
  }
  c.latency_objective_ms = p.number(at + "target_ms");
  c.objective_runtime_factor =
      p.number(at + "aim_stretch", p.item("family_info.class_stretch", i, 0));
  c.priority_weight = p.number(at + "value", 1);
  c.late_weight_fraction = p.number(at + "late_worth", 0);
  c.kind = Pairs::to_int("family_info.class_kind", p.item("family_info.class_kind", i, -1));
  c.queue_priority =
      Pairs::to_int("family_info.class_priority", p.item("family_info.class_priority", i, 0));
  return c;
}

ReportField report_field(std::string_view name) {
  static const std::map<std::string_view, ReportField> known = {
      {"active", ReportField::active},   {"waiting", ReportField::waiting},
      {"cpu", ReportField::busy},        {"avg_ms", ReportField::latency_ms},
      {"rps", ReportField::served_rate}, {"err_rps", ReportField::error_rate}};
  auto it = known.find(name);
  return it == known.end() ? ReportField::other : it->second;
}

}  // namespace

Settings read_settings(std::string_view profile) {
  Pairs p(profile);
  Settings s;
  s.dispatchers = p.integer("balancers");
  s.rank = p.integer("rank");
  s.zone = p.integer("locality");
  s.zones = std::max(1, static_cast<int>(p.list("dcs").size()));
  s.kinds = std::max(1, static_cast<int>(p.list("kinds").size()));
  auto classes = p.integer("classes.count");
  if (classes < 0)
    throw SettingsError("settings: 'classes.count' is negative");
  for (int i = 0; i < classes; ++i)
    s.classes.push_back(read_class(p, static_cast<std::size_t>(i)));
  int tenants = p.integer("tenants.count", 0);
  for (int i = 0; i < tenants; ++i)
    s.tenant_quota.push_back(p.number("tenants." + std::to_string(i) + ".quota_per_s", 0));
  s.over_quota_weight = p.number("over_share_worth", 1);
  s.tick_ms = p.number("granularity_ms");
  s.polls_list = choice<bool>(p, "registry_mode", {{"push", false}, {"ask", true}});
  s.poll_within_ms = p.number("safety.ask_within_ms", 10000);
  s.cancel = p.flag("limits.cancel", false);
  s.probes = p.flag("limits.probes", false);
  s.peers = p.flag("limits.peer_messages", false);
  s.concurrent_attempts = p.flag("limits.parallel_tries", false);
  s.retry_after = p.flag("limits.retry_after", false);
  s.max_attempts = p.integer("limits.try_limit");
  s.max_retry_after_ms = p.number("limits.max_retry_after_ms", 0);
  s.reports_start = p.flag("family_info.tells_start", false);
  s.queue_by_priority = p.find("family_info.queue_order") == "priority";
  s.health_check_price = p.number("penalties.probe", 0);
  s.cross_zone_price = p.number("penalties.cross_zone", 0);
  s.waste_price = p.number("penalties.waste", 0);
  s.late_fail_price = p.number("penalties.late_fail", 0);
  for (auto name : p.list("report.names")) {
    bool free_slots = name == "x0" && p.find("family_info.report_x0") == "free_slots";
    s.report.push_back(free_slots ? ReportField::free_slots : report_field(name));
  }
  s.drain_grace_ms = p.number("safety.drain_grace_ms");
  s.grace_to_answer_ms = p.number("safety.grace_to_answer_ms");
  s.slow_start_initial_fraction = p.number("safety.cold_from");
  s.slow_start_ms = p.number("safety.cold_ms");
  s.overload_multiple = p.number("safety.fall_multiple");
  s.overload_window_ms = p.number("safety.fall_ms");
  return s;
}

}  // namespace keelflow::simulator_adapter
