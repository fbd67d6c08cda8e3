#include "lifecycle/extra_listeners.h"

#include <cerrno>
#include <system_error>

#include "lifecycle/input_limits.h"
#include "log/log.h"

namespace keelflow {

using log::Subsystem;

namespace {

// The interval between attempts to listen on an address that the old process holds.
constexpr Duration kListenRetryInterval = std::chrono::milliseconds(50);
// The maximum number of simultaneous connections to the admin socket.
constexpr std::size_t kMaxAdminConnections = 6;

}  // namespace

void ExtraListeners::open_progress() {
  const config::Progress& settings = parts_.own.progress;
  if (settings.store) {
    store_ = std::make_unique<Store>(
        parts_.loop, Store::Settings{.address = *settings.store, .expiry = settings.expiry},
        parts_.counters);
    store_->open();
  }
  progress_front_ = std::make_unique<ProgressFront>(
      parts_.loop, parts_.engine, parts_.front, parts_.config.names, parts_.plugins, store_.get(),
      ProgressFront::Settings{.heartbeat = settings.heartbeat}, parts_.counters);
  progress_server_ = std::make_unique<Server>(
      parts_.loop, *progress_front_, parts_.budget.inbound / 3, parts_.counters,
      divide_input_memory(parts_.config.memory_mb).progress);
  progress_server_->on_pressure = parts_.server.on_pressure;
  listen_when_free(*progress_server_, *settings.listen, [this] {
    log::info(Subsystem::progress, "listens",
              {{"name", parts_.config.name}, {"address", progress_server_->address().text()}});
  });
}

template <typename AddressOrPath>
void ExtraListeners::listen_when_free(Server& server, const AddressOrPath& address_or_path,
                                      std::function<void()> then) {
  try {
    server.listen(address_or_path);
  } catch (const std::system_error& fault) {
    if (!callbacks_.has_sibling() || fault.code().value() != EADDRINUSE)
      throw;
    parts_.loop.at(parts_.loop.now() + kListenRetryInterval,
                   [this, &server, address_or_path, then] {
                     try {
                       listen_when_free(server, address_or_path, then);
                     } catch (const std::system_error& later) {
                       log::error(Subsystem::node, "not-listening", {{"fault", later.what()}});
                     }
                   });
    return;
  }
  then();
}

void ExtraListeners::open_admin() {
  admin_front_ =
      std::make_unique<AdminFront>(parts_.traffic, parts_.plugins, pages_, parts_.counters);
  admin_server_ =
      std::make_unique<Server>(parts_.loop, *admin_front_, kMaxAdminConnections, parts_.counters);
  listen_when_free(*admin_server_, parts_.own.admin.socket, [this] {
    log::info(Subsystem::admin, "listens",
              {{"name", parts_.config.name}, {"socket", parts_.own.admin.socket}});
  });
}

void ExtraListeners::open_operators() {
  operator_server_ = std::make_unique<LineServer>(
      parts_.loop, [this](std::string_view line) { return parts_.operators.answer(line); },
      parts_.budget.operators, parts_.counters);
  try {
    operator_server_->listen(*parts_.config.admin);
  } catch (const std::system_error& fault) {
    throw ConfigError("config: 'admin' " + parts_.config.admin->text() +
                      " cannot be listened on: " + fault.code().message());
  }
  log::info(Subsystem::admin, "operators-listen",
            {{"name", parts_.config.name}, {"address", operator_server_->address().text()}});
}

void ExtraListeners::open_peers() {
  const Config& config = parts_.config;
  if (parts_.peers.open(*config.peer_listen))
    parts_.membership.start(parts_.own.members, config.settings.dispatchers, config.settings.rank);
  else if (callbacks_.is_upgradable() && errno == EADDRINUSE)
    parts_.loop.at(parts_.loop.now() + kListenRetryInterval, [this] { open_peers(); });
  else
    log::error(Subsystem::node, "peers-unheard",
               {{"address", config.peer_listen->text()}, {"errno", errno}});
}

}  // namespace keelflow
