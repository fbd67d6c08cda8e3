#include "node.h"

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "admin/operator_calls.h"
#include "admin/override_control.h"
#include "admin/status_report.h"
#include "admin_overrides/admin_overrides.h"
#include "core/engine.h"
#include "discovery/destination_set.h"
#include "fleet/membership_agent.h"
#include "inbound/platform_front.h"
#include "inbound/server.h"
#include "lifecycle/config_reload.h"
#include "lifecycle/derived_settings.h"
#include "lifecycle/descriptor_budget.h"
#include "lifecycle/extra_listeners.h"
#include "lifecycle/graceful_shutdown.h"
#include "lifecycle/input_limits.h"
#include "lifecycle/process_upgrade.h"
#include "lifecycle/signal_reader.h"
#include "log/log.h"
#include "outbound/outbound.h"
#include "peers/peers.h"
#include "plugins/plugins.h"
#include "routes/traffic.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using log::Subsystem;

// How long a process without a usable endpoint list leaves clients to other processes.
constexpr Duration kMaxWaitForFirstList = 4s;

class Node {
 public:
  Node(NodeFiles files, Config config, config::Own own)
      : files_(std::move(files)),
        config_(std::move(config)),
        own_(std::move(own)),
        budget_(divide_descriptors(config_.sockets)),
        engine_(scheduler_settings(config_.settings), config_.seed,
                {config_.most_held, config_.tick}, loop_, clock_, counters_),
        traffic_(loop_, clock_, engine_, {config_.names, config_.settings}, counters_),
        destinations_(
            loop_, config_.discovery, config_.names,
            [this](scheduler::EndpointList list) { on_endpoint_list(std::move(list)); }, counters_,
            config_.seed),
        pool_(loop_, config_.idle_limit * 6 / 10, budget_.idle_outbound, counters_),
        outbound_(loop_, engine_, destinations_, pool_,
                  {config_.connect_timeout, config_.report_names}, counters_),
        peers_(
            loop_, config_.peers, config_.settings.rank,
            [this](int peer, const std::string& bytes) {
              if (!membership_agent_.handle_peer_datagram(peer, bytes))
                engine_.on_peer_message(peer, bytes);
            },
            counters_),
        membership_agent_(loop_, clock_, peers_, engine_, counters_),
        plugins_({.loop = loop_,
                  .clock = clock_,
                  .names = config_.names,
                  .classes = config_.settings.classes,
                  .seed = config_.seed},
                 engine_, counters_),
        front_(loop_, engine_, outbound_, config_, counters_),
        server_(loop_, front_, budget_.inbound, counters_,
                divide_input_memory(config_.memory_mb).platform),
        operators_({.not_ready = [this] { return not_ready(); },
                    .gauges = [this] { return status_report_.gauges(); },
                    .by_hand =
                        [this](const std::string& host, bool out) {
                          return override_endpoint(host, out);
                        }},
                   counters_),
        monitor_(
            monitor_terms(config_.settings),
            [this](invariants::Rule rule, const std::string& what) { on_violation(rule, what); }) {}

  int run() {
    connect_parts();
    start();
    loop_.run();
    status_report_.log_counters();
    return 0;
  }

 private:
  void connect_parts() {
    engine_.name_classes(config_.names.classes);
    engine_.set_endpoints(outbound_);
    engine_.set_monitor(&monitor_);
    outbound_.observe(&monitor_);
    destinations_.observe(&monitor_);
    server_.observe(&monitor_);
    server_.on_close_forbidden = [this](operation_guard::Reason reason) {
      engine_.count_refusal(operation_guard::Operation::close, reason);
    };
    engine_.set_peers(&peers_);
    traffic_.connect(destinations_);
    traffic_.configure(own_.routes, own_.moves);
    plugins_.configure(own_.plugins, plugins::load_all(own_.plugins, files_.own, config_.names));
    server_.on_pressure = [this] {
      return pool_.free_one();
    };
    destinations_.on_watch_established = [this] {
      on_watch_established();
    };
    destinations_.known(config_.known);
    destinations_.on_lease = [this](bool may_send) {
      on_list_lease(may_send);
    };
    destinations_.on_pressure = server_.on_pressure;
  }

  void start() {
    destinations_.start(call_policy(config_.settings), lease_terms(config_.settings));
    signals_.open();
    if (config_.admin)
      listeners_.open_operators();
    // A process without a usable list leaves clients to other processes at first. The wait is
    // limited because discovery may be unavailable.
    front_.ready = [this, latest = loop_.now() + kMaxWaitForFirstList] {
      return was_list_usable_ || loop_.now() >= latest;
    };
    front_.forward_status_callback = [this](const std::string& body) {
      return upgrade_.forward_status_callback(body);
    };
    if (config_.listen_fd >= 0)
      upgrade_.begin();
    else
      serve();
    engine_.enable_leases(own_.turns);
    if (config_.peer_listen)
      listeners_.open_peers();
    if (own_.progress.listen)
      listeners_.open_progress();
    if (!own_.admin.socket.empty())
      listeners_.open_admin();
  }

  void serve() {
    is_serving_ = true;
    if (config_.listen_fd >= 0)
      server_.inherit(config_.listen_fd);
    else
      server_.listen(config_.listen);
    upgrade_.on_serving();
    log::info(Subsystem::node, "listens",
              {{"name", config_.name}, {"address", server_.address().text()}});
  }

  void serve_if_ready() {
    if (!is_serving_ && upgrade_.has_begun() && not_ready().empty())
      serve();
  }

  void on_endpoint_list(scheduler::EndpointList list) {
    traffic_.list(admin_overrides_.apply(std::move(list)));
    if (!is_serving_)
      upgrade_.on_list_before_serving();
  }

