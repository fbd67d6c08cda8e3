/// \file
/// Asks random peers whether they have a watch on discovery while this process has none, and
/// answers peers that ask it the same. logic/discovery/outage_presumption evaluates the answers.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string_view>

#include "core/peer_sender.h"
#include "core/timer_port.h"
#include "discovery/outage_presumption.h"
#include "net/event_loop.h"

namespace keelflow {

/// Sends and answers the messages about watches, and collects the evidence from the answers.
/// Messages may be lost: nothing waits for an answer, and no errors are reported. Not thread-safe.
class WatchSurvey {
 public:
  /// `has_watch`: whether this process has a watch. `on_answer`: a peer has answered.
  WatchSurvey(net::EventLoop& loop, std::uint64_t seed, std::function<bool()> has_watch,
              std::function<void()> on_answer);
  ~WatchSurvey();
  WatchSurvey(const WatchSurvey&) = delete;
  WatchSurvey& operator=(const WatchSurvey&) = delete;

  /// `peers`: sends messages and must outlive this object; null: there are no peers. `count`: the
  /// processes of the fleet, this one included; `rank`: this one's number, from 0.
  void connect(PeerSender* peers, int count, int rank);
  /// Starts or stops polling.
  void run(bool is_polling);
  /// Handles a message from a peer. False: it is not a message about watches.
  bool handle_peer_datagram(int peer, std::string_view bytes);

  discovery::OutagePresumption& presumption() { return presumption_; }
  const discovery::OutagePresumption& presumption() const { return presumption_; }

 private:
  void poll();
  int draw_peer();
  void send(int peer, discovery::WatchMessage::Kind kind);

  net::EventLoop& loop_;
  std::minstd_rand random_;
  std::function<bool()> has_watch_;
  std::function<void()> on_answer_;
  PeerSender* peers_ = nullptr;
  int count_ = 0;
  int rank_ = 0;
  TimerId poll_timer_ = 0;
  bool is_polling_ = false;
  discovery::OutagePresumption presumption_;
};

}  // namespace keelflow
