/// Requests that plug-ins hold back, limited in number and bytes. A request that does not fit
/// releases the oldest ones immediately. A request that alone exceeds the byte limit is itself
/// released. Performs no I/O and reads no clock: the time is an argument.
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

/// The set of held requests, ordered by age and by the end of the hold.
class Holds {
 public:
  using Id = scheduler::RequestId;
  Holds(std::size_t max_count, std::size_t max_bytes)
      : max_count_(max_count), max_bytes_(max_bytes) {}

  // Returns the requests that must be released now to make room, oldest first. May be the added
  // request itself.
  std::vector<Id> add(Id id, std::size_t bytes, double until_ms) {
    if (max_count_ == 0 || bytes > max_bytes_) {
      ++pushed_out_;
      return {id};
    }
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

  // Removes a request whose client disconnected or that is released.
  bool remove(Id id) {
    auto it = held_.find(id);
    if (it == held_.end())
      return false;
    bytes_ -= it->second.bytes;
    by_age_.erase(it->second.age);
    by_end_.erase({it->second.until, it->second.age, id});
    held_.erase(it);
    return true;
  }

  // Removes and returns the requests whose hold has ended, earliest end first.
  std::vector<Id> due(double now_ms) {
    std::vector<Id> out;
    while (!by_end_.empty() && std::get<0>(*by_end_.begin()) <= now_ms) {
      out.push_back(std::get<2>(*by_end_.begin()));
      remove(out.back());
    }
    return out;
  }

  // Removes and returns all requests, oldest first.
  std::vector<Id> all() {
    std::vector<Id> out;
    for (const auto& [age, id] : by_age_)
      out.push_back(id);
    for (Id id : out)
      remove(id);
    return out;
  }

  // Changes the limits. Removes and returns the requests that no longer fit, oldest first.
  std::vector<Id> set_limits(std::size_t max_count, std::size_t max_bytes) {
    max_count_ = max_count;
    max_bytes_ = max_bytes;
    std::vector<Id> out;
    while (held_.size() > max_count_ || bytes_ > max_bytes_) {
      out.push_back(by_age_.begin()->second);
      remove(out.back());
      ++pushed_out_;
    }
    return out;
  }

  // Returns when the next hold ends.
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
