// What the platform tells a node, decoded once at the start.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/time.h"
#include "discovery/host_list.h"
#include "net/address.h"
#include "scheduler/dispatcher.h"

namespace keelflow {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  net::Address listen, discovery;
  std::optional<net::Address> admin;  // for operators alone
  int listen_fd = -1;  // a listening socket that the platform holds and lends, in place of `listen`
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory_mb = 256;  ///< What the process may use.
  scheduler::Settings settings;
  Names names;
  std::vector<std::string> report_names;
  Duration connect_timeout{}, idle_limit{}, tick{};
  Duration longest_deadline = Duration::max();  // of all classes; unlimited where one names none
  std::size_t most_held = 20000;
  HostList known;
  // Where the platform lets nodes send one another messages: the own address and everybody's, by
  // rank.
  std::optional<net::Address> peer_listen;
  std::vector<net::Address> peers;
  std::string as_read;  // JSON: what the file must not lack when it is read again
};

std::string read_file(const std::string& path);  // throws ConfigError

// Reads the file that EDGE_CONFIG names. Throws ConfigError naming the fault.
Config read_config(const std::string& path);
Config decode_config(const std::string& text);
// What the environment says beside the file: EDGE_ADMIN, EDGE_LISTEN_FD. Throws ConfigError.
void read_environment(Config& config);

// The nested settings in the path=value form of the simulator's first message, which the adapter's
// decoder reads.
std::string flatten_settings(const std::string& json);

}  // namespace keelflow
