/// \file
/// Graceful shutdown after SIGTERM: no accepted request is dropped.
#pragma once

#include <cstdint>
#include <functional>

#include "config/config.h"
#include "core/counters.h"
#include "core/engine.h"
#include "fleet/membership_agent.h"
#include "inbound/server.h"
#include "net/event_loop.h"
#include "plugins/plugins.h"

namespace keelflow {

/// Drains the node and stops its event loop, in stages: first the node serves as before; then new
/// requests get the shutdown deadline as their latest deadline; then each answer closes its
/// connection, and the loop stops once nothing is open. With a successor process the connections
/// are drained at once.
class GracefulShutdown {
 public:
  /// The stage of the shutdown, which only advances. Scraped as the counter `drain_stage`.
  enum class Stage : std::uint8_t {
    serving,
    requested,          ///< SIGTERM was received; the node serves as before.
    deadlines_limited,  ///< The deadline of new requests is at most the shutdown deadline.
    draining,           ///< Each answer closes its connection.
  };
  /// The parts that are drained or stopped. All must outlive the GracefulShutdown.
  struct Parts {
    net::EventLoop& loop;
    const Config& config;
    Engine& engine;
    Plugins& plugins;
    MembershipAgent& membership;
    Server& server;
    Counters& counters;
  };
  /// Queries that decide how the node drains and when it may stop.
  struct Callbacks {
    std::function<Server*()> progress_server;  ///< Null if there is none.
    std::function<bool()> has_successor;       ///< Another process of this node accepts clients.
    std::function<bool()> is_upgrade_done;     ///< No message has to pass through this process.
  };
  GracefulShutdown(const Parts& parts, Callbacks callbacks)
      : parts_(parts), callbacks_(std::move(callbacks)) {}

  /// Begins the shutdown; no effect if it has begun.
  void begin();
  /// A successor process accepts clients from now on.
  void on_successor_ready();
  bool has_begun() const { return stage() != Stage::serving; }

 private:
  Stage stage() const { return static_cast<Stage>(parts_.counters.drain_stage); }
  bool advance(Stage next);  // false: the stage had been reached before
  /// From the start of the shutdown to the time by which the last answer is sent.
  Duration time_to_shutdown_deadline() const;
  void drain();
  void check_drained();
  bool is_idle() const;

  Parts parts_;
  Callbacks callbacks_;
};

}  // namespace keelflow
