// Requests that plug-ins hold back, of bounded number and bytes. One that does not fit makes the
// oldest go on at once; one that is larger than all room goes on itself. Pure: time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::plugins {

class Holds {
 public:
  using Id = scheduler::RequestId;
  Holds(std::size_t max_count, std::size_t max_bytes)
      : max_count_(max_count), max_bytes_(max_bytes) {}

  // Those that must go on now to make room, the oldest first; perhaps this one itself.
  std::vector<Id> add(Id id, std::size_t bytes, double until_ms) {
    if (max_count_ == 0 || bytes > max_bytes_)
      return ++pushed_out_, std::vector<Id>{id};
    std::vector<Id> out;
    while (held_.size() >= max_count_ || bytes_ + bytes > max_bytes_) {
      out.push_back(by_age_.begin()->second);
      remove(out.back());
      ++pushed_out_;
    }
    held_[id] = {bytes, until_ms, ++last_};
    by_age_[last_] = id;
    by_end_.insert({until_ms, last_, id});
    bytes_ += bytes;
    return out;
  }

  bool remove(Id id) {  // its client has gone, or it goes on
    auto it = held_.find(id);
    if (it == held_.end())
      return false;
    bytes_ -= it->second.bytes;
    by_age_.erase(it->second.age);
    by_end_.erase({it->second.until, it->second.age, id});
    held_.erase(it);
    return true;
  }

  std::vector<Id> due(double now_ms) {
    std::vector<Id> out;
    while (!by_end_.empty() && std::get<0>(*by_end_.begin()) <= now_ms) {
      out.push_back(std::get<2>(*by_end_.begin()));
      remove(out.back());
    }
    return out;
  }

  std::vector<Id> all() {  // the oldest first; nothing is held any more
    std::vector<Id> out;
    for (const auto& [age, id] : by_age_)
      out.push_back(id);
    for (Id id : out)
      remove(id);
    return out;
  }

  // Other bounds from now on; those that no longer fit, the oldest first.
  std::vector<Id> set_limits(std::size_t max_count, std::size_t max_bytes) {
    max_count_ = max_count, max_bytes_ = max_bytes;
    std::vector<Id> out;
    while (held_.size() > max_count_ || bytes_ > max_bytes_) {
      out.push_back(by_age_.begin()->second);
      remove(out.back());
      ++pushed_out_;
    }
    return out;
  }

  std::optional<double> next() const {
    return by_end_.empty() ? std::nullopt : std::optional(std::get<0>(*by_end_.begin()));
  }
  std::size_t count() const { return held_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::uint64_t pushed_out() const { return pushed_out_; }

 private:
  struct Held {
    std::size_t bytes = 0;
    double until = 0;
    std::uint64_t age = 0;
  };
  std::size_t max_count_, max_bytes_, bytes_ = 0;
  std::uint64_t last_ = 0, pushed_out_ = 0;
  std::map<Id, Held> held_;
  std::map<std::uint64_t, Id> by_age_;
  std::set<std::tuple<double, std::uint64_t, Id>> by_end_;
};

}  // namespace keelflow::plugins
