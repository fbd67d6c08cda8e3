#include "fleet/slow_start_leases.h"

#include <algorithm>
#include <cmath>

#include "fleet/mix.h"
#include "fleet/subsets.h"

namespace keelflow::fleet {
namespace {

using scheduler::Dispatcher;
using scheduler::EndpointEntry;
using scheduler::Event;
using scheduler::SlowStartBudget;

constexpr char kMark = '\xfd';
constexpr char kVersion = 1;
constexpr std::size_t kSize = 28;
constexpr double kLength =
    0.25;  // a grant's, in windows: longer ones lie idle longer when a word is lost
constexpr double kAnswer = 60;    // ms after which another owner is asked
constexpr double kSilent = 1000;  // ms for which one that did not answer is asked last
constexpr double kWanted = 2;     // usual jobs that are asked for
constexpr double kGives = 0.5;    // of what an owner has left it grants so much at once at most
constexpr int kOwners =
    8;  // nodes that own parts: with fewer much lies at nodes that have no use for it

std::uint64_t seed_of(const EndpointEntry& e) {
  return mix(e.endpoint ^ mix(static_cast<std::uint64_t>(std::max(0.0, e.started_at) * 1000)));
}
std::uint32_t incarnation_of(const EndpointEntry& e) {
  return static_cast<std::uint32_t>(seed_of(e));
}

void put(std::string& out, std::uint32_t v) {
  for (int shift : {24, 16, 8, 0})
    out += static_cast<char>(v >> shift & 0xff);
}

std::uint32_t get(std::string_view bytes, std::size_t from) {
  std::uint32_t v = 0;
  for (std::size_t i = from; i < from + 4; ++i)
    v = v << 8 | static_cast<std::uint8_t>(bytes[i]);
  return v;
}

std::uint32_t whole(double ms) {
  return static_cast<std::uint32_t>(std::clamp(std::floor(ms), 0.0, 1e9));
}

}  // namespace

std::string encode(const SlowStartMessage& w) {
  std::string out{kMark, kVersion, static_cast<char>(w.kind), '\0'};
  for (std::uint32_t v : {w.endpoint, w.life, w.asker, w.number, w.work, w.least})
    put(out, v);
  return out;
}

std::optional<SlowStartMessage> decode_slow_start_message(std::string_view bytes) {
  if (bytes.size() != kSize || bytes[0] != kMark || bytes[1] != kVersion || bytes[2] < 0 ||
      bytes[2] > 2)
    return std::nullopt;
  return SlowStartMessage{static_cast<SlowStartMessage::Kind>(bytes[2]),
                          get(bytes, 4),
                          get(bytes, 8),
                          get(bytes, 12),
                          get(bytes, 16),
                          get(bytes, 20),
                          get(bytes, 24)};
}

std::vector<int> order_at(const EndpointEntry& endpoint, int dispatchers) {
  std::uint64_t seed = seed_of(endpoint);
  std::vector<std::pair<std::uint64_t, int>> scored;
  for (int d = 0; d < dispatchers; ++d)
    scored.emplace_back(mix(seed + static_cast<std::uint64_t>(d)), d);
  std::sort(scored.begin(), scored.end());
  std::vector<int> order;
  for (const auto& [score, d] : scored)
    order.push_back(d);
  return order;
}

double share_at(int place, int dispatchers) {
  int owners = std::min(kOwners, dispatchers);
  return place < owners ? 1.0 / owners : 0;
}

SlowStartLeases::Statistics& SlowStartLeases::Statistics::operator+=(const Statistics& o) {
  asked += o.asked, got += o.got, granted += o.granted, denied += o.denied,
      came_back += o.came_back, late += o.late;
  return *this;
}

SlowStartLeases::SlowStartLeases(const scheduler::Settings& s, scheduler::Time started)
    : dispatchers_(std::max(1, s.dispatchers)),
      self_(s.rank),
      peers_(s.peers),
      started_(started),
      cold_ms_(s.slow_start_ms),
      window_(s.overload_window_ms),
      length_(kLength * s.overload_window_ms),
      life_(static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::max(0.0, started)))),
      lives_(static_cast<std::size_t>(dispatchers_), true),
      silent_(lives_.size(), -1e18) {}

