/// Refill and use of the token buckets.
#include "scheduler/tenant_quota.h"

#include <algorithm>
#include <utility>

#include "scheduler/hashing.h"

namespace keelflow::scheduler {
namespace {

constexpr double kBucketDepthMs = 2000;  // bucket capacity, as time to fill it; at least one token

}  // namespace

TenantQuota::TenantQuota(std::shared_ptr<TenantQuotas> quotas)
    : quotas_(quotas ? std::move(quotas) : std::make_shared<TenantQuotas>()) {}

void TenantQuota::resize(const Settings& settings) {
  quotas_->buckets.resize(settings.tenant_quota.size());
}

void TenantQuota::on_membership(const std::vector<bool>& is_alive) {
  dead_dispatchers_ = static_cast<int>(std::count(is_alive.begin(), is_alive.end(), false));
}

bool TenantQuota::has_bucket(int tenant) const {
  return tenant >= 0 && to_index(tenant) < quotas_->buckets.size();
}

bool TenantQuota::admit(int tenant, const Settings& settings, Time now) {
  if (!has_bucket(tenant) || settings.over_quota_weight >= 1)
    return true;
  TenantQuotas::Bucket& bucket = quotas_->buckets[to_index(tenant)];
  int alive = std::max(1, settings.dispatchers - dead_dispatchers_);
  double per_ms = settings.tenant_quota[to_index(tenant)] / alive / 1000;
  bucket.tokens = std::min(bucket.tokens + per_ms * (now - bucket.refilled_at),
                           std::max(1.0, kBucketDepthMs * per_ms));
  bucket.refilled_at = now;
  if (bucket.tokens < 1)
    return false;
  bucket.tokens -= 1;
  return true;
}

void TenantQuota::refund(int tenant) {
  if (has_bucket(tenant))
    ++quotas_->buckets[to_index(tenant)].tokens;
}

}  // namespace keelflow::scheduler
