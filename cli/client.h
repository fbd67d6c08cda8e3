// One call to a running node's admin socket. Blocking, with a time limit: a command line may wait,
// a node may not.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace keelflow::cli {

struct Reply {
  int status = 0;  // 0: no node answers there
  std::string body;
  std::string fault;  // where status is 0
};

Reply call(const std::string& socket, std::string_view method, std::string_view target,
           std::chrono::milliseconds limit = std::chrono::seconds(5));

}  // namespace keelflow::cli
