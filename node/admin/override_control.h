/// Applies administrative overrides: an endpoint that operators have disabled gets no new work.
#pragma once

#include <string>

#include "admin_overrides/admin_overrides.h"
#include "discovery/destination_set.h"
#include "routes/traffic.h"

namespace keelflow {

/// Keeps the three places that know of overrides in step. All must outlive it.
class OverrideControl {
 public:
  OverrideControl(admin_overrides::AdminOverrides& overrides, DestinationSet& destinations,
                  Traffic& traffic)
      : overrides_(overrides), destinations_(destinations), traffic_(traffic) {}

  /// Whether that endpoint was ever listed, or is disabled.
  bool is_known(const std::string& host) const;
  /// `out`: it is disabled; otherwise enabled again.
  void apply(const std::string& host, bool out);

 private:
  admin_overrides::AdminOverrides& overrides_;
  DestinationSet& destinations_;
  Traffic& traffic_;
};

}  // namespace keelflow
