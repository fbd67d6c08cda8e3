/// What the end of the node's own connection proves about an attempt. The endpoint runs a request
/// independently of that connection once it has accepted it, so the connection's end ends the
/// attempt only where the endpoint has shown nothing of it. An event stream is the exception: its
/// connection carries the job, and the endpoint stops the job when that connection ends. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace keelflow::attempt_evidence {

/// What is known of an attempt whose connection has ended.
enum class Conclusion : std::uint8_t {
  never_ran,       ///< The endpoint did not receive the complete request.
  ended,           ///< It may have run, and the endpoint does not run it any more: the connection
                   ///< ended before any response, the response is not an acceptance, or the
                   ///< connection carried the job's event stream.
  may_be_running,  ///< The endpoint may have accepted it: it has to be cancelled by name before
                   ///< another attempt may follow.
  accepted,        ///< The endpoint has accepted it and reports its end by a status callback.
};

/// What was seen of the attempt.
struct Evidence {
  bool is_fully_written = false;     ///< The last byte was handed to the kernel.
  bool is_streaming = false;         ///< The response is an event stream of the running job.
  bool has_status_callback = false;  ///< A callback reported that it started or runs.
  bool may_be_acceptance = false;    ///< See `may_be_acceptance`, of a response without a head.
  int response_status = 0;           ///< From a complete and valid head; otherwise 0.
};

constexpr int kAcceptedStatus = 202;

/// Returns whether a response may be an acceptance that begins with these bytes and whose head is
/// malformed or has not arrived. False if there are none.
constexpr bool may_be_acceptance(std::string_view response_start) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::string_view kStatus = " 202";
  constexpr std::size_t kStatusAt = kVersion.size() + 1;  // after the minor version
  std::string_view version = response_start.substr(0, kVersion.size());
  if (version.empty() || version != kVersion.substr(0, version.size()))
    return false;
  if (response_start.size() <= kStatusAt)
    return true;
  std::string_view status = response_start.substr(kStatusAt, kStatus.size());
  return status == kStatus.substr(0, status.size());
}

/// Returns what the end of the connection proves.
constexpr Conclusion conclude(const Evidence& evidence) {
  if (!evidence.is_fully_written)
    return Conclusion::never_ran;
  if (evidence.is_streaming)
    return Conclusion::ended;
  if (evidence.response_status == kAcceptedStatus)
    return Conclusion::accepted;
  if (evidence.has_status_callback)
    return Conclusion::may_be_running;
  bool is_unclear = evidence.response_status == 0 && evidence.may_be_acceptance;
  return is_unclear ? Conclusion::may_be_running : Conclusion::ended;
}

}  // namespace keelflow::attempt_evidence
