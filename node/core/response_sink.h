/// The client's side of one request.
#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace keelflow {

/// A report that an attempt runs, and how far it has come.
struct Progress {
  enum class Kind : std::uint8_t { started, running } kind = Kind::started;
  double share = 0;  ///< Fraction done, of `running`.
  int attempt = 0;
};

/// How a request ended.
struct FinalAnswer {
  enum class Kind : std::uint8_t { served, refused, failed } kind = Kind::failed;
  std::string result = {};    ///< Of `served`.
  Duration retry_after = {};  ///< Of `refused`; zero: no guidance.
  bool timed_out = false;     ///< Of `failed`.
};

/// Receives what becomes of one request. `on_final` comes exactly once, unless the client has
/// disconnected before.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void on_progress(const Progress&) {}
  /// A label that a plug-in gave the request; it comes before any other call.
  virtual void on_label(const std::string&) {}
  virtual void on_final(FinalAnswer answer) = 0;
};

}  // namespace keelflow
