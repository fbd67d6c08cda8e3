/// Tests of the simulator protocol: decoding of events, encoding of actions and text settings.
#include "simulator_adapter/codec.h"

#include <gtest/gtest.h>

#include <bit>
#include <cstring>

#include "simulator_adapter/instance_table.h"
#include "simulator_adapter/settings_decoder.h"

namespace keelflow::simulator_adapter {
namespace {

using scheduler::AttemptFinished;
using scheduler::AttemptResult;
using scheduler::ClientDisconnected;
using scheduler::DeduplicationScope;
using scheduler::EndpointList;
using scheduler::EndpointState;
using scheduler::Idempotency;
using scheduler::ListScope;
using scheduler::ReportField;
using scheduler::RequestArrived;
using scheduler::SendAttempt;
using scheduler::SendPeerMessage;
using scheduler::SetTimer;
using scheduler::Settings;
using scheduler::TimerFired;

std::string bytes_from_hex(std::string_view text) {
  std::string out;
  int high = -1;
  for (char c : text) {
    if (c == ' ' || c == '\n')
      continue;
    int digit = c <= '9' ? c - '0' : c - 'a' + 10;
    if (high < 0) {
      high = digit;
    } else {
      out += static_cast<char>(high * 16 + digit);
      high = -1;
    }
  }
  return out;
}

std::string padded_record(std::string_view text, std::size_t size = kEventSize) {
  std::string record = bytes_from_hex(text);
  record.resize(size, '\0');
  return record;
}

BatchHeader header_for(const std::string& body, std::uint32_t records) {
  return {static_cast<std::uint32_t>(body.size()), 12508.25, records};
}

template <typename T>
T event_of(const AddressedRecord& addressed) {
  return std::get<T>(std::get<Event>(addressed.record));
}

TEST(Codec, DecodesEventsWithTheirInstances) {
  // Address (instance 3); request arrival (request, class, tenant, key, client timeout, hint,
  // slots, memory, attributes: 1 = has a hint); timer (id 77); address (instance 5); client
  // disconnect (request).
  std::string body =
      padded_record("3c 00000003") +
      padded_record(
          "46 5d3a91c4 00 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 40000000 "
          "00000000 01") +
      padded_record("6e 000000000000004d") + padded_record("3c 00000005") +
      padded_record("50 0e6f2b19");
  auto records = read_body(header_for(body, 5), body);
  ASSERT_EQ(records.size(), 3u);
  auto arrival = event_of<RequestArrived>(records[0]);
  EXPECT_EQ(records[0].instance, 3u);
  EXPECT_EQ(arrival.request, 0x5d3a91c4u);
  EXPECT_EQ(arrival.key, 0x91f03b7c55d20a64ull);
  EXPECT_DOUBLE_EQ(arrival.client_timeout_ms, 240);
  EXPECT_DOUBLE_EQ(arrival.hint, 12);
  EXPECT_DOUBLE_EQ(arrival.slots, 2);
  EXPECT_EQ(event_of<TimerFired>(records[1]).id, 77u);
  EXPECT_EQ(records[2].instance, 5u);
  EXPECT_EQ(event_of<ClientDisconnected>(records[2]).request, 0x0e6f2b19u);
}

TEST(Codec, DecodesTheEndpointListAndOutcomes) {
  // Address (instance 3); endpoint list (scope, 8 bytes that are not read, tail offset, number of
  // entries); attempt finished (request, attempt number, 4 bytes that are not read, result, elapsed
  // time, whether the request is finished). The tail holds the entries (endpoint, zone, kind, cell,
  // state, capacity, start time).
  std::string body = padded_record("3c 00000003") +
                     padded_record("32 00 0000000000000029 00000000 00000002") +
                     padded_record("78 5d3a91c4 02 03124a07 000a 4032800000000000 01") +
                     bytes_from_hex(
                         "03124a07 00 00 0000 01 3f800000 0000000000000000"
                         "2c9011f2 01 00 0007 02 3fc00000 40b7d40000000000");
  auto records = read_body(header_for(body, 3), body);
  auto list = event_of<EndpointList>(records[0]);
  EXPECT_EQ(list.scope, ListScope::cached);
  ASSERT_EQ(list.entries.size(), 2u);
  EXPECT_EQ(list.entries[1].endpoint, 0x2c9011f2u);
  EXPECT_EQ(list.entries[1].cell, 7);
  EXPECT_EQ(list.entries[1].state, EndpointState::draining);
  EXPECT_DOUBLE_EQ(list.entries[1].nominal_capacity, 1.5);
  EXPECT_DOUBLE_EQ(list.entries[1].started_at, 6100);
  auto outcome = event_of<AttemptFinished>(records[1]);
  EXPECT_EQ(outcome.attempt, 2);
  EXPECT_EQ(outcome.result, AttemptResult::reset);
  EXPECT_DOUBLE_EQ(outcome.elapsed_ms, 18.5);
  EXPECT_TRUE(outcome.request_finished);
}

TEST(Codec, EncodesActionsByInstance) {
  ReplyWriter writer;
  writer.instance(3);
  writer.action(SendAttempt{0x5d3a91c4, 0x03124a07, 80});
  writer.action(SetTimer{77, 12508.25});
  writer.action(SendPeerMessage{7, "hi q"});
  writer.instance(5);
  writer.write_instance_failure("two servers left");
  // Frame header (body bytes, number of records); address (instance 3); attempt to send (request,
  // endpoint, timeout); timer (id; its time follows below); peer message (rank, tail offset,
  // bytes); address (instance 5); instance failure (tail offset, bytes); tail.
  std::string expected = bytes_from_hex("000000a4 00000006") + padded_record("82 00000003", 24) +
                         padded_record("0a 5d3a91c4 03124a07 4054000000000000", 24);
  std::string timer = padded_record("32 000000000000004d", 24);
  auto bits = std::bit_cast<std::uint64_t>(12508.25);
  for (std::size_t i = 0; i < 8; ++i)
    timer[9 + i] = static_cast<char>(bits >> (56 - 8 * i));
  expected += timer + padded_record("50 0007 00000000 00000004", 24) +
              padded_record("82 00000005", 24) + padded_record("64 00000004 00000010", 24) +
              "hi q" + "two servers left";
  EXPECT_EQ(writer.finish(), expected);
  EXPECT_EQ(writer.finish(), bytes_from_hex("00000000 00000000"));
}

TEST(Codec, ErrorsDescribeMalformedFrames) {
  auto error_of = [](const std::string& body, std::uint32_t records) -> std::string {
    try {
      read_body(header_for(body, records), body);
    } catch (const WireError& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(error_of("short", 1).find("do not fit"), std::string::npos);
  EXPECT_NE(error_of("", 0xffffffffu).find("do not fit"), std::string::npos);
  EXPECT_NE(error_of(padded_record("6e 000000000000004d"), 1).find("before any"),
            std::string::npos);
  std::string instance_record = padded_record("3c 00000003");
  // An endpoint list with one entry, a peer message (rank, tail offset, bytes), an endpoint list of
  // an unknown scope.
  EXPECT_NE(error_of(instance_record + padded_record("32 03 0000000000000029 00000000 00000001"), 2)
                .find("record 1: tail"),
            std::string::npos);
  EXPECT_NE(
      error_of(instance_record + padded_record("14 00000003 ffffffff ffffffff"), 2).find("tail"),
      std::string::npos);
  EXPECT_NE(error_of(instance_record + padded_record("32 09"), 2).find("scope"), std::string::npos);
  EXPECT_EQ(error_of(instance_record + padded_record("ff"), 2), "");  // an unknown code is skipped
}

const char* kProfile =
    "balancers=2\nrank=1\nlocality=0\ndcs=a,b\nkinds=x,y\nclasses.count=1\nclasses.0.effect=keyed\n"
    "classes.0.key_scope=zone\nclasses.0.dedup_window_ms=4000.0\nclasses.0.target_ms=500.0\n"
    "family_info.class_kind=1\nfamily_info.class_stretch=1.5\nfamily_info.report_x0=free_"
    "slots\ngranularity_"
    "ms=2.0\n"
    "registry_mode=ask\nlimits.try_limit=6\nreport.names=cpu,x0\nsafety.drain_grace_ms=500.0\n"
    "safety.grace_to_answer_ms=8.0\nsafety.cold_from=0.12\nsafety.cold_ms=24000.0\nsafety.fall_ms="
    "2000.0\n"
    "safety.fall_multiple=4.0\nsomething.new=_7_\n";

std::string without(std::string text, const std::string& line_start) {
  auto at = text.find(line_start);
  return text.erase(at, text.find('\n', at) + 1 - at);
}

TEST(SettingsText, IsDecoded) {
  Settings settings = read_settings(kProfile);
  EXPECT_EQ(settings.dispatchers, 2);
  EXPECT_EQ(settings.zones, 2);
  EXPECT_EQ(settings.classes.at(0).idempotency, Idempotency::idempotent_with_key);
  EXPECT_EQ(settings.classes[0].deduplication_scope, DeduplicationScope::zone);
  EXPECT_EQ(settings.classes[0].kind, 1);
  EXPECT_DOUBLE_EQ(settings.classes[0].objective_runtime_factor, 1.5);
  EXPECT_TRUE(settings.polls_list);
  ASSERT_EQ(settings.report.size(), 2u);
  EXPECT_EQ(settings.report[0], ReportField::busy);
  EXPECT_EQ(settings.report[1], ReportField::free_slots);
}

TEST(SettingsText, ErrorsNameTheKey) {
  auto error_of = [](const std::string& text) -> std::string {
    try {
      read_settings(text);
    } catch (const SettingsError& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(error_of(without(kProfile, "safety.fall_ms")).find("'safety.fall_ms' is missing"),
            std::string::npos);
  EXPECT_NE(error_of(without(kProfile, "balancers")).find("'balancers' is missing"),
            std::string::npos);
  EXPECT_NE(error_of(without(kProfile, "rank") + "rank=1.5\n").find("'rank'"), std::string::npos);
  EXPECT_NE(error_of(without(kProfile, "rank") + "rank=one\n").find("not a number"),
            std::string::npos);
  EXPECT_NE(error_of(without(kProfile, "classes.0.effect") + "classes.0.effect=odd\n").find("odd"),
            std::string::npos);
  EXPECT_NE(error_of("nonsense\n").find("nonsense"), std::string::npos);
}

TEST(InstanceTable, SkipsEventsForUnknownInstancesAndLogsUnknownCodesOnce) {
  InstanceTable table;
  std::string log;
  // Address (instance 3); client disconnect (request); two records of an unknown code.
  std::string body = padded_record("3c 00000003") + padded_record("50 0e6f2b19") +
                     padded_record("ff") + padded_record("ff");
  EXPECT_EQ(table.process_batch(header_for(body, 4), body, log),
            bytes_from_hex("00000000 00000000"));
  EXPECT_EQ(log, "simulator_adapter: skipped event with unknown code 255\n");
}

}  // namespace
}  // namespace keelflow::simulator_adapter
