/// \file
/// Reads the signals of the process from a descriptor.
#pragma once

#include <csignal>
#include <cstdint>
#include <functional>

#include "net/event_loop.h"

namespace keelflow {

/// The signals that the node reads: SIGTERM, SIGINT, SIGHUP, SIGUSR1.
sigset_t handled_signals();

/// Calls back on the event loop for each signal. The signals must be blocked (block_signals)
/// before.
class SignalReader final : public net::EventLoop::Handler {
 public:
  /// The action for each signal.
  struct Callbacks {
    std::function<void()> on_terminate;           ///< SIGTERM, SIGINT.
    std::function<void()> on_reload;              ///< SIGHUP.
    std::function<void()> on_counters_requested;  ///< SIGUSR1: logs the counters.
  };
  SignalReader(net::EventLoop& loop, Callbacks callbacks)
      : loop_(loop), callbacks_(std::move(callbacks)) {}
  ~SignalReader() override;
  SignalReader(const SignalReader&) = delete;
  SignalReader& operator=(const SignalReader&) = delete;

  /// Begins to read signals. Throws std::runtime_error.
  void open();

 private:
  void on_ready(std::uint32_t events) override;  // the descriptor has signals to read

  net::EventLoop& loop_;
  Callbacks callbacks_;
  int fd_ = -1;
};

}  // namespace keelflow
