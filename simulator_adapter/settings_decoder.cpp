/// Maps the keys of the text form to the scheduler's settings.
#include "simulator_adapter/settings_decoder.h"

#include <map>
#include <string>

#include "simulator_adapter/key_values.h"

namespace keelflow::simulator_adapter {
namespace {

using scheduler::ClassSettings;
using scheduler::DeduplicationScope;
using scheduler::Idempotency;
using scheduler::ReportField;
using scheduler::Settings;

template <typename T>
T choice(const KeyValues& values, const std::string& key,
         std::initializer_list<std::pair<std::string_view, T>> choices) {
  auto text = values.text(key);
  for (const auto& [name, value] : choices)
    if (text == name)
      return value;
  throw SettingsError("settings: '" + key + "' has an unknown value: '" + std::string(text) + "'");
}

ClassSettings read_class(const KeyValues& values, std::size_t i) {
  std::string prefix = "classes." + std::to_string(i) + ".";
  ClassSettings settings;
  settings.idempotency = choice<Idempotency>(values, prefix + "effect",
                                             {{"safe", Idempotency::idempotent},
                                              {"keyed", Idempotency::idempotent_with_key},
                                              {"unsafe", Idempotency::non_idempotent}});
  if (settings.idempotency == Idempotency::idempotent_with_key) {
    settings.deduplication_scope = choice<DeduplicationScope>(values, prefix + "key_scope",
                                                              {{"all", DeduplicationScope::all},
                                                               {"zone", DeduplicationScope::zone},
                                                               {"cell", DeduplicationScope::cell}});
    settings.deduplication_window_ms = values.number(prefix + "dedup_window_ms");
  }
  settings.latency_objective_ms = values.number(prefix + "target_ms");
  settings.objective_runtime_factor =
      values.number(prefix + "aim_stretch", values.item("family_info.class_stretch", i, 0));
  settings.priority_weight = values.number(prefix + "value", 1);
  settings.late_weight_fraction = values.number(prefix + "late_worth", 0);
  settings.kind =
      KeyValues::to_int("family_info.class_kind", values.item("family_info.class_kind", i, -1));
  settings.queue_priority = KeyValues::to_int("family_info.class_priority",
                                              values.item("family_info.class_priority", i, 0));
  return settings;
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

Settings read_settings(std::string_view text) {
  KeyValues values(text);
  Settings settings;
  settings.dispatchers = values.integer("balancers");
  settings.rank = values.integer("rank");
  settings.zone = values.integer("locality");
  settings.zones = std::max(1, static_cast<int>(values.list("dcs").size()));
  settings.kinds = std::max(1, static_cast<int>(values.list("kinds").size()));
  auto class_count = values.integer("classes.count");
  if (class_count < 0)
    throw SettingsError("settings: 'classes.count' is negative");
  for (int i = 0; i < class_count; ++i)
    settings.classes.push_back(read_class(values, static_cast<std::size_t>(i)));
  int tenant_count = values.integer("tenants.count", 0);
  for (int i = 0; i < tenant_count; ++i)
    settings.tenant_quota.push_back(
        values.number("tenants." + std::to_string(i) + ".quota_per_s", 0));
  settings.over_quota_weight = values.number("over_share_worth", 1);
  settings.tick_ms = values.number("granularity_ms");
  settings.polls_list = choice<bool>(values, "registry_mode", {{"push", false}, {"ask", true}});
  settings.poll_within_ms = values.number("safety.ask_within_ms", 10000);
  settings.cancel = values.flag("limits.cancel", false);
  settings.probes = values.flag("limits.probes", false);
  settings.peers = values.flag("limits.peer_messages", false);
  settings.concurrent_attempts = values.flag("limits.parallel_tries", false);
  settings.retry_after = values.flag("limits.retry_after", false);
  settings.max_attempts = values.integer("limits.try_limit");
  settings.max_retry_after_ms = values.number("limits.max_retry_after_ms", 0);
  settings.reports_start = values.flag("family_info.tells_start", false);
  settings.queue_by_priority = values.find("family_info.queue_order") == "priority";
  settings.health_check_price = values.number("penalties.probe", 0);
  settings.cross_zone_price = values.number("penalties.cross_zone", 0);
  settings.waste_price = values.number("penalties.waste", 0);
  settings.late_fail_price = values.number("penalties.late_fail", 0);
  for (auto name : values.list("report.names")) {
    bool is_free_slots = name == "x0" && values.find("family_info.report_x0") == "free_slots";
    settings.report.push_back(is_free_slots ? ReportField::free_slots : report_field(name));
  }
  settings.drain_grace_ms = values.number("safety.drain_grace_ms");
  settings.grace_to_answer_ms = values.number("safety.grace_to_answer_ms");
  settings.slow_start_initial_fraction = values.number("safety.cold_from");
  settings.slow_start_ms = values.number("safety.cold_ms");
  settings.overload_multiple = values.number("safety.fall_multiple");
  settings.overload_window_ms = values.number("safety.fall_ms");
  return settings;
}

}  // namespace keelflow::simulator_adapter
