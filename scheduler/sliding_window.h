/// Sums of timestamped amounts over a sliding window. Timestamps may lie in the future.
#pragma once

#include <vector>

namespace keelflow::scheduler {

/// Suited to few amounts: adding and summing take linear time.
class SlidingWindow {
 public:
  /// Adds an amount at time `when` and drops all amounts earlier than `from`.
  void add(double when, double amount, double from) {
    std::erase_if(amounts_, [from](const Amount& a) { return a.when < from; });
    amounts_.push_back({when, amount});
  }

  /// The sum of the amounts at `from` or later.
  double sum(double from) const {
    double total = 0;
    for (const Amount& a : amounts_)
      total += a.when >= from ? a.amount : 0;
    return total;
  }

 private:
  struct Amount {
    double when;
    double amount;
  };
  std::vector<Amount> amounts_;
};

}  // namespace keelflow::scheduler
