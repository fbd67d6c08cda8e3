#include "config/config.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "simulator_adapter/settings_decoder.h"

namespace keelflow {
namespace {

using nlohmann::json;

std::string plain(const json& value) {
  if (!value.is_string())
    return value.dump();
  std::string text = value.get<std::string>();
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; }, '_');
  return text;
}

// A key is no place for what the lines are made of: it would end its line, or name another setting.
std::string plain_key(std::string key) {
  std::replace_if(
      key.begin(), key.end(), [](char c) { return c == '=' || c == '.' || c == '\n' || c == '\r'; },
      '_');
  return key;
}

void flatten(const json& value, const std::string& path, std::string& out) {
  auto below = [&](const std::string& key) {
    return path.empty() ? key : path + "." + key;
  };
  if (value.is_object()) {
    for (const auto& [key, item] : value.items())
      flatten(item, below(plain_key(key)), out);
  } else if (value.is_array()) {
    bool objects = std::any_of(value.begin(), value.end(),
                               [](const json& item) { return item.is_structured(); });
    if (objects) {
      out += path + ".count=" + std::to_string(value.size()) + "\n";
      for (std::size_t i = 0; i < value.size(); ++i)
        flatten(value[i], below(std::to_string(i)), out);
    } else {
      out += path + "=";
      for (std::size_t i = 0; i < value.size(); ++i)
        out += (i ? "," : "") + plain(value[i]);
      out += "\n";
    }
  } else if (!value.is_null()) {
    out += path + "=" + plain(value) + "\n";
  }
}

std::vector<std::string> words(const json& list) {
  std::vector<std::string> out;
  for (const auto& item : list)
    out.push_back(item.is_object() ? item.at("name").get<std::string>() : item.get<std::string>());
  return out;
}

net::Address address(const json& from, const char* key) {
  auto text = from.at(key).get<std::string>();
  if (auto parsed = net::parse_address(text))
    return *parsed;
  throw ConfigError(std::string("config: '") + key + "' is no address: '" + text + "'");
}

// What the module does not read itself, and no node can serve by if it is not so.
void check_figures(const json& settings) {
  auto positive = [](const json& owner, const char* key, const std::string& where) {
    if (!owner.contains(key))
      return;
    const json& value = owner.at(key);
    if (!value.is_number() || value.get<double>() <= 0)
      throw ConfigError("config: '" + where + key + "' is no positive number: " + value.dump());
  };
  for (const json& one : settings.at("classes"))
    positive(one, "give_up_ms", "settings.classes." + one.value("name", "?") + ".");
  if (settings.contains("limits"))
    positive(settings.at("limits"), "try_limit", "settings.limits.");
}

Duration longest_deadline(const json& classes) {
  Duration longest{};
  for (const json& one : classes) {
    if (!one.contains("give_up_ms"))
      return Duration::max();
    longest = std::max(longest, from_ms(std::min(one.at("give_up_ms").get<double>(), 1e9)));
  }
  return longest;
}

// Of the list of hosts and the seed nothing is kept: they may be absent.
std::string shape_of(json root) {
  root.erase("known");
  root.erase("seed");
  return root.dump();
}

// Without them the module is told that there are no messages, whatever the settings allow.
void read_peers(const json& root, Config& c) {
  if (c.settings.peers && root.contains("peer_listen") && root.contains("peers")) {
    c.peer_listen = address(root, "peer_listen");
    for (const json& peer : root.at("peers")) {
      auto parsed = net::parse_address(peer.get<std::string>());
      if (!parsed)
        throw ConfigError("config: 'peers' has what is no address: '" + peer.get<std::string>() +
                          "'");
      c.peers.push_back(*parsed);
    }
    if (c.peers.size() != static_cast<std::size_t>(c.settings.dispatchers))
      throw ConfigError("config: 'peers' has " + std::to_string(c.peers.size()) +
                        " addresses, settings " + std::to_string(c.settings.dispatchers) +
                        " balancers");
  }
  c.settings.peers = c.peer_listen.has_value();
}

}  // namespace

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw ConfigError("config: cannot read '" + path + "'");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string flatten_settings(const std::string& text) {
  std::string out;
  flatten(json::parse(text), "", out);
  return out;
}

Config decode_config(const std::string& text) {
  try {
    json root = json::parse(text);
    Config c;
    c.name = root.value("name", "node");
    c.listen = address(root, "listen");
    c.discovery = address(root, "discovery");
    if (root.contains("admin"))
      c.admin = address(root, "admin");
    std::string seed = root.value("seed", "0");
    auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
    if (error != std::errc() || end != seed.data() + seed.size())
      throw ConfigError("config: 'seed' is not hexadecimal: '" + seed + "'");
    const json process_limits = root.value("limits", json::object());
    c.sockets = process_limits.value("sockets", c.sockets);
    c.memory_mb = process_limits.value("memory_mb", c.memory_mb);
    const json& settings = root.at("settings");
    check_figures(settings);
    c.as_read = shape_of(root);
    std::string profile;
    flatten(settings, "", profile);
    c.settings = keelflow::simulator_adapter::read_settings(profile);
    c.names.classes = words(settings.at("classes"));
    if (settings.contains("tenants"))
      c.names.tenants = words(settings.at("tenants"));
    c.names.zones = words(settings.at("dcs"));
    c.names.kinds = words(settings.at("kinds"));
    if (settings.contains("report") && settings.at("report").contains("names"))
      c.report_names = words(settings.at("report").at("names"));
    const json limits = settings.value("limits", json::object());
    c.connect_timeout = from_ms(limits.value("connect_timeout_ms", 200.0));
    c.idle_limit = from_ms(limits.value("conn_idle_ms", 5000.0));
    c.most_held = limits.value("most_held", std::size_t{20000});
    c.longest_deadline = longest_deadline(settings.at("classes"));
    c.tick = from_ms(c.settings.tick_ms);
    read_peers(root, c);
    if (root.contains("known") && root.at("known").is_object())
      c.known = decode_list(root.at("known"), c.names);
    if (c.known.malformed > 0)
      throw ConfigError("config: 'known' has " + std::to_string(c.known.malformed) +
                        " malformed entries in 'hosts'");
    return c;
  } catch (const json::exception& fault) {
    throw ConfigError(std::string("config: ") + fault.what());
  }
}

Config read_config(const std::string& path) {
  return decode_config(read_file(path));
}

void read_environment(Config& config) {
  if (const char* text = std::getenv("EDGE_ADMIN"); text && *text) {
    config.admin = net::parse_address(text);
    if (!config.admin)
      throw ConfigError(std::string("EDGE_ADMIN is no address: '") + text + "'");
  }
  if (const char* text = std::getenv("EDGE_LISTEN_FD"); text && *text) {
    std::string_view digits = text;
    auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), config.listen_fd);
    int listens = 0;
    socklen_t size = sizeof listens;
    bool good = error == std::errc() && end == digits.data() + digits.size() &&
                config.listen_fd >= 0 &&
                getsockopt(config.listen_fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 &&
                listens != 0;
    if (!good)
      throw ConfigError(std::string("EDGE_LISTEN_FD is no listening socket: '") + text + "'");
  }
}

}  // namespace keelflow
