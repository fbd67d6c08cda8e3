#include "node.h"

#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <nlohmann/json.hpp>

#include "admin/admin_front.h"
#include "admin/line_server.h"
#include "admin/operator_calls.h"
#include "admin/status_report.h"
#include "admin_overrides/admin_overrides.h"
#include "core/engine.h"
#include "discovery/destination_set.h"
#include "fleet/members.h"
#include "inbound/platform_front.h"
#include "inbound/server.h"
#include "lifecycle/config_reload.h"
#include "lifecycle/derived_settings.h"
#include "lifecycle/graceful_shutdown.h"
#include "lifecycle/process_upgrade.h"
#include "log/log.h"
#include "outbound/outbound.h"
#include "peers/peers.h"
#include "plugins/plugins.h"
#include "progress/progress_front.h"
#include "routes/traffic.h"

namespace keelflow {
namespace {

using namespace std::chrono_literals;
using log::Subsystem;

constexpr Duration kRetryAddress = 50ms;
constexpr Duration kListBeforeReady = 4s;
constexpr std::size_t kAdminConnections = 6;

struct Budget {  // of descriptors, shared by all sockets of the process
  std::size_t inbound, idle_outbound, operators;
};
Budget split(std::size_t sockets) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < sockets)
    sockets = limit.rlim_cur;
  std::size_t usable = sockets > 64 ? sockets - 48 : sockets / 2;
  // Inbound grows by a sixth, and progress takes a third of that again. An outbound connection is
  // busy only until its 202, so that few are needed beside the idle ones.
  return {usable * 5 / 8, usable / 8, std::clamp(usable / 16, std::size_t{4}, std::size_t{24})};
}

