/// Splits requests over pools.
#pragma once

#include <cstdint>

#include "core/job.h"
#include "core/time.h"

namespace keelflow {

/// Chooses the pool of each request. Each pool has a Dispatcher of its own; without a selector all
/// is one pool.
class PoolSelector {
 public:
  enum class End : std::uint8_t { served, refused, failed, gone };
  virtual ~PoolSelector() = default;
  /// The number of a pool that the Engine has.
  virtual int choose(const Job& job) = 0;
  /// How a request ended that had been given to that pool; `taken`: when it was admitted there.
  virtual void ended(const Job& job, int pool, TimePoint taken, End how) = 0;
};

}  // namespace keelflow
