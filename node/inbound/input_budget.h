/// \file
/// Limits the memory that all connections of a listener together hold for input that no request has
/// come of yet.
#pragma once

#include <cstddef>

namespace keelflow {

/// Adds up what the connections hold, in bytes of memory and not as received. Each connection
/// reports its own changes.
class InputBudget {
 public:
  /// `limit` bytes may be held.
  explicit InputBudget(std::size_t limit) : limit_(limit) {}

  void change(std::size_t held_before, std::size_t held_now) {
    held_ = held_ - held_before + held_now;
  }
  bool is_exceeded() const { return held_ > limit_; }
  /// Whether connections may read far ahead. Half of the budget is kept for requests that arrive,
  /// so that clients that send much ahead do not have others rejected.
  bool allows_read_ahead() const { return held_ <= limit_ / 2; }
  std::size_t held() const { return held_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
};

}  // namespace keelflow