sigset_t signals() {
  sigset_t set;
  sigemptyset(&set);
  for (int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
    sigaddset(&set, number);
  return set;
}

class Node {
 public:
  Node(NodeFiles files, Config config, config::Own own)
      : files_(std::move(files)),
        config_(std::move(config)),
        own_(std::move(own)),
        budget_(split(config_.sockets)),
        engine_(scheduler_settings(config_.settings), config_.seed,
                {config_.most_held, config_.tick}, loop_, clock_, counters_),
        traffic_(loop_, clock_, engine_, {config_.names, config_.settings}, counters_),
        destinations_(
            loop_, config_.discovery, config_.names,
            [this](scheduler::EndpointList list) { take_list(std::move(list)); }, counters_,
            config_.seed),
        pool_(loop_, config_.idle_limit * 6 / 10, budget_.idle_outbound, counters_),
        outbound_(loop_, engine_, destinations_, pool_,
                  {config_.connect_timeout, config_.report_names}, counters_),
        peers_(
            loop_, config_.peers, config_.settings.rank,
            [this](int peer, const std::string& bytes) {
              if (!destinations_.survey().hear(peer, bytes) && !membership_agent_.hear(peer, bytes))
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
        server_(loop_, front_, budget_.inbound, counters_),
        operators_({.not_ready = [this] { return not_ready(); },
                    .gauges = [this] { return gauges(); },
                    .by_hand =
                        [this](const std::string& host, bool out) {
                          return by_hand(host, out);
                        }},
                   counters_),
        monitor_(
            monitor_terms(config_.settings),
            [this](invariants::Rule rule, const std::string& what) { on_violation(rule, what); }),
        signals_(*this) {}

  int run() {
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
      watching();
    };
    destinations_.known(config_.known);
    destinations_.on_lease = [this](bool may_send) {
      on_list_lease(may_send);
    };
    destinations_.on_pressure = server_.on_pressure;
    if (config_.peer_listen && config_.settings.peers)
      destinations_.survey().connect(&peers_, config_.settings.dispatchers, config_.settings.rank);
    destinations_.start(call_policy(config_.settings), lease_terms(config_.settings));
    signals_.open();
    if (config_.admin)
      open_operators();
    // A process that may send nothing yet leaves clients to those that may, for a while: discovery
    // may be away.
    front_.ready = [this, latest = loop_.now() + kListBeforeReady] {
      return was_ready_ || loop_.now() >= latest;
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
      open_peers();
    if (own_.progress.listen)
      open_progress();
    if (!own_.admin.socket.empty())
      open_admin();
    loop_.run();
    tell_counters();
    return 0;
  }

 private:
  class Signals final : public net::EventLoop::Handler {
   public:
    explicit Signals(Node& node) : node_(node) {}
    ~Signals() override {
      if (fd_ >= 0)
        ::close(fd_);
    }
    void open() {
      sigset_t set = signals();
      fd_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
      if (fd_ < 0 || node_.loop_.watch(fd_, *this) == 0)
        throw std::runtime_error("signalfd failed");
    }
    void on_ready(std::uint32_t) override {
      for (signalfd_siginfo info; ::read(fd_, &info, sizeof info) == sizeof info;) {
        if (info.ssi_signo == SIGUSR1)
          node_.tell_counters();
        else if (info.ssi_signo == SIGHUP)
          node_.reload_.run();
        else
          node_.shutdown_.begin();
      }
    }

   private:
    Node& node_;
    int fd_ = -1;
  };

  void tell_counters() {
    counters_.log_dropped = log::dropped();
    std::vector<log::Field> fields;
#define X(name) fields.emplace_back(#name, counters_.name);
    KEELFLOW_COUNTERS(X)
#undef X
    log::info(Subsystem::node, "counters", fields);
  }

  void open_progress() {
    const config::Progress& p = own_.progress;
    if (p.store) {
      store_ = std::make_unique<Store>(
          loop_, Store::Settings{.address = *p.store, .expiry = p.expiry}, counters_);
      store_->open();
    }
    progress_front_ = std::make_unique<ProgressFront>(
        loop_, engine_, front_, config_.names, plugins_, store_.get(),
        ProgressFront::Settings{.heartbeat = p.heartbeat}, counters_);
    progress_server_ =
        std::make_unique<Server>(loop_, *progress_front_, budget_.inbound / 3, counters_);
    progress_server_->on_pressure = server_.on_pressure;
    listen_when_free(*progress_server_, *p.listen, [this] {
      log::info(Subsystem::progress, "listens",
                {{"name", config_.name}, {"address", progress_server_->address().text()}});
    });
  }

  // While the process before us lives, what our own settings name is in its hands.
  template <typename Where>
  void listen_when_free(Server& server, const Where& where, std::function<void()> then) {
    try {
      server.listen(where);
    } catch (const std::system_error& fault) {
      if (!upgrade_.has_sibling() || fault.code().value() != EADDRINUSE)
        throw;
      return void(loop_.at(loop_.now() + kRetryAddress, [this, &server, where, then] {
        try {
          listen_when_free(server, where, then);
        } catch (const std::system_error& later) {
          log::error(Subsystem::node, "not-listening", {{"fault", later.what()}});
        }
      }));
    }
    then();
  }

  void open_admin() {
    admin_front_ =
        std::make_unique<AdminFront>(traffic_, plugins_,
                                     AdminFront::Pages{[this] { return status_report_.status(); },
                                                       [this] {
                                                         return status_report_.fleet();
                                                       }},
                                     counters_);
    admin_server_ = std::make_unique<Server>(loop_, *admin_front_, kAdminConnections, counters_);
    listen_when_free(*admin_server_, own_.admin.socket, [this] {
      log::info(Subsystem::admin, "listens",
                {{"name", config_.name}, {"socket", own_.admin.socket}});
    });
  }

  void open_operators() {
    operator_server_ = std::make_unique<LineServer>(
        loop_, [this](std::string_view line) { return operators_.answer(line); }, budget_.operators,
        counters_);
    try {
      operator_server_->listen(*config_.admin);
    } catch (const std::system_error& fault) {
      throw ConfigError("config: 'admin' " + config_.admin->text() +
                        " cannot be listened on: " + fault.code().message());
    }
    log::info(Subsystem::admin, "operators-listen",
              {{"name", config_.name}, {"address", operator_server_->address().text()}});
  }

  void serve() {
    serving_ = true;
    if (config_.listen_fd >= 0)
      server_.inherit(config_.listen_fd);
    else
      server_.listen(config_.listen);
    upgrade_.on_serving();
    log::info(Subsystem::node, "listens",
              {{"name", config_.name}, {"address", server_.address().text()}});
  }

  void serve_if_ready() {
    if (!serving_ && upgrade_.has_begun() && not_ready().empty())
      serve();
  }

  void take_list(scheduler::EndpointList list) {
    traffic_.list(admin_overrides_.apply(std::move(list)));
    if (!serving_)
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
    was_ready_ = was_ready_ || may_send;
    engine_.allow_sends(may_send);
    if (may_send)
      outbound_.resume_withheld();
  }

  void watching() {
    if (upgrade_.has_begun() && !serving_)
      upgrade_.on_watch_established();
  }

  // While the process before us lives the address is its own.
  void open_peers() {
    if (peers_.open(*config_.peer_listen))
      return membership_agent_.start(own_.members, config_.settings.dispatchers,
                                     config_.settings.rank);
    if (upgrade_.is_enabled() && errno == EADDRINUSE)
      return void(loop_.at(loop_.now() + kRetryAddress, [this] { open_peers(); }));
    log::error(Subsystem::node, "peers-unheard",
               {{"address", config_.peer_listen->text()}, {"errno", errno}});
  }

  std::string not_ready() const {
    if (!serving_) {
      std::string why = upgrade_.waits_for();
      if (!why.empty())
        return why;
    }
    if (shutdown_.has_begun())
      return "it was told to end";
    return "";
  }

  Gauges gauges() const {
    std::size_t away = admin_overrides_.unavailable(
        [this](EndpointId endpoint) { return engine_.is_ejected(endpoint); });
    return {.pending = engine_.pending_requests(),
            .members = admin_overrides_.listed(),
            .members_unavailable = away};
  }

  std::string by_hand(const std::string& host, bool out) {
    EndpointId endpoint = endpoint_id(host);
    const Destination* known = destinations_.find(endpoint);
    if (!(known && known->host == host) && !admin_overrides_.is_disabled(endpoint))
      return "no executor '" + host + "' was ever listed";
    lay_over(host, out);
    upgrade_.send_admin_override(host, out);
    return "";
  }

  void lay_over(const std::string& host, bool out) {
    EndpointId endpoint = endpoint_id(host);
    destinations_.disable(endpoint, out);
    auto told = out ? admin_overrides_.out(endpoint, host) : admin_overrides_.back(endpoint);
    if (told)
      traffic_.list(std::move(*told));
    log::info(Subsystem::admin, out ? "taken-out" : "called-back", {{"executor", host}});
  }

  NodeFiles files_;
  Config config_;
  config::Own own_;
  Budget budget_;
  Counters counters_;
  UnixClock clock_;
  net::EventLoop loop_;
  admin_overrides::AdminOverrides admin_overrides_;
  Engine engine_;
  Traffic traffic_;
  DestinationSet destinations_;
  Pool pool_;
  Outbound outbound_;
  Peers peers_;
  MembershipAgent membership_agent_;
  Plugins plugins_;
  PlatformFront front_;
  Server server_;
  OperatorCalls operators_;
  std::unique_ptr<LineServer> operator_server_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<ProgressFront> progress_front_;
  std::unique_ptr<Server> progress_server_;
  std::unique_ptr<AdminFront> admin_front_;
  std::unique_ptr<Server> admin_server_;
  // Where the platform lends the listening socket.
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
      {.apply_override = [this](const std::string& host, bool out) { lay_over(host, out); },
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
                             {.progress_server = [this] { return progress_server_.get(); },
                              .has_successor = [this] { return upgrade_.has_successor(); },
                              .is_upgrade_done =
                                  [this] {
                                    return upgrade_.is_done();
                                  }}};
  bool serving_ = false;
  bool was_ready_ = false;  // it had a list that could be sent by
  Signals signals_;
};

}  // namespace

void block_signals() {
  sigset_t set = signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

int run_node(const NodeFiles& files) {
  std::signal(SIGPIPE, SIG_IGN);
  block_signals();
  if (files.platform.empty())
    throw ConfigError("EDGE_CONFIG is not set");
  config::Own own = config::read_own(files.own, !files.own_given);
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
    _exit(code);  // its thread is stuck in a write that nobody reads, and cannot be joined
  return code;
}

}  // namespace keelflow
