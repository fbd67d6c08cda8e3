#include "fleet/membership_message.h"

#include <algorithm>

namespace keelflow::fleet {
namespace {

constexpr std::uint8_t kMark = 0xfe, kVersion = 1;

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out += static_cast<char>(value >> shift & 0xff);
}

struct Reader {
  std::string_view left;
  std::uint64_t take(std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
      value = value << 8 | static_cast<std::uint8_t>(left[i]);
    left.remove_prefix(bytes);
    return value;
  }
};

}  // namespace

std::string encode(const MembershipMessage& w) {
  std::string out;
  put(out, kMark, 1);
  put(out, kVersion, 1);
  put(out, static_cast<std::uint8_t>(w.kind), 1);
  std::size_t count = std::min(w.updates.size(), kMostRumours);
  put(out, count, 1);
  put(out, w.number, 2);
  put(out, static_cast<std::uint64_t>(w.about), 2);
  put(out, w.incarnation, 4);
  put(out, w.digest, 4);
  for (std::size_t i = 0; i < count; ++i) {
    const MemberUpdate& r = w.updates[i];
    put(out, static_cast<std::uint64_t>(r.member), 2);
    put(out, static_cast<std::uint8_t>(r.state), 1);
    put(out, r.incarnation, 4);
    put(out, static_cast<std::uint64_t>(r.by), 2);
  }
  return out;
}

std::optional<MembershipMessage> decode_membership_message(std::string_view bytes) {
  if (bytes.size() < kHeadSize || bytes.size() > kMostBytes)
    return std::nullopt;
  Reader in{bytes};
  if (in.take(1) != kMark || in.take(1) != kVersion)
    return std::nullopt;
  std::uint64_t kind = in.take(1), count = in.take(1);
  if (kind > static_cast<std::uint8_t>(MembershipMessage::Kind::tell) ||
      bytes.size() != kHeadSize + count * kRumourSize)
    return std::nullopt;
  MembershipMessage w;
  w.kind = static_cast<MembershipMessage::Kind>(kind);
  w.number = static_cast<std::uint16_t>(in.take(2));
  w.about = static_cast<int>(in.take(2));
  w.incarnation = static_cast<std::uint32_t>(in.take(4));
  w.digest = static_cast<std::uint32_t>(in.take(4));
  for (std::uint64_t i = 0; i < count; ++i) {
    MemberUpdate r;
    r.member = static_cast<int>(in.take(2));
    std::uint64_t state = in.take(1);
    if (state < static_cast<std::uint8_t>(MemberState::alive) ||
        state > static_cast<std::uint8_t>(MemberState::dead))
      return std::nullopt;
    r.state = static_cast<MemberState>(state);
    r.incarnation = static_cast<std::uint32_t>(in.take(4));
    r.by = static_cast<int>(in.take(2));
    w.updates.push_back(r);
  }
  return w;
}

}  // namespace keelflow::fleet
