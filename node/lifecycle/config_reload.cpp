#include "lifecycle/config_reload.h"

#include <exception>
#include <utility>

#include "lifecycle/derived_settings.h"
#include "log/log.h"

namespace keelflow {

namespace {

bool is_same_log(const log::Settings& a, const log::Settings& b) {
  return a.json == b.json && a.file == b.file && a.level == b.level && a.levels == b.levels;
}

}  // namespace

void ConfigReload::run() {
  log::reopen();
  try {
    read_and_apply();
    ++parts_.counters.reloads;
    log::info(log::Subsystem::node, "reloaded");
  } catch (const std::exception& fault) {
    ++parts_.counters.reloads_failed;
    log::error(log::Subsystem::node, "reload-refused",
               {{"file", parts_.files.platform}, {"fault", fault.what()}});
  }
}

void ConfigReload::read_and_apply() {
  const NodeFiles& files = parts_.files;
  Retuned next = retune(parts_.config, read_config(files.platform), [this](int class_index) {
    return parts_.engine.is_class_in_use(class_index);
  });
  const Names& names = next.config.names;
  config::Own own = config::read_own(files.own, !files.is_own_path_given);
  Traffic::check(own.routes, names);
  parts_.traffic.check_numbers(own.routes);
  auto packages = plugins::load_all(own.plugins, files.own, names);
  if (!is_same_log(own.log, parts_.own.log))
    log::open(own.log);  // the last step that may throw
  parts_.traffic.retune({names, next.config.settings});
  parts_.traffic.configure(own.routes, own.moves);
  parts_.plugins.retune(names, next.config.settings.classes);
  parts_.plugins.configure(own.plugins, std::move(packages));
  parts_.own = std::move(own);
  apply(std::move(next));
  parts_.engine.enable_leases(parts_.own.turns);
}

void ConfigReload::apply(Retuned next) {
  parts_.config = std::move(next.config);
  const Config& config = parts_.config;
  parts_.engine.name_classes(config.names.classes);
  parts_.engine.change_settings(scheduler_settings(config.settings), next.from,
                                {config.most_held, config.tick});
  parts_.outbound.retune({config.connect_timeout, config.report_names});
  parts_.connections.keep(config.idle_limit * 6 / 10);
  parts_.destinations.names(config.names);
  parts_.monitor.change(monitor_terms(config.settings));
  parts_.destinations.change(call_policy(config.settings), lease_terms(config.settings));
  parts_.destinations.move(config.discovery);
}

}  // namespace keelflow
