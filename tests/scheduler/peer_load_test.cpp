/// Tests of load updates from peers: their encoding and their expiry.
#include "scheduler/peer_load.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

constexpr EndpointSlot kSlot = 0;

TEST(LoadUpdate, TheEightBytesAreEndpointTagSlotsSignalAndDetail) {
  LoadUpdate update{0x01020304, 0xab, 5, LoadSignal::served, 1.5, 0};
  EXPECT_EQ(encode(update), std::string("\x01\x02\x03\x04\xab\x05\x02\x30", 8));
}

TEST(LoadUpdate, EverySignalIsDecodedAsEncoded) {
  for (int signal = 0; signal <= static_cast<int>(LoadSignal::failed); ++signal) {
    LoadUpdate update{0xfedcba98, 0xff, 3, static_cast<LoadSignal>(signal), 1, 0};
    auto decoded = decode_load_update(encode(update));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->endpoint, update.endpoint);
    EXPECT_EQ(decoded->incarnation_tag, update.incarnation_tag);
    EXPECT_DOUBLE_EQ(decoded->in_flight, 3);
    EXPECT_EQ(decoded->signal, update.signal);
  }
}

TEST(LoadUpdate, WorkIsRoundedUpToMultiplesOf64MsAndTheRatioToA32nd) {
  LoadUpdate sent{7, 0, 1, LoadSignal::sent, 1, 65};
  EXPECT_DOUBLE_EQ(decode_load_update(encode(sent))->work_ms, 128);
  LoadUpdate served{7, 0, 1, LoadSignal::served, 1.02, 0};
  EXPECT_DOUBLE_EQ(decode_load_update(encode(served))->service_time_ratio, 33.0 / 32);
}

TEST(LoadUpdate, ValuesBeyondAByteSaturateAndAPartialSlotCountsAsOne) {
  LoadUpdate large{7, 0, 1000, LoadSignal::sent, 1, 1e6};
  EXPECT_DOUBLE_EQ(decode_load_update(encode(large))->in_flight, 255);
  EXPECT_DOUBLE_EQ(decode_load_update(encode(large))->work_ms, 255 * 64);
  LoadUpdate small{7, 0, 0.1, LoadSignal::none, 1, 0};
  EXPECT_DOUBLE_EQ(decode_load_update(encode(small))->in_flight, 1);
}

TEST(LoadUpdate, MessagesOfAWrongSizeOrWithAnUnknownSignalAreRejected) {
  std::string bytes = encode({7, 0, 1, LoadSignal::none, 1, 0});
  EXPECT_FALSE(decode_load_update(""));
  EXPECT_FALSE(decode_load_update(bytes.substr(1)));
  EXPECT_FALSE(decode_load_update(bytes + "x"));
  bytes[6] = 7;
  EXPECT_FALSE(decode_load_update(bytes));
}

TEST(LoadUpdate, AnotherStartTimeIsAnotherIncarnation) {
  EndpointEntry entry{.endpoint = 7, .started_at = 1000};
  EndpointEntry same_start{.endpoint = 7, .zone = 3, .started_at = 1000};
  EndpointEntry restarted{.endpoint = 7, .started_at = 2000};
  EXPECT_EQ(incarnation_of(entry), incarnation_of(same_start));
  EXPECT_NE(incarnation_of(entry), incarnation_of(restarted));
}

TEST(PeerLoad, OnlyTheLastReportOfEachPeerCounts) {
  PeerLoad load;
  load.reset(kSlot);
  load.set(kSlot, 1, 2, 5000);
  load.set(kSlot, 2, 3, 5000);
  load.set(kSlot, 1, 4, 5000);
  EXPECT_DOUBLE_EQ(load.sum(kSlot, 1000), 7);
  load.set(kSlot, 2, 0, 5000);
  EXPECT_DOUBLE_EQ(load.sum(kSlot, 1000), 4);
}

TEST(PeerLoad, AReportExpiresAtItsExpiryTime) {
  PeerLoad load;
  load.reset(kSlot);
  load.set(kSlot, 1, 2, 5000);
  EXPECT_DOUBLE_EQ(load.sum(kSlot, 4999), 2);
  EXPECT_DOUBLE_EQ(load.sum(kSlot, 5000), 0);
}

TEST(PeerLoad, ANewIncarnationHasNoReports) {
  PeerLoad load;
  load.reset(kSlot + 1);
  load.set(kSlot + 1, 1, 2, 5000);
  load.reset(kSlot + 1);
  EXPECT_DOUBLE_EQ(load.sum(kSlot + 1, 1000), 0);
  EXPECT_DOUBLE_EQ(load.sum(kSlot, 1000), 0);
}

}  // namespace
}  // namespace keelflow::scheduler
