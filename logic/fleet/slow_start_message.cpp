#include "fleet/slow_start_message.h"

namespace keelflow::fleet {
namespace {

constexpr char kTypeByte = '\xfd';  // no other message between dispatchers begins with it
constexpr char kVersion = 1;
constexpr std::size_t kSize = 28;
constexpr char kLastKind = static_cast<char>(SlowStartMessage::Kind::returned);

void put(std::string& out, std::uint32_t value) {
  for (int shift : {24, 16, 8, 0})
    out += static_cast<char>(value >> shift & 0xff);
}

std::uint32_t get(std::string_view bytes, std::size_t from) {
  std::uint32_t value = 0;
  for (std::size_t i = from; i < from + 4; ++i)
    value = value << 8 | static_cast<std::uint8_t>(bytes[i]);
  return value;
}

}  // namespace

std::string encode(const SlowStartMessage& message) {
  std::string out{kTypeByte, kVersion, static_cast<char>(message.kind), '\0'};
  put(out, message.endpoint);
  put(out, message.endpoint_incarnation);
  put(out, message.requester_incarnation);
  put(out, message.number);
  put(out, message.work_ms);
  put(out, message.least_work_ms);
  return out;
}

std::optional<SlowStartMessage> decode_slow_start_message(std::string_view bytes) {
  if (bytes.size() != kSize || bytes[0] != kTypeByte || bytes[1] != kVersion)
    return std::nullopt;
  if (bytes[2] < 0 || bytes[2] > kLastKind)
    return std::nullopt;
  return SlowStartMessage{.kind = static_cast<SlowStartMessage::Kind>(bytes[2]),
                          .endpoint = get(bytes, 4),
                          .endpoint_incarnation = get(bytes, 8),
                          .requester_incarnation = get(bytes, 12),
                          .number = get(bytes, 16),
                          .work_ms = get(bytes, 20),
                          .least_work_ms = get(bytes, 24)};
}

}  // namespace keelflow::fleet
