/// \file
/// The node's listeners other than the platform's address: progress, admin socket, operators and
/// peers.
#pragma once

#include <functional>
#include <memory>

#include "admin/admin_front.h"
#include "admin/line_server.h"
#include "admin/operator_calls.h"
#include "config/config.h"
#include "config/own_config.h"
#include "core/counters.h"
#include "core/engine.h"
#include "fleet/membership_agent.h"
#include "inbound/platform_front.h"
#include "inbound/server.h"
#include "lifecycle/descriptor_budget.h"
#include "net/event_loop.h"
#include "peers/peers.h"
#include "plugins/plugins.h"
#include "progress/progress_front.h"
#include "routes/traffic.h"

namespace keelflow {

/// Owns the servers for progress, the admin socket and operators, and the fronts, which handle the
/// requests of the first two; opens the listener of the Peers. Each is opened once, at the start.
class ExtraListeners {
 public:
  /// The parts that the listeners use. All must outlive the ExtraListeners.
  struct Parts {
    net::EventLoop& loop;
    const Config& config;
    const config::Own& own;
    const DescriptorBudget& budget;
    Engine& engine;
    Traffic& traffic;
    Plugins& plugins;
    PlatformFront& front;
    const Server& server;  ///< The platform's server; the others use its on_pressure too.
    Peers& peers;
    MembershipAgent& membership;
    const OperatorCalls& operators;
    Counters& counters;
  };
  /// Queries about other processes of this node.
  struct Callbacks {
    std::function<bool()> has_sibling;    ///< The old process still runs and may hold addresses.
    std::function<bool()> is_upgradable;  ///< An old process may exist.
  };
  ExtraListeners(const Parts& parts, AdminFront::Pages pages, Callbacks callbacks)
      : parts_(parts), pages_(std::move(pages)), callbacks_(std::move(callbacks)) {}

  /// Open the progress and admin listeners. They throw std::system_error if listening fails, unless
  /// the old process holds the address: then they retry until it is free.
  void open_progress();
  void open_admin();
  /// Throws ConfigError if listening on the address fails.
  void open_operators();

  /// If listening fails, logs the address and continues without peers; retries an address that the
  /// old process may hold.
  void open_peers();

  /// Null if the progress listener is not open.
  Server* progress_server() const { return progress_server_.get(); }

 private:
  template <typename AddressOrPath>
  void listen_when_free(Server& server, const AddressOrPath& address_or_path,
                        std::function<void()> then);

  Parts parts_;
  AdminFront::Pages pages_;
  Callbacks callbacks_;
  std::unique_ptr<LineServer> operator_server_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<ProgressFront> progress_front_;
  std::unique_ptr<Server> progress_server_;
  std::unique_ptr<AdminFront> admin_front_;
  std::unique_ptr<Server> admin_server_;
};

}  // namespace keelflow
