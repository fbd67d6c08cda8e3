/// The interface through which the core answers the client of one request.
#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace keelflow {

/// A progress report of a running attempt.
struct Progress {
  enum class Kind : std::uint8_t { started, running } kind = Kind::started;
  double share = 0;  ///< Completed fraction; set for `running`.
  int attempt = 0;
};

/// The final answer to a request.
struct FinalAnswer {
  enum class Kind : std::uint8_t { served, refused, failed } kind = Kind::failed;
  std::string result = {};    ///< Set for `served`.
  Duration retry_after = {};  ///< Set for `refused`; zero if no retry time is given.
  bool timed_out = false;     ///< Set for `failed`.
};

/// Receives the progress and the final answer of one request. `on_final` is called exactly once,
/// unless the client disconnects first.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void on_progress(const Progress&) {}
  /// Passes the label that a plug-in gave the request. Called before any other function.
  virtual void on_label(const std::string&) {}
  virtual void on_final(FinalAnswer answer) = 0;
};

}  // namespace keelflow
