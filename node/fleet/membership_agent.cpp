#include "fleet/membership_agent.h"

#include <nlohmann/json.hpp>

#include "log/log.h"

namespace keelflow {
namespace {

using fleet::MemberState;
using nlohmann::json;

std::string_view to_string(MemberState state) {
  switch (state) {
    case MemberState::unknown:
      return "unknown";
    case MemberState::alive:
      return "alive";
    case MemberState::suspect:
      return "suspect";
    case MemberState::dead:
      return "dead";
  }
  return "";
}

bool changes_who_is_alive(const fleet::MemberChange& change) {
  return change.to == MemberState::dead || change.from == MemberState::dead;
}

// The first message of a member is logged at debug level, as it is no event for operators.
log::Level level_of(const fleet::MemberChange& change) {
  if (change.to == MemberState::dead)
    return log::Level::warning;
  return change.from == MemberState::unknown ? log::Level::debug : log::Level::info;
}

json seconds_since(double then, double now) {
  return then > 0 ? json((now - then) / 1000) : json(nullptr);
}

}  // namespace

MembershipAgent::~MembershipAgent() {
  timers_.cancel(timer_);
}

void MembershipAgent::start(const Settings& settings, int members, int self) {
  if (!settings.on || membership_ || members < 2)
    return;
  double now = now_ms();
  auto incarnation = static_cast<std::uint32_t>(now / 1000);
  membership_.emplace(
      fleet::Membership::Settings{.members = members,
                                  .self = self,
                                  .period = to_ms(settings.period),
                                  .least_suspicion = to_ms(settings.least_suspicion),
                                  .most_suspicion = to_ms(settings.most_suspicion)},
      now, incarnation);
  arm_timer();
}

void MembershipAgent::leave() {
  if (!membership_)
    return;
  fleet::Membership::Output out;
  membership_->leave(now_ms(), out);
  execute(out);
}

bool MembershipAgent::handle_peer_datagram(int from, const std::string& bytes) {
  if (!membership_)
    return fleet::decode_membership_message(bytes)
        .has_value();  // off in this node, on in the sender
  fleet::Membership::Output out;
  bool is_membership_message = membership_->on_datagram(now_ms(), from, bytes, out);
  execute(out);
  arm_timer();
  return is_membership_message;
}

// Replaces a timer that is due later than the next event. An earlier timer stays: when it fires,
// nothing is due yet.
void MembershipAgent::arm_timer() {
  if (timer_ != 0 && timer_due_ <= membership_->next())
    return;
  timers_.cancel(timer_);
  timer_due_ = membership_->next();
  timer_ = timers_.at(clock_.at(timer_due_), [this] { on_timer(); });
}

void MembershipAgent::on_timer() {
  timer_ = 0;
  fleet::Membership::Output out;
  membership_->tick(now_ms(), out);
  execute(out);
  arm_timer();
}

void MembershipAgent::execute(const fleet::Membership::Output& out) {
  for (const fleet::OutgoingMessage& message : out.messages) {
    ++counters_.fleet_words_sent;
    counters_.fleet_bytes_sent += message.bytes.size();
    peers_.send_datagram(message.to, message.bytes);
  }
  bool is_engine_affected = false;
  for (const fleet::MemberChange& change : out.changes) {
    counters_.members_suspected += change.to == MemberState::suspect;
    counters_.members_dead += change.to == MemberState::dead;
    is_engine_affected = is_engine_affected || changes_who_is_alive(change);
    report(change);
  }
  if (is_engine_affected)
    notify_engine();
}

void MembershipAgent::report(const fleet::MemberChange& change) {
  log::write(log::Subsystem::fleet, level_of(change), "member",
             {{"member", change.member},
              {"from", to_string(change.from)},
              {"to", to_string(change.to)},
              {"incarnation", std::uint64_t{change.incarnation}},
              {"evidence", change.evidence}});
}

void MembershipAgent::notify_engine() {
  std::vector<bool> is_alive;
  for (int member = 0; member < membership_->members(); ++member)
    is_alive.push_back(membership_->is_alive(member));
  engine_.on_membership_changed(is_alive);
}

json MembershipAgent::status_of(int member, double now) const {
  const fleet::Member& entry = membership_->at(member);
  return {{"member", member},
          {"life", to_string(entry.state)},
          {"incarnation", entry.incarnation},
          {"accusers", entry.accusers},
          {"since_s", seconds_since(entry.since, now)},
          {"heard_s", seconds_since(entry.last_datagram_at, now)}};
}

json MembershipAgent::status() const {
  if (!membership_)
    return nullptr;
  json members = json::array();
  double now = now_ms();
  for (int member = 0; member < membership_->members(); ++member)
    members.push_back(status_of(member, now));
  fleet::Membership::Statistics statistics = membership_->statistics();
  return {{"members", members},
          {"living", membership_->alive_count()},
          {"doubt", membership_->health()},
          {"refuted", statistics.refutations},
          {"stalls", statistics.stalls},
          {"held_back", statistics.held_back}};
}

}  // namespace keelflow
