// The platform's protocol: jobs from clients, call-backs from endpoints, readiness, counters.
#pragma once

#include <optional>
#include <variant>

#include "config/config.h"
#include "core/engine.h"
#include "inbound/server.h"
#include "outbound/outbound.h"

namespace keelflow {

// Why a request is no job.
struct Rejection {
  int status;
  std::string_view text;
};
std::variant<Job, Rejection> decode_job(HttpRequest request, const Names& names);

// A call-back's body. Nothing: it is malformed.
std::optional<StatusCallback> decode_status_callback(std::string_view body,
                                                     const std::vector<std::string>& report_names);

// Status, body and headers of a final answer that is a plain one.
void respond_final(InboundConnection& connection, const FinalAnswer& answer);

class PlatformFront final : public Front {
 public:
  PlatformFront(net::EventLoop& loop, Engine& engine, Outbound& outbound, const Config& config,
                Counters& counters)
      : loop_(loop), engine_(engine), outbound_(outbound), config_(config), counters_(counters) {}

  std::unique_ptr<Exchange> on_request(InboundConnection& connection, HttpRequest request) override;
  void on_malformed() override { ++counters_.requests_rejected; }
  std::function<bool()> ready;  // whether `GET /up` says so; empty: it does
  // Of a call-back that fits no attempt here: whether whoever may own it has been told, or there is
  // nobody else.
  std::function<bool(const std::string& body)> forward_status_callback;
  // The limit on connections: what comes over it is refused before the Engine sees it.
  bool turned_away(InboundConnection& connection);
  // Its client has gone before its request was read, as happens where the loop was held up: nobody
  // waits for an answer.
  bool left_early(InboundConnection& connection);
  // One job, answered with a single plain answer.
  std::unique_ptr<Exchange> take_plain(InboundConnection& connection, Job job);

 private:
  void take_news(InboundConnection& connection, const HttpRequest& request);

  net::EventLoop& loop_;
  Engine& engine_;
  Outbound& outbound_;
  const Config& config_;
  Counters& counters_;
};

}  // namespace keelflow
