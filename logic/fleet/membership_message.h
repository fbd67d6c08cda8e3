/// The message that nodes exchange on who is alive, and its codec: one datagram of at most 256
/// bytes. docs/design/fleet.md has every byte.
///
/// A node of an earlier release takes none of these for a load update (those are 8 bytes), and no
/// load update is taken for one of these; a message of a later version is ignored.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace keelflow::fleet {

/// As in SWIM. `unknown`: no message of the member or on it has been received.
enum class MemberState : std::uint8_t { unknown, alive, suspect, dead };

/// What somebody found out of one member: the unit of gossip.
struct MemberUpdate {
  int member = 0;
  MemberState state = MemberState::alive;
  std::uint32_t incarnation = 0;  ///< of the member, which alone raises it
  int reported_by = 0;            ///< of `alive`, or of a death announced: the member itself
  bool operator==(const MemberUpdate&) const = default;
};

/// A message between two members. Every message has piggybacked updates.
struct MembershipMessage {
  /// The values are those on the wire. A probe requests an ack. An indirect probe requests that the
  /// receiver probes `subject` and forwards whether it answers (ack) or not (nack). Gossip requests
  /// nothing.
  enum class Kind : std::uint8_t {
    probe = 0,
    ack = 1,
    indirect_probe = 2,
    nack = 3,
    gossip = 4
  } kind = Kind::gossip;
  std::uint16_t number = 0;       ///< of the probe, also in its answer
  std::uint32_t incarnation = 0;  ///< the sender's
  std::uint32_t digest = 0;       ///< of the sender's whole table; equal ones need no updates
  int subject = 0;                ///< the member probed; in other messages the sender
  std::vector<MemberUpdate> updates;
  bool operator==(const MembershipMessage&) const = default;
};

constexpr std::size_t kMaxMessageBytes = 256;  // a longer datagram voids the run
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kUpdateBytes = 9;
constexpr std::size_t kMaxUpdates = (kMaxMessageBytes - kHeaderBytes) / kUpdateBytes;

/// Updates past kMaxUpdates are left out.
std::string encode(const MembershipMessage& message);

/// Empty: the bytes are no such message, or not all of it.
std::optional<MembershipMessage> decode_membership_message(std::string_view bytes);

}  // namespace keelflow::fleet
