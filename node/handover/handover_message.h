/// \file
/// The messages between two processes of one node during an upgrade, and their codec: each message
/// is one line of JSON. docs/design/handover.md lists every key; the keys must not change, because
/// each release exchanges them with the previous one.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace keelflow {

/// The new process's first message, to the old one.
struct HelloMessage {
  int version = 0;
  std::string node;  ///< its name; both must serve the same
};

/// The old process's answer.
struct WelcomeMessage {
  int version = 0;
  std::string node;
  /// The state for the new process: an object whose keys the sender defines.
  nlohmann::json state;
};

/// The new process accepts clients.
struct ReadyMessage {};

/// An operator took a host out of service at the other process, or put it back.
struct AdminOverrideMessage {
  std::string host;
  bool is_out = false;
};

/// The load of shared endpoints as the other process sees it, encoded by the scheduler.
struct LoadUpdateMessage {
  std::string bytes;
};

/// A status callback from an endpoint. It arrived at a process that had not sent the attempt.
struct StatusCallbackMessage {
  std::string body;
};

/// Any message between the two processes.
using HandoverMessage =
    std::variant<HelloMessage, WelcomeMessage, ReadyMessage, AdminOverrideMessage,
                 LoadUpdateMessage, StatusCallbackMessage>;

/// The message as a line, with its line end. Bytes in text that are not valid UTF-8 are replaced.
std::string encode(const HandoverMessage& message);

/// Decodes a line without its line end. Empty: this release does not know the kind of message,
/// which is to be ignored. Throws std::exception (nlohmann-json's, or std::invalid_argument) on
/// malformed input.
std::optional<HandoverMessage> decode_handover_message(std::string_view line);

}  // namespace keelflow
