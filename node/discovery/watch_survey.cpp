#include "discovery/watch_survey.h"

#include <utility>

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using Kind = discovery::WatchMessage::Kind;

// The interval between questions: four random peers are asked per second.
constexpr Duration kPollInterval = 250ms;

}  // namespace

WatchSurvey::WatchSurvey(net::EventLoop& loop, std::uint64_t seed, std::function<bool()> has_watch,
                         std::function<void()> on_answer)
    : loop_(loop),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      has_watch_(std::move(has_watch)),
      on_answer_(std::move(on_answer)) {}

WatchSurvey::~WatchSurvey() {
  loop_.cancel(poll_timer_);
}

void WatchSurvey::connect(PeerSender* peers, int count, int rank) {
  peers_ = peers;
  count_ = count;
  rank_ = rank;
}

void WatchSurvey::run(bool is_polling) {
  if (std::exchange(is_polling_, is_polling) == is_polling)
    return;
  loop_.cancel(poll_timer_);
  if (is_polling)
    poll();
}

void WatchSurvey::poll() {
  poll_timer_ = loop_.at(loop_.now() + kPollInterval, [this] { poll(); });
  if (peers_ && count_ >= 2)
    send(draw_peer(), Kind::question);
}

// Draws any process except this one.
int WatchSurvey::draw_peer() {
  int peer = std::uniform_int_distribution<int>(0, count_ - 2)(random_);
  return peer >= rank_ ? peer + 1 : peer;
}

void WatchSurvey::send(int peer, Kind kind) {
  if (peers_)
    peers_->send_datagram(peer, discovery::encode({kind}));
}

bool WatchSurvey::handle_peer_datagram(int peer, std::string_view bytes) {
  auto message = discovery::decode_watch_message(bytes);
  if (!message)
    return false;
  switch (message->kind) {
    case Kind::question:
      send(peer, has_watch_() ? Kind::has_watch : Kind::has_no_watch);
      return true;
    case Kind::has_watch:
      presumption_.peer_has_watch(loop_.now());
      break;
    case Kind::has_no_watch:
      presumption_.peer_has_no_watch(loop_.now());
      break;
  }
  on_answer_();
  return true;
}

}  // namespace keelflow
