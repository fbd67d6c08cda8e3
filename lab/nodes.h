// Real nodes as child processes, each in a folder of its own.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fault_shim.h"
#include "net/address.h"
#include "plan.h"

namespace keelflow::lab {

// A port that is free now. Another program could take it before the node does; the node then says
// so and ends.
net::Address free_address(int type);  // SOCK_STREAM, SOCK_DGRAM

struct Neighbours {  // what a node is told of the world
  net::Address discovery;
  std::optional<net::Address> peer_listen;  // without it: no peers
  std::vector<net::Address> peers;          // by number
};

class NodeProcess {
 public:
  NodeProcess(const Plan& plan, std::string folder, int number, std::string program);
  ~NodeProcess();  // ends it by SIGKILL if it still runs
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  void start(const Neighbours& neighbours, std::uint64_t seed);
  // Under the same name and address, with another seed. `known`: the list that the platform has
  // kept for it, or null.
  void start_again(std::uint64_t seed, const nlohmann::json& known);
  net::Address address() const { return address_; }
  void wait_until_up();             // throws std::runtime_error with its log if it does not come up
  bool up() const;                  // it accepts connections
  void kill();                      // SIGKILL
  void stall(bool on);              // SIGSTOP, SIGCONT
  void reload();                    // SIGHUP
  void step_clock(double seconds);  // its wall clock
  // System calls of its lives so far that were made to fail or to move one byte; reads of a wall
  // clock.
  std::uint64_t calls_failed() const { return shim_ ? shim_->failed.load() : 0; }
  std::uint64_t calls_shortened() const { return shim_ ? shim_->shortened.load() : 0; }
  void settings(const std::string& text);  // rewrites its file and sends SIGHUP
  void terminate();
  bool ended();                            // has it ended, and with what
  int exit_code() const { return code_; }  // -1: by a signal, or not yet
  bool told_to_end() const { return told_; }
  bool killed() const { return killed_; }
  nlohmann::json status() const { return page("/status"); }
  nlohmann::json page(const std::string& target) const;  // null where it does not answer
  bool reload_plugins() const;
  bool command(const std::string& move, const std::string& verb) const;
  std::string socket() const { return folder_ + "/admin"; }
  std::string log() const;
  double cpu_seconds() const;  // so far
  long memory_kb() const;      // the most it had

 private:
  void spawn();
  void map_shim();
  void bury();

  const Plan& plan_;
  std::string folder_, program_;
  int number_;
  net::Address address_;
  Neighbours neighbours_;
  pid_t pid_ = -1, dying_ = -1;
  ShimControl* shim_ = nullptr;
  int code_ = -1;
  bool told_ = false, killed_ = false;
};

}  // namespace keelflow::lab
