// Two processes of one node, the elder and the one that takes over from it, talk over a Unix socket
// in $TMPDIR while both live. docs/design/handover.md has the messages. Each message is a line of
// JSON; the version stands in the first.
//
// The socket's name comes from the node's. Whoever serves listens there; a younger process calls,
// and once it is ready puts a socket of its own under that name. A name that nobody answers is that
// of a process that has ended.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "net/connection.h"

namespace keelflow {

class Handover final : net::EventLoop::Handler {
 public:
  static constexpr int kVersion = 1;

  struct Callbacks {
    std::function<nlohmann::json()> welcome;              // what the younger is to know
    std::function<void(const nlohmann::json&)> welcomed;  // throws what nlohmann-json throws
    std::function<void(bool here)> partner;               // the first came, the last went
    std::function<void()> successor_ready;                // it accepts clients
    std::function<void(const std::string& host, bool out)>
        by_hand;                                        // the other process was told so
    std::function<void(const std::string& note)> note;  // of the other's module
    std::function<bool(const std::string& body)>
        news;  // a call-back that reached the other; true: it is ours
  };
  Handover(net::EventLoop& loop, std::string folder, const std::string& node, Callbacks deeds,
           Counters& counters);
  ~Handover() override;

  bool ask();     // calls the elder; false: there is none
  void listen();  // takes the name over, and tells the elder that this process serves

  void send_admin_override(const std::string& host, bool out);
  void send_load_update(std::string_view note);
  // A call-back that is not of this process. False: somebody there could not be told, so it must
  // come again.
  bool forward_status_callback(std::string_view body);
  bool partner() const { return !links_.empty(); }
  bool flushed() const;
  bool has_old_process() const;  // one that others reach through this process

 private:
  class Link;
  void on_ready(std::uint32_t) override;
  void take(Link& link, const nlohmann::json& message);
  bool tell(const nlohmann::json& message, const Link* except = nullptr);
  Link* add(int fd, bool elder);
  void remove(Link& link);

  net::EventLoop& loop_;
  std::string path_;
  std::string node_;
  Callbacks callbacks_;
  Counters& counters_;
  int fd_ = -1;
  std::uint64_t registration_ = 0, next_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Link>> links_;
};

}  // namespace keelflow
