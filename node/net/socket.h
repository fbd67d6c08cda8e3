// Sockets that a process needs to start with.
#pragma once

#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <thread>

namespace keelflow::net {

// The kernel may be short of sockets for a moment, and a process does not end for that when it
// starts: a few more tries follow, a tenth of a second at most. Negative: it stayed so, or another
// fault (errno).
inline int open_socket(int family, int type) {
  constexpr int kTries = 20;
  constexpr std::chrono::milliseconds kPause(5);
  for (int tries = 1;; ++tries) {
    int fd = ::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool passing = errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (fd >= 0 || !passing || tries == kTries)
      return fd;
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace keelflow::net
