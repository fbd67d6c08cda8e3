#include "fleet/dissemination.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace keelflow::fleet {
namespace {

// Each update is piggybacked on kTransmissionFactor * log2(members + 1) messages, rounded up.
constexpr double kTransmissionFactor = 3;
// Number of members to which an urgent update is sent immediately, in gossip messages.
constexpr int kUrgentFanout = 4;
// Token bucket for urgent gossip messages: its capacity, and its refill rate in messages per ms.
constexpr double kMaxGossipBudget = 24;
constexpr double kGossipRefillPerMs = 0.04;

void add_new(const std::vector<MemberUpdate>& added, std::vector<MemberUpdate>& updates) {
  for (const MemberUpdate& update : added)
    if (std::find(updates.begin(), updates.end(), update) == updates.end())
      updates.push_back(update);
}

}  // namespace

Dissemination::Dissemination(const MemberTable& members, MemberSampler& sampler, Time now)
    : members_(members), sampler_(sampler), budget_(kMaxGossipBudget), budget_at_(now) {}

void Dissemination::enqueue(int member) {
  double transmissions = std::ceil(kTransmissionFactor * std::log2(members_.size() + 1));
  transmissions_left_[member] = static_cast<int>(transmissions);
}

void Dissemination::enqueue_urgent(int member, Time now, MembershipOutput& out) {
  enqueue(member);
  budget_ = std::min(kMaxGossipBudget, budget_ + (now - budget_at_) * kGossipRefillPerMs);
  budget_at_ = now;
  for (int i = 0; i < kUrgentFanout; ++i) {
    if (budget_ < 1) {
      ++held_back_;
      return;
    }
    int to = sampler_.alive_member_except(member);
    if (to < 0)
      return;
    budget_ -= 1;
    send_gossip(to, members_.updates_of(member), out);
  }
}

void Dissemination::send(int to, MembershipMessage message, MembershipOutput& out,
                         Padding padding) {
  message.incarnation = members_.own_incarnation();
  message.digest = members_.digest();
  if (members_.is_accused(to))
    add_new(members_.updates_of(to), message.updates);  // only the accused member can refute it
  add_queued(message.updates);
  if (padding == Padding::table)
    add_from_table(message.updates);
  if (message.updates.size() > kMaxUpdates)
    message.updates.resize(kMaxUpdates);
  out.messages.push_back({to, encode(message)});
  ++messages_;
  bytes_ += out.messages.back().bytes.size();
}

void Dissemination::send_probe(int to, std::uint16_t number, MembershipOutput& out) {
  send(to,
       {.kind = MembershipMessage::Kind::probe,
        .number = number,
        .subject = members_.self(),
        .updates = {}},
       out);
}

void Dissemination::send_gossip(int to, std::vector<MemberUpdate> updates, MembershipOutput& out,
                                Padding padding) {
  send(to,
       {.kind = MembershipMessage::Kind::gossip,
        .subject = members_.self(),
        .updates = std::move(updates)},
       out, padding);
}

// Selects updates round robin, so that with many queued updates each is sent once before any is
// sent again.
void Dissemination::add_queued(std::vector<MemberUpdate>& updates) {
  for (std::size_t left = transmissions_left_.size(); left > 0 && updates.size() < kMaxUpdates;
       --left) {
    auto next = transmissions_left_.upper_bound(last_piggybacked_);
    if (next == transmissions_left_.end())
      next = transmissions_left_.begin();
    last_piggybacked_ = next->first;
    add_new(members_.updates_of(next->first), updates);
    if (--next->second <= 0)
      transmissions_left_.erase(next);
  }
}

void Dissemination::add_from_table(std::vector<MemberUpdate>& updates) {
  for (int i = 0; i < members_.size() && updates.size() < kMaxUpdates; ++i) {
    std::vector<MemberUpdate> of_member = members_.updates_of(table_cursor_);
    if (!of_member.empty())
      updates.push_back(of_member.front());
    table_cursor_ = (table_cursor_ + 1) % members_.size();
  }
}

}  // namespace keelflow::fleet
