#include "lifecycle/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace keelflow {

DescriptorBudget divide_descriptors(std::size_t sockets) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < sockets)
    sockets = limit.rlim_cur;
  std::size_t usable = sockets > 64 ? sockets - 48 : sockets / 2;
  // The inbound number may be exceeded by a sixth, and the progress listener gets a further third
  // of it. An outbound connection is busy only until its 202, so few are needed beside idle ones.
  return {usable * 5 / 8, usable / 8, std::clamp(usable / 16, std::size_t{4}, std::size_t{24})};
}

}  // namespace keelflow
