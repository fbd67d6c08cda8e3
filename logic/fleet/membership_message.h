// What nodes tell one another of who lives: one datagram, at most 256 bytes. docs/design/fleet.md
// has every byte.
//
// A node of the release before takes none of these for one of its own (its notes are 8 bytes), and
// none of its notes is taken for one of these; a word of a later version is passed over.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace keelflow::fleet {

enum class MemberState : std::uint8_t { unknown, alive, suspect, dead };

struct MemberUpdate {
  int member = 0;
  MemberState state = MemberState::alive;
  std::uint32_t incarnation = 0;  // which life of it, and which word of its own about that life
  int by = 0;                     // who found out; of `alive` the member itself
  bool operator==(const MemberUpdate&) const = default;
};

struct MembershipMessage {
  // ping wants ack; ask wants the receiver to ping `about` and to pass on whether it answers (ack)
  // or not (nack); tell wants nothing.
  enum class Kind : std::uint8_t { ping, ack, ask, nack, tell } kind = Kind::tell;
  std::uint16_t number = 0;       // of the ping or ask that is answered
  std::uint32_t incarnation = 0;  // the sender's
  std::uint32_t digest =
      0;          // of all that the sender holds of who lives; equal ones need no telling
  int about = 0;  // the member that was asked after; the sender itself where nobody asked
  std::vector<MemberUpdate> updates;
  bool operator==(const MembershipMessage&) const = default;
};

constexpr std::size_t kMostBytes = 256, kHeadSize = 16, kRumourSize = 9;
constexpr std::size_t kMostRumours = (kMostBytes - kHeadSize) / kRumourSize;

std::string encode(const MembershipMessage& word);
// Empty: not such a word, or one that is not whole.
std::optional<MembershipMessage> decode_membership_message(std::string_view bytes);

}  // namespace keelflow::fleet
