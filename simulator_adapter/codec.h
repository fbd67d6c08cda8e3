// The simulator's wire: frames of fixed-size records and a tail, big-endian. Translation only.
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

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kBatchHeader = 16;
constexpr std::size_t kReplyHeader = 8;
constexpr std::size_t kEventSize = 48;
constexpr std::size_t kActionSize = 24;
constexpr std::size_t kEntrySize = 21;

struct Spawn {
  std::uint64_t salt = 0;
  std::string profile;
};
struct Stop {};
struct Unknown {
  int code = 0;
};
struct Ignored {};  // known, and of no use to the decisions
using Record = std::variant<Spawn, Stop, Unknown, Ignored, Event>;

struct Addressed {
  std::uint32_t instance = 0;
  Record record;
};

struct Header {
  std::uint32_t body_bytes = 0;
  double now = 0;
  std::uint32_t records = 0;
};

Header read_header(std::string_view bytes);
// Throws WireError naming the record and the fault.
std::vector<Addressed> read_body(const Header& header, std::string_view body);

class ReplyWriter {
 public:
  void instance(std::uint32_t id);
  void action(const Action& action);
  void give_in(std::string_view text);
  std::string finish();  // the whole frame; the writer is then empty

 private:
  char* record(int code);
  std::string records_, tail_;
  std::uint32_t count_ = 0;
};

}  // namespace keelflow::simulator_adapter
