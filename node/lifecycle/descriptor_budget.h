/// \file
/// Divides the file descriptors of the process among its kinds of connections.
#pragma once

#include <cstddef>

namespace keelflow {

/// Numbers of descriptors for each kind of connection, out of the total for all sockets.
struct DescriptorBudget {
  std::size_t inbound, idle_outbound, operators;
};

/// `sockets`: the platform's limit, or the process's own descriptor limit if that is lower.
DescriptorBudget divide_descriptors(std::size_t sockets);

}  // namespace keelflow
