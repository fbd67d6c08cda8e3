#include "lifecycle/signal_reader.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <stdexcept>

namespace keelflow {

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
    sigaddset(&set, number);
  return set;
}

SignalReader::~SignalReader() {
  if (fd_ >= 0)
    ::close(fd_);
}

void SignalReader::open() {
  sigset_t set = handled_signals();
  fd_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd_ < 0 || loop_.watch(fd_, *this) == 0)
    throw std::runtime_error("signalfd failed");
}

void SignalReader::on_ready(std::uint32_t) {
  for (signalfd_siginfo info; ::read(fd_, &info, sizeof info) == sizeof info;) {
    if (info.ssi_signo == SIGUSR1)
      callbacks_.on_counters_requested();
    else if (info.ssi_signo == SIGHUP)
      callbacks_.on_reload();
    else
      callbacks_.on_terminate();
  }
}

}  // namespace keelflow
