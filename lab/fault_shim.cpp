// Loaded into a node by the lab (LD_PRELOAD): system calls fail for a moment or move one byte as
// Linux documents it, and the wall clock is stepped. The monotonic clock is left alone.
#include "fault_shim.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>

namespace {

using keelflow::lab::ShimControl;

ShimControl* control() {
  static ShimControl* mapped = [] {
    const char* path = std::getenv(keelflow::lab::kShimFile);
    int fd = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
      return static_cast<ShimControl*>(nullptr);
    void* at = ::mmap(nullptr, sizeof(ShimControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<ShimControl*>(at);
  }();
  return mapped;
}

template <typename Function>
Function* real(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

std::uint32_t draw() {  // xorshift, of this process alone
  static std::uint32_t state = static_cast<std::uint32_t>(::getpid()) * 2654435761u | 1;
  state ^= state << 13;
  state ^= state >> 17;
  state ^= state << 5;
  return state;
}

bool happens(std::uint32_t per_million) {
  return per_million > 0 && draw() % 1'000'000 < per_million;
}

// Sets errno to one of these and returns true where a call is to fail now.
template <std::size_t N>
bool fails(const int (&errors)[N]) {
  ShimControl* c = control();
  if (!c || !happens(c->failing_per_million))
    return false;
  ++c->failed;
  errno = errors[draw() % N];
  return true;
}

std::size_t length(std::size_t wanted) {
  ShimControl* c = control();
  if (!c || wanted <= 1 || !happens(c->short_per_million))
    return wanted;
  ++c->shortened;
  return 1;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, struct timespec* time) {
  long result = ::syscall(SYS_clock_gettime, clock, time);
  ShimControl* c = clock == CLOCK_REALTIME ? control() : nullptr;
  if (result != 0 || !c)
    return static_cast<int>(result);
  ++c->clock_reads;
  constexpr std::int64_t kSecond = 1'000'000'000;
  std::int64_t ns = time->tv_sec * kSecond + time->tv_nsec + c->wall_clock_offset_ns;
  time->tv_sec = ns / kSecond;
  time->tv_nsec = ns % kSecond;
  return 0;
}

int accept4(int fd, struct sockaddr* address, socklen_t* size, int flags) {
  if (fails({ECONNABORTED, ENFILE, ENOBUFS, EINTR}))
    return -1;
  static auto* call = real<int(int, struct sockaddr*, socklen_t*, int)>("accept4");
  return call(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  if (domain == AF_INET && fails({ENFILE, ENOBUFS}))
    return -1;
  static auto* call = real<int(int, int, int)>("socket");
  return call(domain, type, protocol);
}

int connect(int fd, const struct sockaddr* address, socklen_t size) {
  if (address->sa_family == AF_INET && fails({EADDRNOTAVAIL, ENETUNREACH}))
    return -1;
  static auto* call = real<int(int, const struct sockaddr*, socklen_t)>("connect");
  return call(fd, address, size);
}

int epoll_wait(int fd, struct epoll_event* events, int most, int timeout) {
  if (fails({EINTR}))
    return -1;
  static auto* call = real<int(int, struct epoll_event*, int, int)>("epoll_wait");
  return call(fd, events, most, timeout);
}

ssize_t recv(int fd, void* buffer, std::size_t size, int flags) {
  static auto* call = real<ssize_t(int, void*, std::size_t, int)>("recv");
  if (flags & MSG_PEEK)
    return call(fd, buffer, size, flags);
  if (fails({EINTR}))
    return -1;
  return call(fd, buffer, length(size), flags);
}

ssize_t send(int fd, const void* buffer, std::size_t size, int flags) {
  if (fails({EINTR}))
    return -1;
  static auto* call = real<ssize_t(int, const void*, std::size_t, int)>("send");
  return call(fd, buffer, length(size), flags);
}

}  // extern "C"
