// keelflow's own settings: deploy/keelflow.sexp. All of it may be absent; the node then is the
// platform's node and nothing more. docs/operators/configuration.md lists every setting.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/sexp.h"
#include "fleet/membership_agent.h"
#include "log/log.h"
#include "moves/move.h"
#include "plugins/settings.h"
#include "routes/spec.h"

namespace keelflow::config {

struct Admin {
  std::string socket;  // a path; empty: off
};

struct Progress {  // the second front
  std::optional<net::Address> listen, store;
  Duration heartbeat = std::chrono::seconds(10), expiry = std::chrono::minutes(10);
};

struct Own {
  routes::Spec routes;
  std::vector<moves::MoveSpec> moves;
  Admin admin;
  log::Settings log;
  Progress progress;
  plugins::Settings plugins;
  MembershipAgent::Settings members;
  bool turns = true;  // nodes grant one another of their parts in cold endpoints
};

// What stands in the text. With any fault the result is not to be used.
Own decode_own(std::string_view text, const std::string& file, Faults& faults);

// Throws ConfigError with all faults, a line each. A file that is not there is an empty one if
// `optional`. A progress.toml of former days beside it is a fault too.
Own read_own(const std::string& file, bool optional);

}  // namespace keelflow::config
