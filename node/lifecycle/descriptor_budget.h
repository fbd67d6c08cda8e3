/// How the descriptors of the process are divided.
#pragma once

#include <cstddef>

namespace keelflow {

/// Numbers of descriptors, out of those that all sockets of the process share.
struct DescriptorBudget {
  std::size_t inbound, idle_outbound, operators;
};

/// `sockets`: as many as the platform allows; fewer if the process may open fewer.
DescriptorBudget divide_descriptors(std::size_t sockets);

}  // namespace keelflow
