#include "config/retune.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace keelflow {
namespace {

using nlohmann::json;
using scheduler::ClassSettings;

std::size_t at(int i) {
  return static_cast<std::size_t>(i);
}

// A file that was cut off or is half written may still be good JSON: what the former one had must
// be there. Classes and tenants may come and go, so of lists of objects each member must have what
// all members had.
void must_have(const json& before, const json& now, const std::string& path) {
  if (before.is_object()) {
    if (!now.is_object())
      throw ConfigError("config: '" + path + "' is not what it was, an object");
    for (const auto& [key, value] : before.items()) {
      std::string below = path.empty() ? key : path + "." + key;
      if (!now.contains(key) || now.at(key).is_null())
        throw ConfigError("config: '" + below + "' is missing");
      must_have(value, now.at(key), below);
    }
  } else if (before.is_array() && !before.empty() && before.front().is_object()) {
    if (!now.is_array())
      throw ConfigError("config: '" + path + "' is not what it was, a list");
    json common = before.front();
    for (auto key = common.begin(); key != common.end();) {
      bool everywhere = std::all_of(before.begin(), before.end(),
                                    [&](const json& item) { return item.contains(key.key()); });
      key = everywhere ? std::next(key) : common.erase(key);
    }
    for (std::size_t i = 0; i < now.size(); ++i)
      must_have(common, now[i], path + "." + std::to_string(i));
  } else if (before.is_number() && !now.is_number()) {
    throw ConfigError("config: '" + path + "' is no number: " + now.dump());
  }
}

// The names in use first, at their places; for each of the fresh list its new place.
std::vector<int> join(std::vector<std::string>& names, const std::vector<std::string>& fresh) {
  std::vector<int> places;
  for (const std::string& name : fresh) {
    int place = Names::place(names, name);
    if (place < 0)
      names.push_back(name), place = static_cast<int>(names.size()) - 1;
    places.push_back(place);
  }
  return places;
}

class Joining {
 public:
  Joining(const Config& now, Config fresh)
      : now_(now), fresh_(std::move(fresh)), out_{fresh_, {}} {}

  Retuned join_all(const std::function<bool(int)>& in_use) {
    Config& c = out_.config;
    c.listen = now_.listen, c.listen_fd = now_.listen_fd, c.admin = now_.admin, c.seed = now_.seed;
    c.sockets = now_.sockets, c.memory_mb = now_.memory_mb, c.peers = now_.peers,
    c.peer_listen = now_.peer_listen;
    c.settings.peers = now_.settings.peers;
    c.names = now_.names;
    zones_and_kinds();
    tenants();
    classes(in_use);
    try {
      scheduler::validate(c.settings);
    } catch (const std::invalid_argument& fault) {
      throw ConfigError(std::string("config: ") + fault.what());
    }
    return std::move(out_);
  }

 private:
  void zones_and_kinds() {
    Config& c = out_.config;
    auto zones = join(c.names.zones, fresh_.names.zones);
    auto kinds = join(c.names.kinds, fresh_.names.kinds);
    if (c.settings.zone >= 0 && at(c.settings.zone) < zones.size())
      c.settings.zone = zones[at(c.settings.zone)];
    c.settings.zones = static_cast<int>(c.names.zones.size());
    c.settings.kinds = static_cast<int>(c.names.kinds.size());
    for (ClassSettings& class_settings : fresh_.settings.classes)
      if (class_settings.kind >= 0 && at(class_settings.kind) < kinds.size())
        class_settings.kind = kinds[at(class_settings.kind)];
  }

  void tenants() {
    Config& c = out_.config;
    auto places = join(c.names.tenants, fresh_.names.tenants);
    c.settings.tenant_quota.assign(c.names.tenants.size(), 0.0);
    for (std::size_t i = 0; i < places.size() && i < fresh_.settings.tenant_quota.size(); ++i)
      c.settings.tenant_quota[at(places[i])] = fresh_.settings.tenant_quota[i];
  }

  void classes(const std::function<bool(int)>& in_use) {
    Names& names = out_.config.names;
    auto& settings = out_.config.settings.classes = now_.settings.classes;
    names.former.assign(settings.size(), true);
    out_.from.resize(settings.size());
    for (std::size_t i = 0; i < settings.size(); ++i)
      out_.from[i] = static_cast<int>(i);
    for (std::size_t i = 0; i < fresh_.names.classes.size(); ++i) {
      const std::string& name = fresh_.names.classes[i];
      if (names.class_of(name) >= 0)
        throw ConfigError("config: class '" + name + "' is there twice");
      int old = now_.names.class_of(name);
      if (old < 0)
        old = Names::place(now_.names.classes, name);  // it was here before
      bool same = old >= 0 && names.former[at(old)] &&
                  now_.settings.classes[at(old)] == fresh_.settings.classes[i];
      int place = same ? old : free_place(in_use);
      settings[at(place)] = fresh_.settings.classes[i];
      names.classes[at(place)] = name;
      names.former[at(place)] = false;
      out_.from[at(place)] = old;
    }
  }

  int free_place(const std::function<bool(int)>& in_use) {
    Names& names = out_.config.names;
    auto& settings = out_.config.settings.classes;
    for (int i = 0; at(i) < now_.names.classes.size(); ++i) {
      bool was_former = at(i) < now_.names.former.size() && now_.names.former[at(i)];
      if (was_former && names.former[at(i)] && !in_use(i))
        return i;
    }
    names.classes.emplace_back();
    names.former.push_back(true);
    settings.emplace_back();
    out_.from.push_back(-1);
    return static_cast<int>(settings.size()) - 1;
  }

  const Config& now_;
  Config fresh_;
  Retuned out_;
};

}  // namespace

Retuned retune(const Config& now, Config fresh, const std::function<bool(int)>& in_use) {
  must_have(json::parse(now.as_read), json::parse(fresh.as_read), "");
  return Joining(now, std::move(fresh)).join_all(in_use);
}

}  // namespace keelflow
