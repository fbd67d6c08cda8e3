// What an operator asks a running node, over a Unix socket: HTTP/1.1 and JSON, read by the node's
// own parser.
//
//   GET  /status              name, pools, routes, moves, counters
//   GET  /moves               the moves alone
//   GET  /plugins             the plug-ins alone
//   GET  /fleet               which nodes live, and who is at home at which endpoint
//   POST /plugins/VERB        reload: all of them. 200, 409 (why not)
//   POST /plugins/NAME/VERB   reload, enable, disable: 200, 409 (why not) or 404
//   POST /moves/NAME/VERB     start, pause, resume, undo: 200, 409 (why not) or 404
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "inbound/server.h"
#include "plugins/plugins.h"
#include "routes/traffic.h"

namespace keelflow {

class AdminFront final : public Front {
 public:
  struct Pages {
    std::function<nlohmann::json()> status;  // what is not the traffic's: name, state, counters
    std::function<nlohmann::json()> fleet;
  };
  AdminFront(Traffic& traffic, Plugins& plugins, Pages pages, Counters& counters)
      : traffic_(traffic), plugins_(plugins), pages_(std::move(pages)), counters_(counters) {}

  std::unique_ptr<Exchange> on_request(InboundConnection& connection, HttpRequest request) override;

 private:
  void move(InboundConnection& connection, std::string_view rest);
  void plugin(InboundConnection& connection, std::string_view rest);

  Traffic& traffic_;
  Plugins& plugins_;
  Pages pages_;
  Counters& counters_;
};

}  // namespace keelflow
