// Stand-in boxes, many in one process, which behave as the platform's protocol says: they answer
// 202, tell starts, progress and ends by call-backs that they repeat until answered, turn away what
// their queue cannot hold, drop a keyed repeat that their group has served within its window, start
// cold, and fall over when pushed.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "drain_rule.h"
#include "inbound/server.h"
#include "network.h"
#include "outbound/client_connection.h"
#include "plan.h"
#include "rules.h"

namespace keelflow::lab {

struct Work {  // what a box learns of a job beyond its request: the stand-ins' own knowledge
  std::string key;
  scheduler::Idempotency idempotency = scheduler::Idempotency::idempotent;
  Duration window{};
  double core_ms = 10;    // on a standard core
  Duration checkpoint{};  // a safe job that is cut off goes on, at any box, from what it had at the
                          // last multiple of this
};

struct World {  // what the stand-ins share
  net::EventLoop& loop;
  Counters& counters;
  Rules& rules;
  Duration cold{};
  double slow_start_initial_fraction = 1, overload_multiple = 4;
  Duration fall = std::chrono::seconds(2), drain_grace = std::chrono::milliseconds(500 + 50);
  std::unordered_map<std::string, Work> works;  // by request id
  // What groups have served of keyed work: key, then the result and when.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, std::pair<std::string, TimePoint>>>
      served;
  std::vector<net::Address> nodes;
  DrainRule drains{};
  Duration progress{};  // boxes report so often; zero: never
  std::unordered_map<std::string, double>
      saved;  // by key: work of cut off jobs that is done, in core milliseconds
  std::uint64_t reports = 0,
                resumed = 0;  // progress reports told, jobs that went on from a saved state
  double cut_answers = 0;     // share of the 202s whose connection ends inside the body
  pcg32 random{};
  // Where the network is not loopback alone: its places, by node; and what became of attempts
  // there.
  Network* network = nullptr;
  std::vector<Network::Place> node_places{};
  Network::Place discovery_place = 0;
  std::vector<std::string> node_zones{}, node_regions{};
  std::uint64_t attempts = 0, cross_zone = 0, cross_region = 0, fallen = 0;
  double cold_fullest =
      0;  // work sent to a cold box within the window, over what makes it fall over: the most
};

class Box {
 public:
  enum class Health : std::uint8_t { ready, draining, gone };

  Box(World& world, const BoxPlan& plan, std::string host, std::size_t nodes);
  ~Box();

  const std::string& host() const { return host_; }
  const std::string& group() const { return plan_.site; }
  net::Address dial(std::size_t node) const { return network_ ? ways_[node].there : dials_[node]; }
  // Its place in the network; every node reaches it, and is reached, through that from here on. Of
  // nodes the addresses.
  void stand_in(Network& network, Network::Place place, const std::string& region,
                const std::vector<net::Address>& nodes);
  Network::Place place() const { return place_; }
  // That node cannot hear it: an attempt there is over for the node once it gives it up, whatever
  // the box does.
  void unheard(std::size_t node);
  Health health() const { return health_; }
  bool up() const { return up_; }
  double born_unix_ms() const { return born_unix_ms_; }
  int block() const { return 1; }

  void slow(double factor) { plan_.speed /= factor; }
  void crash();   // the process dies: connections break, jobs are lost
  void revive();  // it starts again, cold
  void drain(bool on);
  void remove();  // it leaves the list and goes on running
  bool fallen() const { return fallen_; }
  std::uint64_t runs() const { return runs_; }

 private:
  struct Job {
    std::string id;
    std::size_t node;
    bool started = false;
    TimerId timer = 0, report = 0;
    TimePoint began{};
    double before_ms = 0, speed = 1;  // work saved before this run, in core milliseconds
    bool unheard = false;
  };
  class Port;    // where one node reaches this box
  class Caller;  // its call-backs to one node

  void listen();
  void take(std::size_t node, InboundConnection& connection, const HttpRequest& request);
  void accept(InboundConnection& connection);
  bool pushed_over(double work_ms);
  void start_next();
  void start(const std::string& id);
  void report(const std::string& id);
  void save(const Job& job);
  void end(const std::string& id);
  void forget(const std::string& id);
  void over(const Job& job);
  bool cut_off(std::size_t node) const;
  void count(std::size_t node);
  double speed() const;

  World& world_;
  BoxPlan plan_;
  std::string host_;
  std::vector<net::Address> dials_;
  struct Way {
    net::Address there, back;  // where the node dials, where the box calls back
  };
  std::vector<Way> ways_;
  Network* network_ = nullptr;
  Network::Place place_ = 0;
  std::string region_;
  std::vector<std::unique_ptr<Port>> ports_;
  std::vector<std::unique_ptr<Caller>> callers_;
  Health health_ = Health::ready;
  bool up_ = false, fallen_ = false;
  TimePoint born_{};
  double born_unix_ms_ = 0;
  int running_ = 0;
  std::uint64_t runs_ = 0;
  std::unordered_map<std::string, Job> jobs_;
  std::deque<std::string> queue_;
  std::deque<std::pair<TimePoint, double>> sent_;  // while cold: work in core milliseconds
};

}  // namespace keelflow::lab
