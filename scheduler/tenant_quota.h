/// Tenants' quotas: a token bucket for each, split evenly over the dispatchers that are alive.
#pragma once

#include <memory>
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

/// The quotas of this dispatcher, which may share its buckets with others of the node.
class TenantQuota {
 public:
  explicit TenantQuota(std::shared_ptr<TenantQuotas> quotas);

  void resize(const Settings& settings);
  /// Which dispatchers are alive, by rank.
  void on_membership(const std::vector<bool>& is_alive);

  /// Takes a token. False: the request is beyond its tenant's quota.
  bool admit(int tenant, const Settings& settings, Time now);
  /// The request goes elsewhere, where it asks again.
  void refund(int tenant);

 private:
  bool has_bucket(int tenant) const;

  std::shared_ptr<TenantQuotas> quotas_;
  int dead_dispatchers_ = 0;
};

}  // namespace keelflow::scheduler
