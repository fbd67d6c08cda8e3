/// Tests of the token buckets of tenants.
#include "scheduler/tenant_quota.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

/// The quota of one of four dispatchers, with two tenants.
struct TenantQuotaTest : ::testing::Test {
  TenantQuotaTest() {
    settings.dispatchers = 4;
    settings.tenant_quota = {
        8, 8};  // this dispatcher's share is two requests per second for each tenant
    settings.over_quota_weight = 0.5;
    quota.resize(settings);
  }
  int admitted_of(int requests, Time now, int tenant = 0) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i)
      admitted += quota.admit(tenant, settings, now);
    return admitted;
  }

  Settings settings;
  std::shared_ptr<TenantQuotas> shared = std::make_shared<TenantQuotas>();
  TenantQuota quota{shared};
};

TEST_F(TenantQuotaTest, ABucketFillsAtThisDispatchersShareOfTheQuotaAndHoldsTwoSecondsOfIt) {
  EXPECT_EQ(admitted_of(10, 500), 1);
  EXPECT_EQ(admitted_of(10, 1500), 2);
  EXPECT_EQ(admitted_of(10, 60000), 4);
}

TEST_F(TenantQuotaTest, OneTenantDoesNotUseUpTheQuotaOfAnother) {
  EXPECT_EQ(admitted_of(10, 2000, 0), 4);
  EXPECT_EQ(admitted_of(10, 2000, 1), 4);
}

TEST_F(TenantQuotaTest, LiveDispatchersSplitTheQuotaOfDeadOnes) {
  quota.on_membership({true, false, false, false});
  EXPECT_EQ(admitted_of(20, 2000), 16);
  quota.on_membership({true, true, true, true});
  EXPECT_EQ(admitted_of(20, 60000), 4);
}

TEST_F(TenantQuotaTest, ARefundReturnsOneToken) {
  EXPECT_EQ(admitted_of(10, 2000), 4);
  quota.refund(0);
  EXPECT_EQ(admitted_of(10, 2000), 1);
}

TEST_F(TenantQuotaTest, AllAreAdmittedWithoutAQuotaOrWithFullOverQuotaWeight) {
  EXPECT_TRUE(quota.admit(-1, settings, 0));
  EXPECT_TRUE(quota.admit(2, settings, 0));
  quota.refund(2);  // no effect: the tenant has no bucket
  settings.over_quota_weight = 1;
  EXPECT_EQ(admitted_of(100, 0), 100);
}

TEST_F(TenantQuotaTest, DispatchersOfOneNodeShareTokens) {
  TenantQuota second(shared);
  EXPECT_EQ(admitted_of(3, 2000), 3);
  EXPECT_TRUE(second.admit(0, settings, 2000));
  EXPECT_FALSE(second.admit(0, settings, 2000));
}

}  // namespace
}  // namespace keelflow::scheduler
