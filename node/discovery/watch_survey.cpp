#include "discovery/watch_survey.h"

#include <utility>

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using Kind = discovery::WatchMessage::Kind;

constexpr Duration kPause = 250ms;  // between two questions

}  // namespace

WatchSurvey::WatchSurvey(net::EventLoop& loop, std::uint64_t seed, std::function<bool()> has_watch,
                         std::function<void()> changed)
    : loop_(loop),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      has_watch_(std::move(has_watch)),
      changed_(std::move(changed)) {}

WatchSurvey::~WatchSurvey() {
  loop_.cancel(timer_);
}

void WatchSurvey::connect(PeerSender* peers, int count, int rank) {
  peers_ = peers;
  count_ = count;
  rank_ = rank;
}

void WatchSurvey::run(bool on) {
  if (std::exchange(running_, on) == on)
    return;
  loop_.cancel(timer_);
  if (on)
    ask();
}

void WatchSurvey::ask() {
  timer_ = loop_.at(loop_.now() + kPause, [this] { ask(); });
  if (!peers_ || count_ < 2)
    return;
  int peer = std::uniform_int_distribution<int>(0, count_ - 2)(random_);
  if (peer >= rank_)
    ++peer;
  peers_->tell(peer, discovery::encode({Kind::question}));
}

bool WatchSurvey::hear(int peer, std::string_view bytes) {
  auto message = discovery::decode_watch_message(bytes);
  if (!message)
    return false;
  if (message->kind == Kind::question) {
    if (peers_)
      peers_->tell(peer, discovery::encode({has_watch_() ? Kind::has_watch : Kind::has_none}));
    return true;
  }
  if (message->kind == Kind::has_watch)
    presumption_.peer_has_watch(loop_.now());
  else
    presumption_.peer_has_none(loop_.now());
  changed_();
  return true;
}

}  // namespace keelflow
