// Discovery's stand-in: the list, and a watch of its changes, for each node with the addresses that it is to dial.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "boxes.h"

namespace keelflow::lab {

class Directory {
 public:
  Directory(World& world, const std::vector<std::unique_ptr<Box>>& boxes, std::size_t nodes);
  ~Directory();

  net::Address address(std::size_t node) const;
  void changed(const Box& box);  // told to every watch at once

 private:
  class Desk;   // for one node
  class Watch;  // one call that stays open
  nlohmann::json entry(const Box& box, std::size_t node) const;
  std::string whole(std::size_t node) const;
  void beat();

  World& world_;
  const std::vector<std::unique_ptr<Box>>& boxes_;
  std::uint64_t version_ = 1;
  std::vector<std::unique_ptr<Desk>> desks_;
  TimerId beat_ = 0;
};

}  // namespace keelflow::lab