  void on_violation(invariants::Rule rule, const std::string& what) {
    ++counters_.invariant_violations;
    log::error(Subsystem::node, "invariant-violated",
               {{"rule", invariants::to_string(rule)}, {"what", what}});
#ifdef KEELFLOW_STRICT_INVARIANTS
    std::fprintf(stderr, "invariant violated: %s: %s\n%s",
                 std::string(invariants::to_string(rule)).c_str(), what.c_str(),
                 monitor_.last_events().c_str());
    std::abort();
#endif
  }

  void on_list_lease(bool may_send) {
    was_list_usable_ = was_list_usable_ || may_send;
    engine_.allow_sends(may_send);
    if (may_send)
      outbound_.resume_withheld();
  }

  void on_watch_established() {
    if (upgrade_.has_begun() && !is_serving_)
      upgrade_.on_watch_established();
  }

  std::string not_ready() const {
    std::string why = is_serving_ ? "" : upgrade_.waits_for();
    if (why.empty() && shutdown_.has_begun())
      return "the process is shutting down";
    return why;
  }

  // Returns an empty string on success, otherwise the error.
  std::string override_endpoint(const std::string& host, bool out) {
    if (!override_control_.is_known(host))
      return "no executor '" + host + "' was ever listed";
    override_control_.apply(host, out);
    upgrade_.send_admin_override(host, out);
    return "";
  }

  NodeFiles files_;
  Config config_;
  config::Own own_;
  DescriptorBudget budget_;
  Counters counters_;
  UnixClock clock_;
  net::EventLoop loop_;
  admin_overrides::AdminOverrides admin_overrides_;
  Engine engine_;
  Traffic traffic_;
  DestinationSet destinations_;
  OverrideControl override_control_{admin_overrides_, destinations_, traffic_};
  Pool pool_;
  Outbound outbound_;
  Peers peers_;
  MembershipAgent membership_agent_;
  Plugins plugins_;
  PlatformFront front_;
  Server server_;
  OperatorCalls operators_;
  ExtraListeners listeners_{{.loop = loop_,
                             .config = config_,
                             .own = own_,
                             .budget = budget_,
                             .engine = engine_,
                             .traffic = traffic_,
                             .plugins = plugins_,
                             .front = front_,
                             .server = server_,
                             .peers = peers_,
                             .membership = membership_agent_,
                             .operators = operators_,
                             .counters = counters_},
                            {.status = [this] { return status_report_.status(); },
                             .fleet =
                                 [this] {
                                   return status_report_.fleet();
                                 }},
                            {.has_sibling = [this] { return upgrade_.has_sibling(); },
                             .is_upgradable =
                                 [this] {
                                   return upgrade_.is_enabled();
                                 }}};
  // Used when the platform provides the listening socket.
  ProcessUpgrade upgrade_{
      {.loop = loop_,
       .clock = clock_,
       .config = config_,
       .overrides = admin_overrides_,
       .engine = engine_,
       .outbound = outbound_,
       .connections = pool_,
       .server = server_,
       .counters = counters_},
      {budget_.inbound, budget_.idle_outbound},
      {.apply_override = [this](const std::string& host,
                                bool out) { override_control_.apply(host, out); },
       .serve_if_ready = [this] { serve_if_ready(); },
       .on_successor_ready =
           [this] {
             shutdown_.on_successor_ready();
           }}};
  invariants::Monitor monitor_;
  StatusReport status_report_{{.config = config_,
                               .own = own_,
                               .loop = loop_,
                               .clock = clock_,
                               .engine = engine_,
                               .overrides = admin_overrides_,
                               .destinations = destinations_,
                               .membership = membership_agent_,
                               .server = server_,
                               .monitor = monitor_,
                               .counters = counters_}};
  ConfigReload reload_{{.files = files_,
                        .config = config_,
                        .own = own_,
                        .engine = engine_,
                        .traffic = traffic_,
                        .destinations = destinations_,
                        .connections = pool_,
                        .outbound = outbound_,
                        .plugins = plugins_,
                        .monitor = monitor_,
                        .counters = counters_}};
  GracefulShutdown shutdown_{{.loop = loop_,
                              .config = config_,
                              .engine = engine_,
                              .plugins = plugins_,
                              .membership = membership_agent_,
                              .server = server_,
                              .counters = counters_},
                             {.progress_server = [this] { return listeners_.progress_server(); },
                              .has_successor = [this] { return upgrade_.has_successor(); },
                              .is_upgrade_done =
                                  [this] {
                                    return upgrade_.is_done();
                                  }}};
  bool is_serving_ = false;
  bool was_list_usable_ = false;  // an endpoint list has been usable for sending
  SignalReader signals_{loop_,
                        {.on_terminate = [this] { shutdown_.begin(); },
                         .on_reload = [this] { reload_.run(); },
                         .on_counters_requested =
                             [this] {
                               status_report_.log_counters();
                             }}};
};

}  // namespace

void block_signals() {
  sigset_t set = handled_signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

int run_node(const NodeFiles& files) {
  std::signal(SIGPIPE, SIG_IGN);
  block_signals();
  if (files.platform.empty())
    throw ConfigError("EDGE_CONFIG is not set");
  config::Own own = config::read_own(files.own, !files.is_own_path_given);
  Config config = read_config(files.platform);
  read_environment(config);
  log::open(own.log);
  int code = 0;
  try {
    Node node(files, std::move(config), std::move(own));
    code = node.run();
  } catch (...) {
    log::close();
    throw;
  }
  if (!log::close())
    _exit(code);  // the log thread is blocked in a write that is not read, and cannot be joined
  return code;
}

}  // namespace keelflow
