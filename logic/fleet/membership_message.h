/// The message of the membership protocol between nodes, and its codec: one datagram of at most 256
/// bytes. docs/design/fleet.md specifies the layout.
///
/// A node of an earlier release cannot mistake such a message for a load update (8 bytes), nor can
/// a load update be mistaken for such a message. A message of a later version is ignored.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace keelflow::fleet {

/// A member's state as in SWIM. `unknown`: no message from or about the member has been received.
enum class MemberState : std::uint8_t { unknown, alive, suspect, dead };

/// A report about the state of one member: the unit of gossip.
struct MemberUpdate {
  int member = 0;
  MemberState state = MemberState::alive;
  std::uint32_t incarnation = 0;  ///< of the member; only the member itself increments it
  int reported_by = 0;            ///< the member itself for `alive` and for an announced shutdown
  bool operator==(const MemberUpdate&) const = default;
};

/// A message between two members. Messages of every kind can carry piggybacked updates.
struct MembershipMessage {
  /// Values as on the wire. A probe requests an ack. An indirect probe requests that the receiver
  /// probes `subject` and reports whether it answers (ack) or not (nack). Gossip needs no answer.
  enum class Kind : std::uint8_t {
    probe = 0,
    ack = 1,
    indirect_probe = 2,
    nack = 3,
    gossip = 4
  } kind = Kind::gossip;
  std::uint16_t number = 0;       ///< of the probe, also in its answer
  std::uint32_t incarnation = 0;  ///< of the sender
  std::uint32_t digest = 0;  ///< of the sender's whole table; equal digests need no table updates
  int subject = 0;  ///< the probed member, in messages about an indirect probe; else the sender
  std::vector<MemberUpdate> updates;
  bool operator==(const MembershipMessage&) const = default;
};

constexpr std::size_t kMaxMessageBytes = 256;  // a longer datagram invalidates a benchmark run
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kUpdateBytes = 9;
constexpr std::size_t kMaxUpdates = (kMaxMessageBytes - kHeaderBytes) / kUpdateBytes;

/// Omits updates beyond kMaxUpdates.
std::string encode(const MembershipMessage& message);

/// Returns an empty optional if the bytes are not a complete valid message.
std::optional<MembershipMessage> decode_membership_message(std::string_view bytes);

}  // namespace keelflow::fleet
