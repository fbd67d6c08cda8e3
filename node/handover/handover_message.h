/// The messages between two processes of one node during an upgrade, and their codec: a line of
/// JSON each. docs/design/handover.md has every key; they stay as they are, as a release and the
/// one before it exchange them.
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
  nlohmann::json
      state;  ///< what the new process is to know: an object, whose keys are its writer's
};

/// The new process accepts clients.
struct ReadyMessage {};

/// An operator took a host out of service at the other process, or put it back.
struct AdminOverrideMessage {
  std::string host;
  bool is_out = false;
};

/// The load of shared endpoints as the other process sees it: bytes of the scheduler.
struct LoadUpdateMessage {
  std::string bytes;
};

/// A status callback of an endpoint that reached a process which did not send the attempt.
struct StatusCallbackMessage {
  std::string body;
};

using HandoverMessage =
    std::variant<HelloMessage, WelcomeMessage, ReadyMessage, AdminOverrideMessage,
                 LoadUpdateMessage, StatusCallbackMessage>;

/// The line, with its end. Bytes that are no UTF-8 are replaced in text.
std::string encode(const HandoverMessage& message);

/// Of a line without its end. Empty: a kind that this release does not know, to be ignored. Throws
/// std::exception (nlohmann-json's, or std::invalid_argument) on what is malformed.
std::optional<HandoverMessage> decode_handover_message(std::string_view line);

}  // namespace keelflow
