/// Dissemination of member updates: piggybacked on every message between members, and as gossip of
/// its own where they are urgent. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/member_sampler.h"
#include "fleet/member_table.h"
#include "fleet/membership_message.h"

namespace keelflow::fleet {

/// A datagram to send.
struct OutgoingMessage {
  int to = 0;
  std::string bytes;
};

/// What follows from an event, in the order of sending.
struct MembershipOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberChange> changes;
};

/// Owns the queue of updates that ride along, and the budget of gossip. Every message of a
/// membership goes out through it.
class Dissemination {
 public:
  /// What fills the rest of a message after the updates that are queued.
  enum class Padding { none, table };

  Dissemination(const MemberTable& members, MemberSampler& sampler, Time now);

  /// The member's updates ride along on the next messages, about as often as reaches everyone.
  void enqueue(int member);
  /// The same, and gossip goes at once to some members, within a budget: whatever happens, it
  /// cannot fill the network.
  void enqueue_urgent(int member, Time now, MembershipOutput& out);
  bool has_queued() const { return !transmissions_left_.empty(); }

  /// Adds the sender's values and the updates. `subject` and `updates` are sent as they are.
  void send(int to, MembershipMessage message, MembershipOutput& out,
            Padding padding = Padding::none);
  void send_probe(int to, std::uint16_t number, MembershipOutput& out);
  void send_gossip(int to, std::vector<MemberUpdate> updates, MembershipOutput& out,
                   Padding padding = Padding::none);

  std::uint64_t messages() const { return messages_; }    ///< sent
  std::uint64_t bytes() const { return bytes_; }          ///< sent
  std::uint64_t held_back() const { return held_back_; }  ///< gossip that the budget forbade

 private:
  void add_queued(std::vector<MemberUpdate>& updates);
  void add_from_table(std::vector<MemberUpdate>& updates);

  const MemberTable& members_;
  MemberSampler& sampler_;
  std::map<int, int> transmissions_left_;  ///< by member whose updates ride along
  int last_piggybacked_ = -1;              ///< member
  int table_cursor_ = 0;                   ///< member
  double budget_;                          ///< gossip messages
  Time budget_at_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t held_back_ = 0;
};

}  // namespace keelflow::fleet
