/// \file
/// Replaces this node's process by a new one while both run. This process may be on either side: it
/// may take over from an old process, and hand over to a new one.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "admin_overrides/admin_overrides.h"
#include "config/config.h"
#include "core/counters.h"
#include "core/engine.h"
#include "handover/handover.h"
#include "handover/succession.h"
#include "inbound/platform_front.h"
#include "inbound/server.h"
#include "net/event_loop.h"
#include "outbound/outbound.h"

namespace keelflow {

/// Decides when a process that takes over may serve, exchanges state between the two processes, and
/// splits the limits that they share. Idle until `begin` is called.
class ProcessUpgrade {
 public:
  /// The parts that an upgrade reads or changes. All must outlive the ProcessUpgrade.
  struct Parts {
    net::EventLoop& loop;
    const UnixClock& clock;
    const Config& config;
    const admin_overrides::AdminOverrides& overrides;
    Engine& engine;
    Outbound& outbound;
    Pool& connections;
    Server& server;
    Counters& counters;
  };
  /// The limits of a process that runs alone.
  struct Limits {
    std::size_t inbound, idle_outbound;
  };
  /// Notifications to the owner.
  struct Callbacks {
    std::function<void(const std::string& host, bool is_out)> apply_override;
    std::function<void()> serve_if_ready;      ///< A condition of `waits_for` may have changed.
    std::function<void()> on_successor_ready;  ///< The new process accepts clients.
  };
  ProcessUpgrade(const Parts& parts, Limits limits, Callbacks callbacks)
      : parts_(parts), limits_(limits), callbacks_(std::move(callbacks)) {}

  /// Connects to the old process, if there is one. Until it ends, both share all limits.
  void begin();
  bool has_begun() const { return succession_.has_value(); }
  /// Whether a hand-over to or from other processes is possible.
  bool is_enabled() const { return handover_ != nullptr; }
  bool has_sibling() const { return handover_ && handover_->has_sibling_process(); }
  bool has_successor() const { return has_successor_; }
  /// No message has to pass through this process any more.
  bool is_done() const;
  /// The condition that this process still waits for before it serves; empty: it may serve.
  std::string waits_for() const;

  /// This process serves from now on: notifies the old process, and listens for a new one.
  void on_serving();
  void on_watch_established();
  /// An endpoint list arrived before this process serves.
  void on_list_before_serving();
  void send_admin_override(const std::string& host, bool is_out);
  /// False: the process that the callback is for could not be reached, so the endpoint must send it
  /// again.
  bool forward_status_callback(const std::string& body);

 private:
  Handover::Callbacks handover_callbacks();
  nlohmann::json welcome() const;
  void on_old_process_state(const nlohmann::json& message);
  void on_sibling_changed(bool is_here);

  Parts parts_;
  Limits limits_;
  Callbacks callbacks_;
  std::unique_ptr<Handover> handover_;
  std::optional<handover::TakeoverReadiness> succession_;
  std::vector<scheduler::LearnedState> learned_;  // received from the old process
  bool has_successor_ = false;
};

}  // namespace keelflow