void SlowStartLeases::after(scheduler::Time now, const Event& event, const Dispatcher& dispatcher,
                            std::vector<Event>& told, scheduler::Actions& out) {
  now_ = std::max(now_, now);
  if (const auto* list = std::get_if<scheduler::EndpointList>(&event)) {
    if (take(*list))
      order();
    for (auto& [id, turn] : turns_)
      turn.entry = endpoints_.at(id);  // it may have begun to drain
  } else if (const auto* members = std::get_if<scheduler::MembershipChanged>(&event)) {
    if (members->is_alive.size() == lives_.size())
      lives_ = members->is_alive;
  } else if (const auto* retune = std::get_if<scheduler::SettingsChanged>(&event)) {
    const scheduler::Settings& s = retune->settings;
    dispatchers_ = std::max(1, s.dispatchers), self_ = s.rank, peers_ = s.peers;
    cold_ms_ = s.slow_start_ms, window_ = s.overload_window_ms,
    length_ = kLength * s.overload_window_ms;
    lives_.assign(static_cast<std::size_t>(dispatchers_), true);
    silent_.assign(lives_.size(), -1e18);
    order();
  } else if (const auto* twin = std::get_if<scheduler::SiblingProcess>(&event)) {
    twin_ = twin->is_present;
  } else if (std::holds_alternative<scheduler::LearnedState>(event)) {
    // It is told what its elder sent, but not what that granted, until now.
    started_ = peers_ ? now_ : -1e18;
  }
  if (turns_.empty())
    return;
  age(dispatcher, told, out);
  tell_shares(told);
  if (const auto* message = std::get_if<scheduler::PeerMessage>(&event))
    hear(*message, dispatcher, told, out);
  if (std::holds_alternative<scheduler::RequestArrived>(event) && grants())
    ask_all(dispatcher, told, out);
}

// True: an endpoint came or went, or started again.
bool SlowStartLeases::take(const scheduler::EndpointList& list) {
  if (list.scope == scheduler::ListScope::failed)
    return false;
  std::map<scheduler::EndpointId, EndpointEntry> now;
  if (list.scope == scheduler::ListScope::delta)
    now = endpoints_;
  for (const EndpointEntry& e : list.entries) {
    if (e.state == scheduler::EndpointState::gone)
      now.erase(e.endpoint);
    else
      now[e.endpoint] = e;
  }
  bool same =
      now.size() == endpoints_.size() &&
      std::equal(now.begin(), now.end(), endpoints_.begin(), [](const auto& a, const auto& b) {
        return a.first == b.first && a.second.started_at == b.second.started_at;
      });
  endpoints_ = std::move(now);
  return !same;
}

void SlowStartLeases::order() {
  std::erase_if(turns_, [&](const auto& t) {
    auto it = endpoints_.find(t.first);
    return it == endpoints_.end() || it->second.started_at != t.second.entry.started_at;
  });
  int homes = homes_at_each(wanted_homes(peers_, dispatchers_), dispatchers_,
                            static_cast<int>(endpoints_.size()));
  for (const auto& [id, entry] : endpoints_) {
    if (entry.started_at <= 0 || now_ >= entry.started_at + cold_ms_)
      continue;
    EndpointLease& turn = turns_[id];
    if (turn.order.size() != lives_.size())
      turn.order = order_at(entry, dispatchers_);
    turn.entry = entry;
    turn.place = static_cast<int>(std::find(turn.order.begin(), turn.order.end(), self_) -
                                  turn.order.begin());
    if (bool own = turn.place < homes; own != turn.own)
      turn.own = own, turn.told_share = -1;
  }
  next_ = 0;
}

