#include "fleet/members.h"

#include <nlohmann/json.hpp>

#include "log/log.h"

namespace keelflow {
namespace {

using fleet::MemberState;
using nlohmann::json;

std::string_view word(MemberState state) {
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

}  // namespace

MembershipAgent::~MembershipAgent() {
  timers_.cancel(timer_);
}

void MembershipAgent::start(const Settings& s, int members, int self) {
  if (!s.on || membership_ || members < 2)
    return;
  double now = now_ms();
  membership_.emplace(fleet::Membership::Settings{.members = members,
                                                  .self = self,
                                                  .period = to_ms(s.period),
                                                  .least_suspicion = to_ms(s.least_suspicion),
                                                  .most_suspicion = to_ms(s.most_suspicion)},
                      now, static_cast<std::uint32_t>(now / 1000));
  arm();
}

void MembershipAgent::leave() {
  if (!membership_)
    return;
  fleet::Membership::Output out;
  membership_->leave(now_ms(), out);
  carry(out);
}

bool MembershipAgent::hear(int from, const std::string& bytes) {
  if (!membership_)
    return fleet::decode_membership_message(bytes).has_value();  // off here, on there
  fleet::Membership::Output out;
  bool word = membership_->hear(now_ms(), from, bytes, out);
  carry(out);
  arm();
  return word;
}

void MembershipAgent::arm() {
  if (timer_ != 0 && armed_ <= membership_->next())
    return;
  timers_.cancel(timer_);
  armed_ = membership_->next();
  timer_ = timers_.at(clock_.at(armed_), [this] {
    timer_ = 0;
    fleet::Membership::Output out;
    membership_->tick(now_ms(), out);
    carry(out);
    arm();
  });
}

void MembershipAgent::carry(fleet::Membership::Output& out) {
  for (const auto& letter : out.letters) {
    ++counters_.fleet_words_sent;
    counters_.fleet_bytes_sent += letter.bytes.size();
    peers_.tell(letter.to, letter.bytes);
  }
  bool living = false;
  for (const auto& c : out.changes) {
    counters_.members_suspected += c.to == MemberState::suspect;
    counters_.members_dead += c.to == MemberState::dead;
    living = living || c.to == MemberState::dead || c.from == MemberState::dead;
    // Whom it hears of for the first time is no news.
    log::Level level = c.to == MemberState::dead        ? log::Level::warning
                       : c.from == MemberState::unknown ? log::Level::debug
                                                        : log::Level::info;
    log::write(log::Subsystem::fleet, level, "member",
               {{"member", c.member},
                {"from", word(c.from)},
                {"to", word(c.to)},
                {"incarnation", std::uint64_t{c.incarnation}},
                {"evidence", c.evidence}});
  }
  if (!living)
    return;
  std::vector<bool> lives;
  for (int m = 0; m < membership_->members(); ++m)
    lives.push_back(membership_->lives(m));
  engine_.on_membership_changed(lives);
}

json MembershipAgent::status() const {
  if (!membership_)
    return nullptr;
  json members = json::array();
  double now = now_ms();
  for (int m = 0; m < membership_->members(); ++m) {
    const auto& of = membership_->at(m);
    json one = {{"member", m},
                {"life", word(of.state)},
                {"incarnation", of.incarnation},
                {"accusers", of.accusers}};
    one["since_s"] = of.since > 0 ? json((now - of.since) / 1000) : json(nullptr);
    one["heard_s"] = of.heard > 0 ? json((now - of.heard) / 1000) : json(nullptr);
    members.push_back(std::move(one));
  }
  const auto& f = membership_->figures();
  return {{"members", members},
          {"living", membership_->living()},
          {"doubt", membership_->health()},
          {"refuted", f.refutations},
          {"stalls", f.stalls},
          {"held_back", f.held_back}};
}

}  // namespace keelflow
