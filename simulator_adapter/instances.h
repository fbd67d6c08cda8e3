// The instances of one adapter process. They share nothing but this table.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/slow_start_leases.h"
#include "fleet/subsets.h"
#include "simulator_adapter/codec.h"

namespace keelflow::simulator_adapter {

class Instances {
 public:
  // Plays one batch and returns the reply frame. Throws WireError or SettingsError on malformed
  // input; an exception of a dispatcher becomes a give_in record. Lines for the operator go to
  // `log`.
  std::string play(const Header& header, std::string_view body, std::string& log);

 private:
  struct Instance {
    std::unique_ptr<scheduler::Dispatcher> dispatcher;
    std::optional<fleet::Subsets> homes;
    std::optional<fleet::SlowStartLeases> turns;
    std::map<int, bool> unknown_logged;
  };
  std::map<std::uint32_t, Instance> table_;
};

}  // namespace keelflow::simulator_adapter
