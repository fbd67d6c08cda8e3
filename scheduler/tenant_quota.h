/// Tenant quotas: one token bucket per tenant; the rate is split evenly among the live dispatchers.
#pragma once

#include <memory>
#include <vector>

#include "scheduler/settings.h"

namespace keelflow::scheduler {

/// The token buckets of all tenants. Dispatchers that split the traffic of one node share one
/// instance, so that a tenant's quota does not depend on the split.
struct TenantQuotas {
  struct Bucket {
    double tokens = 0;
    Time refilled_at = 0;
  };
  std::vector<Bucket> buckets;
};

/// Enforces the quotas of one dispatcher, which may share its buckets with other dispatchers of the
/// node.
class TenantQuota {
 public:
  explicit TenantQuota(std::shared_ptr<TenantQuotas> quotas);

  void resize(const Settings& settings);
  /// `is_alive`: whether each dispatcher is alive, by rank.
  void on_membership(const std::vector<bool>& is_alive);

  /// Takes a token; returns false if the request is beyond its tenant's quota.
  bool admit(int tenant, const Settings& settings, Time now);
  /// Returns the token of a request that moves to another dispatcher, which takes one again.
  void refund(int tenant);

 private:
  bool has_bucket(int tenant) const;

  std::shared_ptr<TenantQuotas> quotas_;
  int dead_dispatchers_ = 0;
};

}  // namespace keelflow::scheduler
