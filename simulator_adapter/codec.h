/// The simulator's wire: frames of fixed-size records and a tail, big-endian. Translation only.
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

/// A batch that is malformed; the text names the record and the fault.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kBatchHeader = 16;
constexpr std::size_t kReplyHeader = 8;
constexpr std::size_t kEventSize = 48;
constexpr std::size_t kActionSize = 24;
constexpr std::size_t kEntrySize = 21;

/// A new instance of the scheduler starts.
struct Spawn {
  std::uint64_t seed = 0;
  std::string settings;  ///< as text, see settings_decoder.h
};
/// The instance ends.
struct Stop {};
/// A record of a code that this release does not know.
struct Unknown {
  int code = 0;
};
/// A record that is known, and of no use to the scheduler.
struct Ignored {};
using Record = std::variant<Spawn, Stop, Unknown, Ignored, Event>;

/// A record, and the instance that it is for.
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
  /// What follows is of this instance.
  void instance(std::uint32_t id);
  void action(const Action& action);
  /// The instance has failed, for that reason.
  void fail_instance(std::string_view reason);
  /// The whole frame; the writer is then empty.
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
