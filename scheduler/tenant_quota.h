/// Tenants' quotas: a token bucket for each.
#pragma once

#include <vector>

#include "scheduler/settings.h"

namespace keelflow::scheduler {

/// The tokens that tenants have left. Dispatchers that split one node's traffic between them are
/// given the same one, so that a tenant's quota is the same however its requests are split.
struct TenantQuotas {
  struct Bucket {
    double tokens = 0;
    Time refilled_at = 0;
  };
  std::vector<Bucket> buckets;
};

}  // namespace keelflow::scheduler
