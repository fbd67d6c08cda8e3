#include "lifecycle/graceful_shutdown.h"

#include <algorithm>

#include "handover/succession.h"
#include "log/log.h"

namespace keelflow {

namespace {

using namespace std::chrono_literals;

// After SIGTERM the front still opens new connections for up to 0.4 s, and clients use their
// existing connections for as long as these stay open. Until the next node has started, clients
// have no other node to send to.
constexpr Duration kServeAfterSigterm = 1600ms;
// SIGKILL follows SIGTERM after the longest deadline, of which at most 3 s count, plus 0.7 s.
// Requests that arrive more than 0.7 s after SIGTERM must be answered before SIGKILL; all answers
// are sent a little earlier.
constexpr Duration kLongestDeadline = 3s;
constexpr Duration kSigkillAfterDeadline = 700ms;
constexpr Duration kLimitDeadlinesAfter = 600ms;
constexpr Duration kAnswerTravelTime = 300ms;
// The interval between checks whether the node is drained.
constexpr Duration kCheckInterval = 20ms;

}  // namespace

void GracefulShutdown::begin() {
  if (!advance(Stage::requested))
    return;
  log::info(log::Subsystem::node, "told-to-end");
  parts_.plugins.drain();
  TimePoint shutdown_began = parts_.loop.now();
  parts_.loop.at(shutdown_began + kLimitDeadlinesAfter, [this, shutdown_began] {
    advance(Stage::deadlines_limited);
    parts_.engine.set_shutdown_deadline(shutdown_began + time_to_shutdown_deadline());
  });
  parts_.loop.at(shutdown_began + std::min(kServeAfterSigterm, time_to_shutdown_deadline()),
                 [this] { drain(); });
  if (handover::should_stop_accepting(true, callbacks_.has_successor()))
    drain();
}

void GracefulShutdown::on_successor_ready() {
  if (has_begun())
    drain();
}

bool GracefulShutdown::advance(Stage next) {
  if (stage() >= next)
    return false;
  parts_.counters.drain_stage = static_cast<std::uint64_t>(next);
  return true;
}

Duration GracefulShutdown::time_to_shutdown_deadline() const {
  return std::min(parts_.config.longest_deadline, kLongestDeadline) + kSigkillAfterDeadline -
         kAnswerTravelTime;
}

// If there is a successor process, this process stops accepting at once: the successor accepts from
// the same listening socket, so clients that connect to it lose nothing.
void GracefulShutdown::drain() {
  if (!advance(Stage::draining))
    return;
  if (callbacks_.has_successor())
    parts_.server.accepting(false);
  else
    parts_.membership.leave();
  parts_.server.drain();
  if (Server* progress = callbacks_.progress_server())
    progress->drain();
  check_drained();
}

bool GracefulShutdown::is_idle() const {
  Server* progress = callbacks_.progress_server();
  return parts_.engine.open_requests() == 0 && parts_.engine.open_attempts() == 0 &&
         parts_.server.busy() == 0 && (!progress || progress->busy() == 0);
}

void GracefulShutdown::check_drained() {
  Server* progress = callbacks_.progress_server();
  parts_.server.close_idle();
  if (progress)
    progress->close_idle();
  if (is_idle() && callbacks_.is_upgrade_done()) {
    // Serves the connections that the kernel has already accepted; no others follow them.
    parts_.server.take_the_last();
    if (progress)
      progress->take_the_last();
    if (parts_.server.connections() == 0 && (!progress || progress->connections() == 0))
      return parts_.loop.stop();
  }
  parts_.loop.at(parts_.loop.now() + kCheckInterval, [this] { check_drained(); });
}

}  // namespace keelflow