// Until all is out of the window that a former life may have sent, or granted to others who sent it
// at the grant's end.
bool SlowStartLeases::waits(const EndpointLease& turn) const {
  double over = started_ + window_ + (peers_ ? (1 + kDrift) * length_ : 0);
  return turn.entry.started_at <= started_ && now_ < over;
}

double SlowStartLeases::share(const EndpointLease& turn) const {
  return waits(turn) ? 0 : share_at(turn.place, dispatchers_);
}

void SlowStartLeases::tell_shares(std::vector<Event>& told) {
  scheduler::SlowStartShares turns;
  int homes = homes_at_each(wanted_homes(peers_, dispatchers_), dispatchers_,
                            static_cast<int>(endpoints_.size()));
  for (auto& [id, turn] : turns_) {
    double now = share(turn);
    if (now == turn.told_share)
      continue;
    turn.told_share = now;
    scheduler::SlowStartShare at{{id, turn.own, {}}, turn.entry.started_at, now};
    for (int place = 0; place < std::min(homes, dispatchers_); ++place)
      if (place != turn.place)
        at.subset.peers.push_back(turn.order[static_cast<std::size_t>(place)]);
    turns.endpoints.push_back(std::move(at));
  }
  if (!turns.endpoints.empty())
    told.emplace_back(std::move(turns));
}

// What has ended: grants held, owners that did not answer, endpoints that are warm by now.
void SlowStartLeases::age(const Dispatcher& dispatcher, std::vector<Event>& told,
                          scheduler::Actions& out) {
  if (now_ < next_)
    return;
  next_ = now_ + length_;
  for (auto it = turns_.begin(); it != turns_.end();) {
    EndpointLease& turn = it->second;
    if (now_ >= turn.entry.started_at + cold_ms_) {
      it = turns_.erase(it);
      continue;
    }
    // Given back a little early: an end that is past tells its giver nothing that it does not know.
    if (turn.until > now_ && turn.until - now_ < length_ / 4)
      give_back(turn, dispatcher.slow_start_budget(it->first, now_).granted, told, out);
    if (turn.until > now_)
      next_ = std::min(next_, turn.until - length_ / 4);
    ++it;
  }
}

void SlowStartLeases::give_back(EndpointLease& turn, double left, std::vector<Event>& told,
                                scheduler::Actions& out) {
  turn.until = 0;
  told.emplace_back(
      scheduler::SlowStartGrant{turn.entry.endpoint, turn.entry.started_at, 0, 0, true});
  if (whole(left) == 0)
    return;
  out.emplace_back(scheduler::SendPeerMessage{
      turn.owner, encode({SlowStartMessage::Kind::back, turn.entry.endpoint,
                          incarnation_of(turn.entry), life_, turn.number, whole(left), 0})});
}

void SlowStartLeases::ask_all(const Dispatcher& dispatcher, std::vector<Event>& told,
                              scheduler::Actions& out) {
  for (auto& [id, turn] : turns_) {
    if (!turn.own || turn.entry.state != scheduler::EndpointState::ready)
      continue;
    if (turn.waiting && now_ - turn.asked < kAnswer)
      continue;
    SlowStartBudget room = dispatcher.slow_start_budget(id, now_);
    if (turn.until <= now_)
      room.granted = 0;  // given back just now, of which the Dispatcher is yet to hear
    if (room.total() >= room.typical)
      continue;
    if (turn.waiting)
      silent_[static_cast<std::size_t>(turn.owner)] = now_ + kSilent;
    if (turn.until > now_)
      give_back(turn, room.granted, told, out);  // one at a time; what is left of it is too little
    ask(turn, room, out);
  }
}

int SlowStartLeases::next_owner(const EndpointLease& turn) const {
  int owners = 0;
  while (owners < dispatchers_ && share_at(owners, dispatchers_) > 0)
    ++owners;
  for (bool silent : {false, true})
    for (int i = 0; i < owners; ++i) {
      int node = turn.order[static_cast<std::size_t>(
          (static_cast<int>(turn.number % 64) + self_ + i) % owners)];
      auto n = static_cast<std::size_t>(node);
      if (node != self_ && lives_[n] && (silent_[n] > now_) == silent)
        return node;
    }
  return -1;
}

