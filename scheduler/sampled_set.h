/// A set of small integers for random sampling, with constant-time insertion, removal and access by
/// position.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace keelflow::scheduler {

/// The position of each item depends only on the order of the calls.
class SampledSet {
 public:
  void set(std::uint32_t item, bool is_in) {
    if (is_in == has(item))
      return;
    if (is_in) {
      insert(item);
    } else {
      remove(item);
    }
  }

  std::size_t size() const { return items_.size(); }
  std::uint32_t operator[](std::size_t position) const { return items_[position]; }
  bool has(std::uint32_t item) const {
    return item < positions_.size() && positions_[item] != kAbsent;
  }

 private:
  static constexpr std::uint32_t kAbsent = ~std::uint32_t{0};

  void insert(std::uint32_t item) {
    if (item >= positions_.size())
      positions_.resize(item + std::size_t{1}, kAbsent);
    positions_[item] = static_cast<std::uint32_t>(items_.size());
    items_.push_back(item);
  }

  // Moves the last item to the position of the removed one.
  void remove(std::uint32_t item) {
    std::uint32_t hole = positions_[item];
    items_[hole] = items_.back();
    positions_[items_[hole]] = hole;
    positions_[item] = kAbsent;
    items_.pop_back();
  }

  std::vector<std::uint32_t> items_;
  std::vector<std::uint32_t> positions_;  // by item
};

}  // namespace keelflow::scheduler
