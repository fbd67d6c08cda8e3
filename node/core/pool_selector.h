/// The interface that assigns requests to pools.
#pragma once

#include <cstdint>

#include "core/job.h"
#include "core/time.h"

namespace keelflow {

/// The outcome of a request from its client's point of view.
enum class RequestOutcome : std::uint8_t { served, rejected, failed, client_disconnected };

/// Chooses the pool of each request. Each pool has its own Dispatcher. Without a selector there is
/// a single pool.
class PoolSelector {
 public:
  virtual ~PoolSelector() = default;
  /// Returns the number of one of the Engine's pools.
  virtual int choose(const Job& job) = 0;
  /// Reports the outcome of a request that was assigned to `pool`. `admitted` is the time when it
  /// was admitted there.
  virtual void on_request_ended(const Job& job, int pool, TimePoint admitted,
                                RequestOutcome outcome) = 0;
};

}  // namespace keelflow
