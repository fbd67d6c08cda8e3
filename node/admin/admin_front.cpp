#include "admin/admin_front.h"

#include <nlohmann/json.hpp>

#include "log/log.h"

namespace keelflow {
namespace {

using nlohmann::json;
constexpr std::string_view kMoves = "/moves/", kPlugins = "/plugins/";

void answer(InboundConnection& connection, int status, const json& body) {
  connection.respond(status, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
                     {{"Content-Type", "application/json"}});
}

}  // namespace

std::unique_ptr<Exchange> AdminFront::on_request(InboundConnection& connection,
                                                 HttpRequest request) {
  ++counters_.admin_calls;
  std::string_view path = request.head.path(), method = request.head.method;
  if (connection.crowded())
    return answer(connection, 503, {{"error", "too many connections"}}), nullptr;
  if (path == "/status" && method == "GET") {
    json all = pages_.status();
    all["pools"] = traffic_.pools();
    all["routes"] = traffic_.routes();
    all["moves"] = traffic_.moves();
    all["plugins"] = plugins_.status();
    return answer(connection, 200, all), nullptr;
  }
  if (path == "/fleet" && method == "GET")
    return answer(connection, 200, pages_.fleet()), nullptr;
  if (path == "/moves" && method == "GET")
    return answer(connection, 200, {{"moves", traffic_.moves()}}), nullptr;
  if (path.starts_with(kMoves) && method == "POST")
    return move(connection, path.substr(kMoves.size())), nullptr;
  if (path == "/plugins" && method == "GET")
    return answer(connection, 200, {{"plugins", plugins_.status()}}), nullptr;
  if (path.starts_with(kPlugins) && method == "POST")
    return plugin(connection, path.substr(kPlugins.size())), nullptr;
  bool known = path == "/status" || path == "/fleet" || path == "/moves" ||
               path.starts_with(kMoves) || path == "/plugins" || path.starts_with(kPlugins);
  answer(connection, known ? 405 : 404, {{"error", known ? "wrong method" : "no such page"}});
  return nullptr;
}

void AdminFront::move(InboundConnection& connection, std::string_view rest) {
  auto slash = rest.rfind('/');
  std::string_view name = rest.substr(0, slash),
                   verb = slash == rest.npos ? "" : rest.substr(slash + 1);
  if (!traffic_.has_move(name))
    return answer(connection, 404, {{"error", "no move '" + std::string(name) + "'"}});
  if (verb != "start" && verb != "pause" && verb != "resume" && verb != "undo")
    return answer(connection, 404, {{"error", "no command '" + std::string(verb) + "'"}});
  std::string why = traffic_.command(name, verb);
  log::info(log::Subsystem::admin, "move-command",
            {{"move", name}, {"verb", verb}, {"refused", why}});
  if (!why.empty())
    return answer(connection, 409, {{"error", "move '" + std::string(name) + "': " + why}});
  answer(connection, 200, {{"done", verb}, {"move", name}});
}

void AdminFront::plugin(InboundConnection& connection, std::string_view rest) {
  auto slash = rest.rfind('/');
  std::string_view name = slash == rest.npos ? "" : rest.substr(0, slash),
                   verb = slash == rest.npos ? rest : rest.substr(slash + 1);
  bool known = verb == "reload" || (!name.empty() && (verb == "enable" || verb == "disable"));
  if (!known)
    return answer(connection, 404, {{"error", "no command '" + std::string(verb) + "'"}});
  if (!name.empty() && !plugins_.has(name))
    return answer(connection, 404, {{"error", "no plug-in '" + std::string(name) + "'"}});
  std::string why =
      verb == "reload" ? plugins_.reload(name) : plugins_.enable(name, verb == "enable");
  log::info(log::Subsystem::admin, "plugin-command",
            {{"plugin", name}, {"verb", verb}, {"refused", why}});
  if (!why.empty())
    return answer(connection, 409, {{"error", why}});
  answer(connection, 200, {{"done", verb}, {"plugin", name}});
}

}  // namespace keelflow
