/// The simulator's wire format: big-endian frames of fixed-size records followed by a tail of
/// variable-size data.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::simulator_adapter {

using scheduler::Action;
using scheduler::Event;

/// Thrown for malformed batches; the message names the record and the error.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kBatchHeader = 16;
constexpr std::size_t kReplyHeader = 8;
constexpr std::size_t kEventSize = 48;
constexpr std::size_t kActionSize = 24;
constexpr std::size_t kEntrySize = 21;

/// Starts a new instance of the scheduler.
struct SpawnInstance {
  std::uint64_t seed = 0;
  std::string settings;  ///< in text form, see settings_decoder.h
};
/// Ends an instance.
struct StopInstance {};
/// A record with a code that this release does not know.
struct Unknown {
  int code = 0;
};
/// A record with a known code that the scheduler does not use.
struct Ignored {};
using Record = std::variant<SpawnInstance, StopInstance, Unknown, Ignored, Event>;

/// A record and the instance that it addresses.
struct AddressedRecord {
  std::uint32_t instance = 0;
  Record record;
};

/// The header of a batch of records.
struct BatchHeader {
  std::uint32_t body_bytes = 0;
  double now = 0;  ///< ms
  std::uint32_t records = 0;
};

BatchHeader read_header(std::string_view bytes);
/// Throws WireError.
std::vector<AddressedRecord> read_body(const BatchHeader& header, std::string_view body);

/// Writes the reply to one batch.
class ReplyWriter {
 public:
  /// Writes an address record: the records that follow belong to this instance.
  void instance(std::uint32_t id);
  void action(const Action& action);
  /// Writes a record that the instance has failed.
  void write_instance_failure(std::string_view reason);
  /// Returns the complete frame and clears the writer.
  std::string finish();

 private:
  struct ActionWriter;

  char* append_record(std::uint8_t code);
  void append_tail(char* record, std::string_view text);

  std::string records_;
  std::string tail_;
  std::uint32_t count_ = 0;
};

}  // namespace keelflow::simulator_adapter
