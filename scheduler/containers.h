// Containers and the random source that the decisions stand on. General tools; nothing here decides
// anything.
#pragma once

#include <cmath>
#include <cstdint>
#include <map>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace keelflow::scheduler {

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

inline std::size_t at(int i) {
  return static_cast<std::size_t>(i);
}

template <typename Map>
auto* find_in(Map& map, std::uint32_t id) {
  auto it = map.find(id);
  return it == map.end() ? nullptr : &it->second;
}

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(mix(seed)) {}
  double operator()() {  // in [0, 1)
    state_ = mix(state_);
    return static_cast<double>(state_ >> 11) * 0x1p-53;
  }

 private:
  std::uint64_t state_;
};

// A set of ids with constant-time insertion, removal and access by position, so that it can be
// sampled. Positions depend on the order of the calls alone.
class SampledSet {
 public:
  void set(std::uint32_t id, bool in) {
    auto found = place_.find(id);
    if (in && found == place_.end()) {
      place_[id] = items_.size();
      items_.push_back(id);
    } else if (!in && found != place_.end()) {
      std::size_t hole = found->second;
      place_[items_.back()] = hole;
      items_[hole] = items_.back();
      items_.pop_back();
      place_.erase(id);
    }
  }
  std::size_t size() const { return items_.size(); }
  std::uint32_t operator[](std::size_t i) const { return items_[i]; }
  bool has(std::uint32_t id) const { return place_.count(id) != 0; }

 private:
  std::vector<std::uint32_t> items_;
  std::unordered_map<std::uint32_t, std::size_t> place_;
};

// How often each key was met of late.
class KeyCounts {
 public:
  void count(std::uint64_t key) {
    ++counts_[key];
    if (++total_ < kMemory)
      return;
    total_ = 0;  // older traffic counts half as much; keys not met for long are forgotten
    for (auto& [k, n] : counts_)
      total_ += n /= 2;
    std::erase_if(counts_, [](const auto& k) { return k.second < 0.3; });
  }
  double share(std::uint64_t key) const {
    auto count = counts_.find(key);
    return count == counts_.end() ? 0 : count->second / total_;
  }

 private:
  static constexpr double kMemory = 4096;  // keys after which older ones count half
  std::map<std::uint64_t, double> counts_;
  double total_ = 0;
};

// Amounts by time, some of it to come. Older ones are forgotten as others come.
class Window {
 public:
  void add(double when, double amount, double from) {
    std::erase_if(amounts_, [&](const auto& a) { return a.first < from; });
    amounts_.emplace_back(when, amount);
  }
  double sum(double from) const {
    double all = 0;
    for (const auto& [when, amount] : amounts_)
      all += when >= from ? amount : 0;
    return all;
  }

 private:
  std::vector<std::pair<double, double>> amounts_;
};

// Many alarms kept by one outside timer that is set again whenever an earlier one is due.
template <typename Wake>
class Alarms {
 public:
  struct Alarm {
    double when;
    std::uint64_t order;
    Wake wake;
    std::uint32_t id;
    int attempt;
    bool operator>(const Alarm& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };

  void add(double when, Wake wake, std::uint32_t id = 0, int attempt = 0) {
    queue_.push({when, order_++, wake, id, attempt});
  }
  bool due(double now) const { return !queue_.empty() && queue_.top().when <= now; }
  Alarm pop() {
    Alarm a = queue_.top();
    queue_.pop();
    return a;
  }
  void rang(std::uint64_t name) {  // any but the latest timer is stale
    if (name == name_)
      armed_ = INFINITY;
  }
  bool must_arm() const { return !queue_.empty() && queue_.top().when < armed_; }
  double arm() { return ++name_, armed_ = queue_.top().when; }
  std::uint64_t name() const { return name_; }

 private:
  std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> queue_;
  std::uint64_t order_ = 0, name_ = 0;
  double armed_ = INFINITY;
};

}  // namespace keelflow::scheduler
