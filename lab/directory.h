// Discovery's stand-in: the list, and a watch of its changes, for each node with the addresses that
// it is to dial. Its calls fail as an experiment says.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "boxes.h"

namespace keelflow::lab {

// What becomes of one call. Each but `slow` ends without a list.
enum class CallFault : std::uint8_t {
  refused,      // 503 at once
  endless,      // 503 whose body does not end
  reset,        // the connection is closed without an answer
  silent,       // nothing is said, and the connection stays open
  silent_head,  // the same after the head of a 200
  half,         // the same in the middle of the list
  cut,          // the connection is closed in the middle of the list
  slow,         // the list comes in small pieces
};
std::optional<CallFault> call_fault(std::string_view word);

class Directory {
 public:
  // `pushed`: each node asks an agent of its own, which has the list while discovery is up and says
  // nothing while not.
  Directory(World& world, const std::vector<std::unique_ptr<Box>>& boxes, std::size_t nodes,
            bool pushed);
  ~Directory();

  net::Address address(std::size_t node) const;
  nlohmann::json known(
      std::size_t node) const;   // the list as discovery last could have told it to that node
  void changed(const Box& box);  // written to every watch at once

  void down(
      bool is);  // asked: watches end, and calls are refused after a while. Pushed: all fall silent
  void fail_next(std::size_t node,
                 const std::vector<CallFault>& faults);  // the node's next calls, one after another
  void silence(std::size_t node);                        // its open watches say nothing any more
  void reset(std::size_t node);                          // they are closed

 private:
  class Desk;   // for one node
  class Watch;  // one call that stays open
  nlohmann::json entry(const Box& box, std::size_t node) const;
  std::string whole(std::size_t node) const;
  void told(std::size_t node);  // all that the list says now
  void told(std::size_t node, const Box& box);
  void beat();

  World& world_;
  const std::vector<std::unique_ptr<Box>>& boxes_;
  bool pushed_, down_ = false;
  std::uint64_t version_ = 1;
  std::vector<std::unique_ptr<Desk>> desks_;
  std::vector<std::string> before_down_;  // by node: the list when discovery went down
  TimerId beat_ = 0;
};

}  // namespace keelflow::lab
