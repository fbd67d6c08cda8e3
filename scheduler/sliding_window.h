/// Amounts by time, some of it to come. Older ones are forgotten as others come.
#pragma once

#include <vector>

namespace keelflow::scheduler {

/// For few amounts: adding and summing go through all of them.
class SlidingWindow {
 public:
  /// What was added for a time before `from` is forgotten.
  void add(double when, double amount, double from) {
    std::erase_if(amounts_, [from](const Amount& a) { return a.when < from; });
    amounts_.push_back({when, amount});
  }

  /// Of what was added for `from` or later.
  double sum(double from) const {
    double all = 0;
    for (const Amount& a : amounts_)
      all += a.when >= from ? a.amount : 0;
    return all;
  }

 private:
  struct Amount {
    double when;
    double amount;
  };
  std::vector<Amount> amounts_;
};

}  // namespace keelflow::scheduler
