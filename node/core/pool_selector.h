/// Splits requests over pools.
#pragma once

#include <cstdint>

#include "core/job.h"
#include "core/time.h"

namespace keelflow {

/// How a request ended, as its client saw it.
enum class RequestOutcome : std::uint8_t { served, rejected, failed, client_disconnected };

/// Chooses the pool of each request. Each pool has a Dispatcher of its own; without a selector all
/// is one pool.
class PoolSelector {
 public:
  virtual ~PoolSelector() = default;
  /// The number of a pool that the Engine has.
  virtual int choose(const Job& job) = 0;
  /// How a request ended that had been given to that pool; `admitted`: when it was admitted there.
  virtual void on_request_ended(const Job& job, int pool, TimePoint admitted,
                                RequestOutcome outcome) = 0;
};

}  // namespace keelflow