void SlowStartLeases::ask(EndpointLease& turn, const SlowStartBudget& room,
                          scheduler::Actions& out) {
  int owner = next_owner(turn);
  if (owner < 0)
    return;
  turn.owner = owner;
  turn.number = ++number_;
  turn.asked = now_;
  turn.waiting = true;
  ++figures_.asked;
  double lacks = std::max(1.0, room.typical - std::max(0.0, room.own));
  out.emplace_back(scheduler::SendPeerMessage{
      owner, encode({SlowStartMessage::Kind::ask, turn.entry.endpoint, incarnation_of(turn.entry),
                     life_, turn.number, whole(std::max(lacks, kWanted * room.typical)),
                     whole(std::ceil(lacks))})});
}

void SlowStartLeases::hear(const scheduler::PeerMessage& message, const Dispatcher& dispatcher,
                           std::vector<Event>& told, scheduler::Actions& out) {
  auto word = decode_slow_start_message(message.bytes);
  if (!word || message.peer < 0 || message.peer >= dispatchers_ || message.peer == self_)
    return;
  auto it = turns_.find(word->endpoint);
  if (it == turns_.end() || incarnation_of(it->second.entry) != word->life)
    return;
  EndpointLease& turn = it->second;
  if (word->kind == SlowStartMessage::Kind::ask)
    return grant(message.peer, *word, turn, dispatcher, told, out);
  if (word->kind == SlowStartMessage::Kind::back) {
    auto given = turn.given.find(message.peer);
    if (given == turn.given.end() || given->second.back || given->second.asker != word->asker ||
        given->second.number != word->number)
      return;
    given->second.back = true;
    ++figures_.came_back;
    double work = std::min<double>(word->work, given->second.work);
    told.emplace_back(scheduler::SlowStartGrant{turn.entry.endpoint, turn.entry.started_at, -work,
                                                given->second.until, false});
    return;
  }
  // A grant ends by the clock of the one that asked, from its asking on: that is before the giver's
  // end.
  if (!turn.waiting || word->asker != life_ || word->number != turn.number ||
      message.peer != turn.owner)
    return;
  turn.waiting = false;
  turn.until = turn.asked + length_;
  if (now_ >= turn.until)
    return void((++figures_.late, turn.until = 0));
  if (word->work == 0)
    return void(turn.until = 0);
  ++figures_.got;
  next_ = std::min(next_, turn.until - length_ / 4);
  told.emplace_back(scheduler::SlowStartGrant{turn.entry.endpoint, turn.entry.started_at,
                                              static_cast<double>(word->work), turn.until, true});
}

void SlowStartLeases::grant(int asker, const SlowStartMessage& word, EndpointLease& turn,
                            const Dispatcher& dispatcher, std::vector<Event>& told,
                            scheduler::Actions& out) {
  EndpointLease::Given& last = turn.given[asker];
  // Repeated, or overtaken by a later one. A new life of the asker numbers anew, and is a later
  // one.
  bool newer = word.asker > last.asker || (word.asker == last.asker && word.number > last.number);
  if (!newer || !grants() || share(turn) <= 0)
    return;
  double room = dispatcher.slow_start_budget(turn.entry.endpoint, now_).own * kGives;
  std::uint32_t work = std::min(word.work, whole(room));
  if (work < word.least || work == 0)
    return void(++figures_.denied);
  double until = now_ + (1 + kDrift) * length_;
  last = {word.asker, word.number, static_cast<double>(work), until, false};
  ++figures_.granted;
  told.emplace_back(scheduler::SlowStartGrant{turn.entry.endpoint, turn.entry.started_at,
                                              static_cast<double>(work), until, false});
  out.emplace_back(
      scheduler::SendPeerMessage{asker, encode({SlowStartMessage::Kind::grant, turn.entry.endpoint,
                                                word.life, word.asker, word.number, work, 0})});
}

}  // namespace keelflow::fleet
