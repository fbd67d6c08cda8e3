// Asks drawn peers whether they have a watch on discovery, while this process has none, and answers
// theirs. What follows from the answers is decided by logic/discovery/outage_presumption.
#pragma once

#include <functional>
#include <random>

#include "core/peer_sender.h"
#include "core/timer_port.h"
#include "discovery/outage_presumption.h"
#include "net/event_loop.h"

namespace keelflow {

class WatchSurvey {
 public:
  // `has_watch`: whether this process has one; `changed`: an answer has come.
  WatchSurvey(net::EventLoop& loop, std::uint64_t seed, std::function<bool()> has_watch,
              std::function<void()> changed);
  ~WatchSurvey();

  void connect(PeerSender* peers, int count, int rank);  // null: processes may not talk
  void run(bool on);                                     // whether peers are asked
  bool hear(int peer, std::string_view bytes);           // false: the message is of another kind
  discovery::OutagePresumption& presumption() { return presumption_; }
  const discovery::OutagePresumption& presumption() const { return presumption_; }

 private:
  void ask();

  net::EventLoop& loop_;
  std::minstd_rand random_;
  std::function<bool()> has_watch_;
  std::function<void()> changed_;
  PeerSender* peers_ = nullptr;
  int count_ = 0, rank_ = 0;
  TimerId timer_ = 0;
  bool running_ = false;
  discovery::OutagePresumption presumption_;
};

}  // namespace keelflow
