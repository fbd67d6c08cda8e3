/// \file
/// The second front: progress as server-sent events. The same Engine and the same rules as the
/// platform's front.
#pragma once

#include <string>

#include "inbound/platform_front.h"
#include "plugins/plugins.h"
#include "progress/event_stream.h"
#include "store/progress_log.h"
#include "store/store.h"

namespace keelflow {

class ProgressFront final : public Front {
 public:
  struct Settings {
    Duration heartbeat;
    std::size_t most_pending =
        64 * 1024;  // unread by the client; beyond it progress is dropped, never the end
  };
  // `store` may be null: it is off unless configured.
  ProgressFront(net::EventLoop& loop, Engine& engine, PlatformFront& platform, const Names& names,
                Plugins& plugins, Store* store, Settings settings, Counters& counters)
      : loop_(loop),
        engine_(engine),
        platform_(platform),
        names_(names),
        plugins_(plugins),
        store_(store),
        settings_(settings),
        counters_(counters) {}

  std::unique_ptr<Exchange> on_request(InboundConnection& connection, HttpRequest request) override;
  void on_malformed() override { platform_.on_malformed(); }

 private:
  static std::string random_name();
  friend class ProgressStream;
  friend class ReplayStream;
  std::unique_ptr<Exchange> replay(InboundConnection& connection, const HttpRequest& request);
  // Null if there is no store.
  std::shared_ptr<ProgressLog> begin_log(const std::string& request);

  net::EventLoop& loop_;
  Engine& engine_;
  PlatformFront& platform_;
  const Names& names_;
  Plugins& plugins_;
  Store* store_;
  Settings settings_;
  Counters& counters_;
  std::string process_ = random_name();  // differs between all processes, restarts included
  std::uint64_t logs_begun_ = 0;
};

}  // namespace keelflow
