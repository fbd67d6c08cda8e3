/// The end of the process after SIGTERM: no request that was accepted is dropped.
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

/// Drains the node and stops its event loop. At first all goes on as before; requests that come
/// later have only until the last answer; then answers end their connections, and when nothing is
/// open any more the loop stops. With a successor process the connections are drained at once.
class GracefulShutdown {
 public:
  /// How far it has come; it only advances. Scraped as the counter `drain_stage`.
  enum class Stage : std::uint8_t {
    serving,
    requested,          ///< SIGTERM has come; all goes on as before.
    deadlines_limited,  ///< Requests from now on have the time of the last answer as deadline.
    draining,           ///< Answers end their connections.
  };
  /// All must outlive it.
  struct Parts {
    net::EventLoop& loop;
    const Config& config;
    Engine& engine;
    Plugins& plugins;
    MembershipAgent& membership;
    Server& server;
    Counters& counters;
  };
  struct Callbacks {
    std::function<Server*()> progress_server;  ///< Null where there is none.
    std::function<bool()> has_successor;       ///< Another process of this node accepts clients.
    std::function<bool()> is_upgrade_done;     ///< Nothing has to pass through this process.
  };
  GracefulShutdown(const Parts& parts, Callbacks callbacks)
      : parts_(parts), callbacks_(std::move(callbacks)) {}

  /// Begins, unless it has begun.
  void begin();
  /// A successor process accepts clients from now on.
  void on_successor_ready();
  bool has_begun() const { return stage() != Stage::serving; }

 private:
  Stage stage() const { return static_cast<Stage>(parts_.counters.drain_stage); }
  bool advance(Stage next);  // false: it was there already
  Duration last_answer() const;
  void drain();
  void check_drained();
  bool is_idle() const;

  Parts parts_;
  Callbacks callbacks_;
};

}  // namespace keelflow
