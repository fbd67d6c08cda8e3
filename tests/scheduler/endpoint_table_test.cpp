/// Tests of the endpoint table: EndpointSlots, attempts in flight and indexes.
#include "scheduler/endpoint_table.h"

#include <gtest/gtest.h>

namespace keelflow::scheduler {
namespace {

EndpointEntry entry_of(EndpointId id, int kind = 0, int cell = 0) {
  return {.endpoint = id, .kind = kind, .cell = cell};
}

TEST(EndpointTable, AnEndpointIsFoundAndListedUntilItIsRemoved) {
  EndpointTable table(1);
  EndpointSlot slot = table.add(entry_of(7));
  EXPECT_EQ(table.find(7), slot);
  EXPECT_TRUE(table.is_listed(7));
  table.remove(7);
  EXPECT_FALSE(table.find(7));
  EXPECT_FALSE(table.is_listed(7));
  table.remove(7);  // no effect: the endpoint is no longer listed
  EXPECT_TRUE(table.listed().empty());
}

TEST(EndpointTable, TheSlotOfARemovedEndpointIsReusedWithNothingInFlight) {
  EndpointTable table(1);
  EndpointSlot slot = table.add(entry_of(7));
  table.record_send(slot, 2);
  table.record_end(slot, 2, false);
  table.remove(7);
  EXPECT_EQ(table.add(entry_of(8)), slot);
  EXPECT_EQ(table.at(slot).entry.endpoint, 8u);
  EXPECT_DOUBLE_EQ(table.at(slot).in_flight, 0);
  EXPECT_FALSE(table.at(slot).was_used);
}

TEST(EndpointTable, ASlotIsNotReusedWhileAnAttemptIsInFlight) {
  EndpointTable table(1);
  EndpointSlot slot = table.add(entry_of(7));
  table.record_send(slot, 1);
  table.remove(7);
  EXPECT_EQ(table.find(7), slot);
  EXPECT_NE(table.add(entry_of(8)), slot);
  table.record_end(slot, 1, false);
  table.forget_if_gone(slot);
  EXPECT_FALSE(table.find(7));
  EXPECT_EQ(table.add(entry_of(9)), slot);
}

TEST(EndpointTable, ANewIncarnationIncludesAttemptsInFlightAtTheFormerOne) {
  EndpointTable table(1);
  EndpointSlot slot = table.add(entry_of(7));
  table.record_send(slot, 2);
  table.remove(7);
  EXPECT_EQ(table.add(entry_of(7)), slot);
  EXPECT_DOUBLE_EQ(table.at(slot).in_flight, 2);
  EXPECT_EQ(table.at(slot).unfinished_attempts, 1);
  EXPECT_FALSE(table.at(slot).was_used);
}

TEST(EndpointTable, RunningAndWaitingAttemptsAreCountedSeparately) {
  EndpointTable table(1);
  EndpointSlot slot = table.add(entry_of(7));
  for (int i = 0; i < 3; ++i)
    table.record_send(slot, 1);
  EXPECT_EQ(table.record_start(slot), 1);
  EXPECT_EQ(table.record_start(slot), 2);
  table.record_end(slot, 1, false);
  EXPECT_EQ(table.at(slot).running_attempts, 2);
  EXPECT_DOUBLE_EQ(table.at(slot).in_flight, 2);
  table.record_end(slot, 1, true);
  EXPECT_EQ(table.at(slot).running_attempts, 1);
  EXPECT_DOUBLE_EQ(table.at(slot).in_flight, 1);
}

TEST(EndpointTable, ACellHoldsItsListedEndpointsInOrder) {
  EndpointTable table(1);
  for (EndpointId id : {9, 7, 8})
    table.add(entry_of(id, 0, id == 8 ? 2 : 1));
  EXPECT_EQ(table.in_cell(1), (std::set<EndpointId>{7, 9}));
  table.remove(8);
  EXPECT_TRUE(table.in_cell(2).empty());
}

TEST(EndpointTable, IndexesAreByKindAndTheSubsetHoldsOnlyAvailableEndpoints) {
  EndpointTable table(2);
  EndpointSlot first = table.add(entry_of(7, 0));
  EndpointSlot second = table.add(entry_of(8, 1));
  table.index(first, true, false);
  table.index(second, false, true);
  EXPECT_TRUE(table.is_available(first));
  EXPECT_EQ(table.available(0).size(), 1u);
  EXPECT_EQ(table.available_in_subset(0).size(), 0u);
  EXPECT_FALSE(table.is_available(second));
  EXPECT_EQ(table.available_in_subset(1).size(), 0u);
  table.index(second, true, true);
  EXPECT_TRUE(table.available_in_subset(1).has(second));
}

TEST(EndpointTable, TheRingHoldsReadyEndpointsEvenIfUnavailable) {
  EndpointTable table(2);
  EndpointSlot slot = table.add(entry_of(7, 1));
  table.index(slot, false, false);
  EXPECT_EQ(table.ring(1).size(), 1u);
  EXPECT_TRUE(table.ring(0).empty());
  table.set_state(slot, EndpointState::draining);
  table.index(slot, false, false);
  EXPECT_TRUE(table.ring(1).empty());
}

}  // namespace
}  // namespace keelflow::scheduler
