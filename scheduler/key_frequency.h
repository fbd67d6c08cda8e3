/// Tracks how often each key has occurred recently.
#pragma once

#include <cstdint>
#include <map>

namespace keelflow::scheduler {

/// Counts of keys, halved each time the total reaches a limit so that old traffic decays.
class KeyFrequency {
 public:
  void count(std::uint64_t key) {
    ++counts_[key];
    if (++total_ >= kHalvingInterval)
      halve();
  }

  /// The fraction of the counted traffic that has this key.
  double fraction(std::uint64_t key) const {
    auto count = counts_.find(key);
    return count == counts_.end() ? 0 : count->second / total_;
  }

 private:
  static constexpr double kHalvingInterval = 4096;  // total count at which all counts are halved
  static constexpr double kMinRetainedCount = 0.3;  // keys with lower counts are dropped

  void halve() {
    total_ = 0;
    for (auto& [key, count] : counts_) {
      count /= 2;
      total_ += count;
    }
    std::erase_if(counts_, [](const auto& entry) { return entry.second < kMinRetainedCount; });
  }

  std::map<std::uint64_t, double> counts_;  // not integers, since halving leaves fractions
  double total_ = 0;
};

}  // namespace keelflow::scheduler
