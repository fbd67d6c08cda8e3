// What an operator asks a running node, over a Unix socket: HTTP/1.1 and JSON, read by the node's own parser.
//
//   GET  /status              name, pools, routes, moves, counters
//   GET  /moves               the moves alone
//   POST /moves/NAME/VERB     start, pause, resume, undo: 200, 409 (why not) or 404
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "inbound/server.h"
#include "routes/traffic.h"

namespace keelflow {

class AdminFront final : public Front {
 public:
  using Status = std::function<nlohmann::json()>;  // what is not the traffic's: name, state, counters
  AdminFront(Traffic& traffic, Status status, Counters& counters)
      : traffic_(traffic), status_(std::move(status)), counters_(counters) {}

  std::unique_ptr<Exchange> on_request(InboundConnection& connection, HttpRequest request) override;

 private:
  void move(InboundConnection& connection, std::string_view rest);

  Traffic& traffic_;
  Status status_;
  Counters& counters_;
};

}  // namespace keelflow
