#include "fleet/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/mix.h"

namespace keelflow::fleet {
namespace {

constexpr double kPingGap = 0.32;   // periods between the pings of one look
constexpr int kPings = 4;           // of one look: with 30 % loss each way 7 in 100 looks then fail
constexpr double kAskOthers = 0.6;  // periods after which others are asked to look too
constexpr double kVerdict = 1.8;    // periods after which a look has failed
constexpr int kMediators =
    3;  // that are asked; as many independent accusers make the shortest suspicion
constexpr int kVerifiers = 5;        // so many, by lot, look at once at one whom another accuses
constexpr int kFanout = 4;           // to whom news goes on at once
constexpr double kTellings = 3;      // times log2 of the members: how often a word rides along
constexpr std::int64_t kAnyway = 4;  // each so many rounds whoever was heard is asked all the same
constexpr Time kRemind = 1000;       // ms between looks at somebody dead
constexpr int kBurst = 8;  // dead ones looked at when one has come back: it rarely comes alone
constexpr int kMostDoubt = 8, kQuiet = 4;  // from this doubt on nobody is accused aloud
constexpr std::size_t kMostErrands = 16;
constexpr double kBudget = 24,
                 kBudgetRate = 0.04;  // news passed on at once: most saved up, and a ms
constexpr Time kAlone = 3;            // periods without a word from anyone

std::uint32_t incarnation_tag(int m, const Membership::Member& of) {
  if (of.state == MemberState::unknown)
    return 0;
  return static_cast<std::uint32_t>(mix(static_cast<std::uint64_t>(m) << 33 |
                                        std::uint64_t{of.state == MemberState::dead} << 32 |
                                        of.incarnation));
}

std::string name(int m) {
  return "n" + std::to_string(m);
}

}  // namespace

Membership::Membership(const Settings& settings, Time now, std::uint32_t incarnation)
    : settings_(settings),
      members_(static_cast<std::size_t>(settings.members)),
      now_(now),
      last_heard_(now),
      dead_due_(now + kRemind),
      budget_at_(now),
      incarnation_(incarnation),
      random_(mix(incarnation ^ static_cast<std::uint64_t>(settings.self) << 32)),
      budget_(kBudget),
      living_(settings.members) {
  Output none;
  set(settings.self, MemberState::alive, incarnation, "", none);
  spread(settings.self);
  // Spread over the period, so that not all look at once.
  double phase = std::fmod(settings.self * 0.6180339887, 1.0) * settings.period;
  round_due_ = (std::floor(now / settings.period) + 1) * settings.period + phase;
  plan();
}

double Membership::random() {
  return static_cast<double>((random_ = mix(random_)) >> 11) * 0x1p-53;
}

int Membership::random_living(int but) {
  for (int tries = 0; tries < 16; ++tries) {
    int m = static_cast<int>(random() * settings_.members);
    if (is_other(m) && m != but && lives(m))
      return m;
  }
  return -1;
}

bool Membership::alone() const {
  return now_ - last_heard_ > kAlone * settings_.period;
}

// ---- what is held of each ----

void Membership::set(int m, MemberState state, std::uint32_t incarnation, std::string evidence,
                     Output& out) {
  Member& of = member(m);
  MemberState before = of.state;
  digest_ ^= incarnation_tag(m, of);
  living_ += (state != MemberState::dead) - (before != MemberState::dead);
  suspects_ += (state == MemberState::suspect) - (before == MemberState::suspect);
  of.state = state;
  of.incarnation = incarnation;
  of.left = false;
  if (state != MemberState::suspect)
    of.accusers.clear();
  digest_ ^= incarnation_tag(m, of);
  if (state == before)
    return;
  of.since = now_;
  figures_.deaths += state == MemberState::dead;
  if (m != settings_.self)
    out.changes.push_back({m, before, state, incarnation, std::move(evidence)});
}

void Membership::spread(int m) {
  to_tell_[m] = static_cast<int>(std::ceil(kTellings * std::log2(settings_.members + 1)));
}

std::vector<MemberUpdate> Membership::rumours_of(int m) const {
  const Member& of = at(m);
  if (of.state == MemberState::unknown)
    return {};
  if (of.state == MemberState::alive)
    return {{m, MemberState::alive, of.incarnation, m}};
  if (of.left)
    return {{m, MemberState::dead, of.incarnation, m}};
  std::vector<MemberUpdate> out;
  for (int by : of.accusers)
    out.push_back({m, of.state, of.incarnation, by});
  if (out.empty())
    out.push_back({m, of.state, of.incarnation, settings_.self});
  return out;
}

// ---- words ----

void Membership::send(int to, MembershipMessage word, Output& out, bool all) {
  word.incarnation = incarnation_;
  word.digest = digest_;
  auto add = [&](int m) {
    for (const MemberUpdate& r : rumours_of(m))
      if (std::find(word.updates.begin(), word.updates.end(), r) == word.updates.end())
        word.updates.push_back(r);
  };
  if (at(to).state == MemberState::suspect || at(to).state == MemberState::dead)
    add(to);  // it is the one who can clear itself
  // In turn: with much to tell, what stands first must not be told over and over before the rest is
  // told once.
  for (std::size_t left = to_tell_.size(); left > 0 && word.updates.size() < kMostRumours; --left) {
    auto it = to_tell_.upper_bound(told_last_);
    if (it == to_tell_.end())
      it = to_tell_.begin();
    told_last_ = it->first;
    add(it->first);
    if (--it->second <= 0)
      to_tell_.erase(it);
  }
  for (int i = 0; all && i < settings_.members && word.updates.size() < kMostRumours; ++i) {
    if (auto updates = rumours_of(cursor_); !updates.empty())
      word.updates.push_back(updates.front());
    cursor_ = (cursor_ + 1) % settings_.members;
  }
  if (word.updates.size() > kMostRumours)
    word.updates.resize(kMostRumours);
  out.letters.push_back({to, encode(word)});
  ++figures_.letters;
  figures_.bytes += out.letters.back().bytes.size();
}

// StatusCallback goes on at once, within a budget: whatever happens, it cannot fill the network.
void Membership::pass_on(int m, Output& out) {
  spread(m);
  budget_ = std::min(kBudget, budget_ + (now_ - budget_at_) * kBudgetRate);
  budget_at_ = now_;
  for (int i = 0; i < kFanout; ++i) {
    if (budget_ < 1)
      return void(++figures_.held_back);
    int to = random_living(m);
    if (to < 0)
      return;
    budget_ -= 1;
    send(to,
         {.kind = MembershipMessage::Kind::tell,
          .number = 0,
          .incarnation = 0,
          .digest = 0,
          .about = settings_.self,
          .updates = rumours_of(m)},
         out);
  }
}

bool Membership::hear(Time now, int from, std::string_view bytes, Output& out) {
  now_ = std::max(now_, now);
  if (!is_other(from))
    return false;
  auto word = decode_membership_message(bytes);
  met(from, word ? word->incarnation : 0, out);
  if (word) {
    for (const MemberUpdate& r : word->updates)
      if (r.member >= 0 && r.member < settings_.members && r.by >= 0 && r.by < settings_.members)
        take(r, out);
    answer(from, *word, out);
  }
  plan();
  return word.has_value();
}

void Membership::answer(int from, const MembershipMessage& word, Output& out) {
  bool differs = word.digest != digest_;
  if (word.kind == MembershipMessage::Kind::ping)
    return send(from,
                {.kind = MembershipMessage::Kind::ack,
                 .number = word.number,
                 .incarnation = 0,
                 .digest = 0,
                 .about = settings_.self,
                 .updates = {}},
                out, differs);
  if (word.kind == MembershipMessage::Kind::ask && is_other(word.about) &&
      errands_.size() < kMostErrands)
    errands_.push_back(
        {from, word.about, word.number, now_ + kVerdict * settings_.period / 2, now_});
  auto look = looks_.find(word.about);
  bool mine = look != looks_.end() && look->second.number == word.number;
  if (word.kind == MembershipMessage::Kind::nack && mine)
    look->second.nacked = true;
  if (word.kind == MembershipMessage::Kind::ack && mine) {  // through another
    looks_.erase(look);
    doubt_ = std::max(0, doubt_ - 1);
  }
  // What they hold differs: the one who asked sends a part of its own, as the one who answered has.
  if (word.kind == MembershipMessage::Kind::ack && differs)
    send(from,
         {.kind = MembershipMessage::Kind::tell,
          .number = 0,
          .incarnation = 0,
          .digest = 0,
          .about = settings_.self,
          .updates = {}},
         out, true);
}

// Who is accused or dead is told so at each datagram of its own, and clears itself by a new
// incarnation. The datagram alone clears nobody: who cannot hear that it was accused cannot hear
// anything else, and those whom its datagrams reach would hold it for alive beside others who do
// not.
void Membership::met(int from, std::uint32_t incarnation, Output& out) {
  if (alone())
    forgive(out);
  last_heard_ = now_;
  Member& m = member(from);
  if (m.left && incarnation <= m.incarnation)
    return;
  m.heard = now_;
  if (looks_.erase(from) > 0)
    doubt_ = std::max(0, doubt_ - 1);
  bool of_before = incarnation == 0 && m.state == MemberState::dead && m.worded < m.since &&
                   now_ > m.since + kRemind;
  if (incarnation > 0)
    m.worded = now_;
  if (m.state == MemberState::dead && (incarnation > m.incarnation || of_before))
    came_back_ = true, dead_due_ = now_;
  if (m.state == MemberState::unknown || incarnation > m.incarnation) {
    set(from, MemberState::alive, std::max(incarnation, m.incarnation), "it was heard", out);
    return spread(from);
  }
  if (m.state == MemberState::alive)
    return;
  if (incarnation > 0)
    send(from,
         {.kind = MembershipMessage::Kind::tell,
          .number = 0,
          .incarnation = 0,
          .digest = 0,
          .about = settings_.self,
          .updates = rumours_of(from)},
         out);
  if (of_before)
    set(from, MemberState::alive, m.incarnation, "it was heard itself", out);
}

// Nobody could be heard until now: what was concluded from that says nothing of the others.
void Membership::forgive(Output& out) {
  for (int m = 0; m < settings_.members; ++m)
    if (is_other(m) && !at(m).left && at(m).since >= last_heard_ &&
        (at(m).state == MemberState::suspect || at(m).state == MemberState::dead))
      set(m, MemberState::alive, at(m).incarnation, "this node had heard nobody", out);
  looks_.clear();
}

void Membership::take(const MemberUpdate& r, Output& out) {
  if (r.member == settings_.self)
    return take_of_self(r, out);
  Member& m = member(r.member);
  if (m.state != MemberState::unknown && r.incarnation < m.incarnation)
    return;
  bool newer = m.state == MemberState::unknown || r.incarnation > m.incarnation;
  if (r.state == MemberState::alive) {
    if (!newer)
      return;
    set(r.member, MemberState::alive, r.incarnation, "others heard it", out);
    return spread(r.member);
  }
  if (r.state == MemberState::dead && r.by == r.member) {
    if (m.left)
      return;
    set(r.member, MemberState::dead, r.incarnation, "it said that it ends", out);
    m.left = true;
    return pass_on(r.member, out);
  }
  if (newer)
    set(r.member, MemberState::alive, r.incarnation, "others heard it", out);
  if (m.state == MemberState::alive)
    accuse(r.member, r.by, out);
  else if (m.state == MemberState::suspect && m.accusers.size() <= kMediators &&
           m.accusers.insert(r.by).second)
    pass_on(r.member, out);
}

void Membership::take_of_self(const MemberUpdate& r, Output& out) {
  if (leaving_ || r.incarnation < incarnation_ ||
      (r.state == MemberState::alive && r.incarnation == incarnation_))
    return;
  incarnation_ = r.incarnation + 1;
  set(settings_.self, MemberState::alive, incarnation_, "", out);
  ++figures_.refutations;
  if (r.state != MemberState::alive)
    doubt_ = std::min(kMostDoubt, doubt_ + 1);
  pass_on(settings_.self, out);
}

void Membership::accuse(int m, int by, Output& out) {
  ++figures_.accusations;
  member(m).accusers = {by};
  set(m, MemberState::suspect, at(m).incarnation,
      by == settings_.self ? "it does not answer" : name(by) + " says that it does not answer",
      out);
  bool own = by == settings_.self;
  if (!own || (!alone() && doubt_ < kQuiet))
    pass_on(m, out);
  if (!own && random() * living_ < kVerifiers)
    look_at(m);
}

// ---- looks ----

void Membership::tick(Time now, Output& out) {
  now_ = std::max(now_, now);
  if (now_ < next_)
    return;
  notice_stall();
  if (now_ >= round_due_)
    begin_round(out);
  go_on(out);
  run_errands(out);
  bury(out);
  if (now_ >= dead_due_)
    remind_dead(out);
  plan();
}

// Who was stalled knows nothing of the time that passed: all that waits gets it back, and for a
// while its own looks accuse nobody aloud.
void Membership::notice_stall() {
  Time late = now_ - next_;
  if (late < settings_.period)
    return;
  ++figures_.stalls;
  doubt_ = std::min(kMostDoubt, doubt_ + static_cast<int>(late / settings_.period));
  for (Member& m : members_)
    if (m.state == MemberState::suspect)
      m.since += late;
  looks_.clear();
  errands_.clear();
  last_heard_ = std::max(last_heard_, now_ - settings_.period);
}

// By the clock that all share everyone is looked at by one other in each round.
void Membership::begin_round(Output& out) {
  auto round = static_cast<std::int64_t>(std::floor(now_ / settings_.period));
  round_due_ +=
      settings_.period * std::max(1.0, std::ceil((now_ - round_due_ + 1) / settings_.period));
  if (settings_.members < 2)
    return;
  int distance = 1 + static_cast<int>(round % (settings_.members - 1));
  int m = (settings_.self + distance) % settings_.members;
  for (int i = 0; i < settings_.members && (m == settings_.self || !lives(m)); ++i)
    m = (m + 1) % settings_.members;
  // Who was heard need not be asked, but news rides on words: where notes alone are heard none
  // would go round.
  bool spared = heard_of_late(m) && to_tell_.empty() && round % kAnyway != 0;
  if (is_other(m) && lives(m) && !spared)
    look_at(m);
  // Who is accused is told so as long as it lasts: it may clear itself.
  int reminded = 0;
  for (int s = 0; s < settings_.members && reminded < kMediators; ++s)
    if (at(s).state == MemberState::suspect && !looks_.contains(s)) {
      send(s,
           {.kind = MembershipMessage::Kind::ping,
            .number = ++last_number_,
            .incarnation = 0,
            .digest = 0,
            .about = settings_.self,
            .updates = {}},
           out);
      ++reminded;
    }
}

void Membership::look_at(int m) {
  if (looks_.contains(m))
    return;
  looks_[m] = {.begun = now_, .next = now_, .tries = 0, .number = ++last_number_};
}

void Membership::go_on(Output& out) {
  for (auto it = looks_.begin(); it != looks_.end();)
    it = now_ >= it->second.next && go_on(it->first, it->second, out) ? looks_.erase(it)
                                                                      : std::next(it);
}

bool Membership::go_on(int m, Look& look, Output& out) {
  Time period = settings_.period, verdict = look.begun + kVerdict * period * (1 + doubt_ / 4.0);
  if (now_ >= verdict) {
    // With no word from those who were asked either, the fault may be here.
    if (look.asked_others && !look.nacked)
      doubt_ = std::min(kMostDoubt, doubt_ + 1);
    Member& of = member(m);
    if (of.state == MemberState::alive)
      accuse(m, settings_.self, out);
    else if (of.state == MemberState::suspect && !alone() &&
             of.accusers.insert(settings_.self).second)
      pass_on(m, out);
    return true;
  }
  if (look.tries < kPings && now_ >= look.begun + look.tries * kPingGap * period) {
    ++look.tries;
    send(m,
         {.kind = MembershipMessage::Kind::ping,
          .number = look.number,
          .incarnation = 0,
          .digest = 0,
          .about = settings_.self,
          .updates = {}},
         out);
  }
  if (!look.asked_others && now_ >= look.begun + kAskOthers * period) {
    look.asked_others = true;
    for (int i = 0; i < kMediators; ++i)
      if (int other = random_living(m); other >= 0)
        send(other,
             {.kind = MembershipMessage::Kind::ask,
              .number = look.number,
              .incarnation = 0,
              .digest = 0,
              .about = m,
              .updates = {}},
             out);
  }
  look.next = verdict;
  if (look.tries < kPings)
    look.next = std::min(look.next, look.begun + look.tries * kPingGap * period);
  if (!look.asked_others)
    look.next = std::min(look.next, look.begun + kAskOthers * period);
  return false;
}

void Membership::run_errands(Output& out) {
  for (auto it = errands_.begin(); it != errands_.end();) {
    bool heard = at(it->target).heard >= it->until - kVerdict * settings_.period / 2,
         over = now_ >= it->until;
    if (heard || over) {
      send(it->asker,
           {.kind = heard ? MembershipMessage::Kind::ack : MembershipMessage::Kind::nack,
            .number = it->number,
            .incarnation = 0,
            .digest = 0,
            .about = it->target,
            .updates = {}},
           out);
      it = errands_.erase(it);
      continue;
    }
    if (now_ >= it->next) {
      send(it->target,
           {.kind = MembershipMessage::Kind::ping,
            .number = ++last_number_,
            .incarnation = 0,
            .digest = 0,
            .about = settings_.self,
            .updates = {}},
           out);
      it->next = now_ + kPingGap * settings_.period;
    }
    ++it;
  }
}

// Suspicion lasts the shorter the more accuse independently of each other.
Time Membership::patience(const Member& m) const {
  int others = std::min(kMediators, living_ - 2);
  if (others <= 0)
    return settings_.most_suspicion;
  double agree = std::min<double>(others, static_cast<double>(m.accusers.size()) - 1);
  double share = std::log(agree + 1) / std::log(others + 1);
  return settings_.most_suspicion - (settings_.most_suspicion - settings_.least_suspicion) * share;
}

void Membership::bury(Output& out) {
  for (int m = 0; m < settings_.members; ++m) {
    Member& of = member(m);
    if (of.state != MemberState::suspect || now_ < of.since + patience(of))
      continue;
    std::string evidence = "no answer to";
    for (int by : of.accusers)
      evidence += " " + name(by);
    std::set<int> accusers = of.accusers;
    set(m, MemberState::dead, of.incarnation, evidence, out);
    of.accusers = std::move(accusers);
    looks_.erase(m);
    if (!alone())
      spread(m);
  }
}

// The dead are asked now and then: a cut may have healed.
void Membership::remind_dead(Output& out) {
  int left = std::exchange(came_back_, false) ? kBurst : 1;
  for (int i = 0; i < settings_.members && left > 0; ++i) {
    int m = dead_cursor_ = (dead_cursor_ + 1) % settings_.members;
    if (!is_other(m) || lives(m))
      continue;
    send(m,
         {.kind = MembershipMessage::Kind::ping,
          .number = ++last_number_,
          .incarnation = 0,
          .digest = 0,
          .about = settings_.self,
          .updates = {}},
         out);
    --left;
  }
  dead_due_ = now_ + kRemind;
}

void Membership::leave(Time now, Output& out) {
  now_ = std::max(now_, now);
  leaving_ = true;
  Member& me = member(settings_.self);
  me.left = true;
  me.state = MemberState::dead;
  pass_on(settings_.self, out);
}

void Membership::plan() {
  next_ = std::min(round_due_, dead_due_);
  for (const auto& [m, look] : looks_)
    next_ = std::min(next_, look.next);
  for (const Errand& e : errands_)
    next_ =
        std::min({next_, e.until,
                  at(e.target).heard >= e.until - kVerdict * settings_.period / 2 ? now_ : e.next});
  for (std::size_t i = 0; suspects_ > 0 && i < members_.size(); ++i)
    if (const Member& m = members_[i]; m.state == MemberState::suspect)
      next_ = std::min(next_, m.since + patience(m));
}

}  // namespace keelflow::fleet
