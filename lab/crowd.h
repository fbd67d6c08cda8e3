// Clients: they ask at their own pace whatever becomes of it (an open loop), wait until their
// deadline, and try again as the answer allows.
#pragma once

#include <boost/histogram.hpp>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "boxes.h"
#include "outbound/pool.h"

namespace keelflow::lab {

struct ClassFigures {
  std::uint64_t jobs = 0, tries = 0, served = 0, refused = 0, failed = 0, silent = 0, in_time = 0;
  double worth_asked = 0, worth_in_time = 0;
};

class Crowd {
 public:
  Crowd(World& world, const Plan& plan, std::uint64_t seed);
  ~Crowd();

  void begin();
  void load(double factor,
            const std::string& class_name);  // of one class, or of all where it is empty
  void zone_load(const std::string& zone, double factor);
  void stop();  // nothing new; what is asked goes on
  bool waiting() const { return !calls_.empty() || retries_ > 0; }
  // A node that is being ended: its front brings nothing new.
  void leave(std::size_t node) { left_.at(node) = true; }
  void join(std::size_t node) { left_.at(node) = false; }
  // From now on, until the `until` that is set later, the node cannot answer: what it owes then is
  // lost with it, which is no rule broken. Counted.
  void faulty(std::size_t node) { faults_[node].push_back({world_.loop.now(), TimePoint::max()}); }
  void faulty_until(std::size_t node, TimePoint until) { faults_[node].back().second = until; }
  std::uint64_t lost_with_node() const { return lost_with_node_; }

  const std::vector<ClassFigures>& figures() const { return figures_; }
  double latency(double share) const;  // of served jobs, first try to answer, milliseconds
  std::uint64_t jobs() const;
  // By the second of a job's first try: worth asked and worth in time.
  const std::vector<std::pair<double, double>>& seconds() const { return seconds_; }

 private:
  struct Job {
    int class_index = 0, tries = 0, tenant = 0;
    std::string key, object;
    double core_ms = 0, hint_ms = 0;
    bool rude = false;
    Duration leaves_after{};  // zero: it waits
    TimePoint first;
  };
  class Call;
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1, 2)));

  void next();
  void ask(Job job);
  void over(Call& call, int status, const std::string& body, Duration retry_after);
  void retire(Call& call);
  std::size_t choose_node();
  bool faulty(std::size_t node, TimePoint from, TimePoint to) const;

  World& world_;
  const Plan& plan_;
  pcg32 random_;
  Pool pool_;
  std::vector<ClassFigures> figures_;
  std::vector<bool> left_;
  std::vector<double> zone_loads_;  // as of now
  std::map<std::size_t, std::vector<std::pair<TimePoint, TimePoint>>>
      faults_;  // by node, from when until when
  std::uint64_t lost_with_node_ = 0;
  std::vector<std::pair<double, double>> seconds_;
  Histogram latencies_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
  double factor_ = 1;
  std::vector<double> shares_;  // of the classes, as of now
  std::uint64_t last_ = 0;
  int retries_ = 0;
  bool stopped_ = false;
  TimePoint began_{}, due_{};
  TimerId timer_ = 0;
};

}  // namespace keelflow::lab
