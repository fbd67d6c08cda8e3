// The host: a process of one plug-in, started by a node with one end of a packet socket, alive as
// long as that is.
#pragma once

namespace keelflow::plugins {

inline constexpr int kHostSocket = 3;
inline constexpr const char* kHostCommand = "plugin-host";

// Serves the node at the other end of `fd` until that closes it; the exit code.
int host_main(int fd);

}  // namespace keelflow::plugins
