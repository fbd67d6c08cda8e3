/// The take-over of this node by another process of it, while both run. Either side of it: this
/// process may take over from an old one, and hand over to a new one.
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

/// Decides when a process that takes over may serve, exchanges what the two need to know, and
/// splits the limits that they share. Idle until `begin` is called.
class ProcessUpgrade {
 public:
  /// All must outlive it.
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
  struct Limits {  ///< Of a process that is alone.
    std::size_t inbound, idle_outbound;
  };
  struct Callbacks {
    std::function<void(const std::string& host, bool out)> apply_override;
    std::function<void()> serve_if_ready;      ///< What the start waits for may have changed.
    std::function<void()> on_successor_ready;  ///< The new process accepts clients.
  };
  ProcessUpgrade(const Parts& parts, Limits limits, Callbacks callbacks)
      : parts_(parts), limits_(limits), callbacks_(std::move(callbacks)) {}

  /// Polls the old process, if there is one. Until it ends, both share all limits.
  void begin();
  bool has_begun() const { return succession_.has_value(); }
  /// Whether a hand-over to or from other processes is possible.
  bool is_enabled() const { return handover_ != nullptr; }
  bool has_sibling() const { return handover_ && handover_->has_sibling_process(); }
  bool has_successor() const { return has_successor_; }
  /// Nothing has to pass through this process any more.
  bool is_done() const;
  /// What the start still waits for; empty: it may serve.
  std::string waits_for() const;

  /// This process serves from now on: tells the old one, and waits for a new one.
  void on_serving();
  void on_watch_established();
  /// An endpoint list came before this process serves.
  void on_list_before_serving();
  void send_admin_override(const std::string& host, bool out);
  /// False: the process that it is for could not be reached, so it must come again.
  bool forward_status_callback(const std::string& body);

 private:
  Handover::Callbacks handover_callbacks();
  nlohmann::json welcome() const;
  void on_welcomed(const nlohmann::json& message);
  void on_sibling(bool is_here);

  Parts parts_;
  Limits limits_;
  Callbacks callbacks_;
  std::unique_ptr<Handover> handover_;
  std::optional<handover::TakeoverReadiness> succession_;
  std::vector<scheduler::LearnedState> learned_;  // by the old process
  bool has_successor_ = false;
};

}  // namespace keelflow
