#include "handover/handover_message.h"

#include <cstdio>
#include <utility>

namespace keelflow {
namespace {

using nlohmann::json;

constexpr const char* kKindKey = "say";
constexpr const char* kVersionKey = "version";
constexpr const char* kNodeKey = "node";
constexpr const char* kHostKey = "host";
constexpr const char* kIsOutKey = "out";
constexpr const char* kLoadUpdateKey = "note";
constexpr const char* kBodyKey = "body";

constexpr const char* kHello = "hello";
constexpr const char* kWelcome = "welcome";
constexpr const char* kReady = "ready";
constexpr const char* kAdminOverride = "by-hand";
constexpr const char* kLoadUpdate = "note";
constexpr const char* kStatusCallback = "news";

std::string to_hex(std::string_view bytes) {
  std::string out;
  for (unsigned char c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", c);
    out += digits;
  }
  return out;
}

std::string from_hex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  return out;
}

std::string text_at(const json& message, const char* key) {
  return message.at(key).get<std::string>();
}

/// Encodes a message as JSON, with one overload for each kind.
struct ToJson {
  json operator()(const HelloMessage& m) const {
    return {{kKindKey, kHello}, {kVersionKey, m.version}, {kNodeKey, m.node}};
  }
  json operator()(const WelcomeMessage& m) const {
    json out = m.state;
    out.update({{kKindKey, kWelcome}, {kVersionKey, m.version}, {kNodeKey, m.node}});
    return out;
  }
  json operator()(const ReadyMessage&) const { return {{kKindKey, kReady}}; }
  json operator()(const AdminOverrideMessage& m) const {
    return {{kKindKey, kAdminOverride}, {kHostKey, m.host}, {kIsOutKey, m.is_out}};
  }
  json operator()(const LoadUpdateMessage& m) const {
    return {{kKindKey, kLoadUpdate}, {kLoadUpdateKey, to_hex(m.bytes)}};
  }
  json operator()(const StatusCallbackMessage& m) const {
    return {{kKindKey, kStatusCallback}, {kBodyKey, m.body}};
  }
};

}  // namespace

std::string encode(const HandoverMessage& message) {
  json out = std::visit(ToJson{}, message);
  return out.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::optional<HandoverMessage> decode_handover_message(std::string_view line) {
  json message = json::parse(line);
  std::string kind = text_at(message, kKindKey);
  if (kind == kHello)
    return HelloMessage{message.at(kVersionKey).get<int>(), text_at(message, kNodeKey)};
  if (kind == kWelcome) {
    int version = message.at(kVersionKey).get<int>();
    std::string node = text_at(message, kNodeKey);
    return WelcomeMessage{version, std::move(node), std::move(message)};
  }
  if (kind == kReady)
    return ReadyMessage{};
  if (kind == kAdminOverride)
    return AdminOverrideMessage{text_at(message, kHostKey), message.at(kIsOutKey).get<bool>()};
  if (kind == kLoadUpdate)
    return LoadUpdateMessage{from_hex(text_at(message, kLoadUpdateKey))};
  if (kind == kStatusCallback)
    return StatusCallbackMessage{text_at(message, kBodyKey)};
  return std::nullopt;
}

}  // namespace keelflow
