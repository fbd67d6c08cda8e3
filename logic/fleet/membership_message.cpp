#include "fleet/membership_message.h"

#include <algorithm>

namespace keelflow::fleet {
namespace {

constexpr std::uint8_t kTypeByte = 0xfe;  // no other message between nodes begins with it
constexpr std::uint8_t kVersion = 1;
constexpr auto kLastKind = static_cast<std::uint8_t>(MembershipMessage::Kind::gossip);

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out += static_cast<char>(value >> shift & 0xff);
}

// Reads consecutive big-endian values. The caller ensures that enough bytes are left.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : left_(bytes) {}
  std::uint64_t take(std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
      value = value << 8 | static_cast<std::uint8_t>(left_[i]);
    left_.remove_prefix(bytes);
    return value;
  }

 private:
  std::string_view left_;
};

bool is_sent(std::uint64_t state) {
  return state >= static_cast<std::uint8_t>(MemberState::alive) &&
         state <= static_cast<std::uint8_t>(MemberState::dead);
}

std::optional<MemberUpdate> decode_update(Reader& in) {
  MemberUpdate update;
  update.member = static_cast<int>(in.take(2));
  std::uint64_t state = in.take(1);
  if (!is_sent(state))
    return std::nullopt;
  update.state = static_cast<MemberState>(state);
  update.incarnation = static_cast<std::uint32_t>(in.take(4));
  update.reported_by = static_cast<int>(in.take(2));
  return update;
}

}  // namespace

std::string encode(const MembershipMessage& message) {
  std::string out;
  std::size_t count = std::min(message.updates.size(), kMaxUpdates);
  put(out, kTypeByte, 1);
  put(out, kVersion, 1);
  put(out, static_cast<std::uint8_t>(message.kind), 1);
  put(out, count, 1);
  put(out, message.number, 2);
  put(out, static_cast<std::uint64_t>(message.subject), 2);
  put(out, message.incarnation, 4);
  put(out, message.digest, 4);
  for (std::size_t i = 0; i < count; ++i) {
    const MemberUpdate& update = message.updates[i];
    put(out, static_cast<std::uint64_t>(update.member), 2);
    put(out, static_cast<std::uint8_t>(update.state), 1);
    put(out, update.incarnation, 4);
    put(out, static_cast<std::uint64_t>(update.reported_by), 2);
  }
  return out;
}

std::optional<MembershipMessage> decode_membership_message(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxMessageBytes)
    return std::nullopt;
  Reader in(bytes);
  std::uint64_t type = in.take(1);
  std::uint64_t version = in.take(1);
  std::uint64_t kind = in.take(1);
  std::uint64_t count = in.take(1);
  if (type != kTypeByte || version != kVersion || kind > kLastKind ||
      bytes.size() != kHeaderBytes + count * kUpdateBytes)
    return std::nullopt;
  MembershipMessage message;
  message.kind = static_cast<MembershipMessage::Kind>(kind);
  message.number = static_cast<std::uint16_t>(in.take(2));
  message.subject = static_cast<int>(in.take(2));
  message.incarnation = static_cast<std::uint32_t>(in.take(4));
  message.digest = static_cast<std::uint32_t>(in.take(4));
  for (std::uint64_t i = 0; i < count; ++i) {
    std::optional<MemberUpdate> update = decode_update(in);
    if (!update)
      return std::nullopt;
    message.updates.push_back(*update);
  }
  return message;
}

}  // namespace keelflow::fleet
