/// Dissemination of member updates: updates are piggybacked on every message between members, and
/// urgent updates are also sent in separate gossip messages. Pure: no I/O and no clock of its own.
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

/// The messages to send after an event, in sending order, and the state changes that the event
/// caused.
struct MembershipOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberChange> changes;
};

/// Owns the queue of updates to piggyback and the budget for gossip messages. Creates every message
/// that a Membership sends.
class Dissemination {
 public:
  /// What fills the remaining space of a message after the queued updates. `table`: updates from
  /// the member table.
  enum class Padding { none, table };

  Dissemination(const MemberTable& members, MemberSampler& sampler, Time now);

  /// Piggybacks the updates about the member on the next messages, about as many times as it takes
  /// to reach every member.
  void enqueue(int member);
  /// Enqueues the updates about the member like enqueue(), and immediately sends them in gossip
  /// messages to a few members. A budget limits the rate of gossip messages, so that they cannot
  /// saturate the network.
  void enqueue_urgent(int member, Time now, MembershipOutput& out);
  bool has_queued() const { return !transmissions_left_.empty(); }

  /// Fills in the sender's incarnation and digest and appends queued updates. `subject` is sent
  /// unchanged, and `updates` come first.
  void send(int to, MembershipMessage message, MembershipOutput& out,
            Padding padding = Padding::none);
  void send_probe(int to, std::uint16_t number, MembershipOutput& out);
  void send_gossip(int to, std::vector<MemberUpdate> updates, MembershipOutput& out,
                   Padding padding = Padding::none);

  std::uint64_t messages() const { return messages_; }  ///< sent in total
  std::uint64_t bytes() const { return bytes_; }        ///< sent in total
  /// Number of gossip messages not sent for lack of budget.
  std::uint64_t held_back() const { return held_back_; }

 private:
  void add_queued(std::vector<MemberUpdate>& updates);
  void add_from_table(std::vector<MemberUpdate>& updates);

  const MemberTable& members_;
  MemberSampler& sampler_;
  std::map<int, int> transmissions_left_;  ///< indexed by the member whose updates are queued
  int last_piggybacked_ = -1;              ///< member whose updates were piggybacked last
  int table_cursor_ = 0;                   ///< next member whose updates are sent as padding
  double budget_;                          ///< urgent gossip messages that may be sent
  Time budget_at_;                         ///< time of the last refill
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t held_back_ = 0;
};

}  // namespace keelflow::fleet
