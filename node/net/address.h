// IPv4 socket addresses, written "10.0.0.4:3000". There is no DNS on the platform.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace keelflow::net {

struct Address {
  sockaddr_in in{};
  bool operator==(const Address& o) const {
    return in.sin_addr.s_addr == o.in.sin_addr.s_addr && in.sin_port == o.in.sin_port;
  }
  std::string text() const {
    char host[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &in.sin_addr, host, sizeof host);
    return std::string(host) + ":" + std::to_string(ntohs(in.sin_port));
  }
};

inline std::optional<Address> parse_address(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string host(text.substr(0, colon));
  std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  Address address;
  address.in.sin_family = AF_INET;
  address.in.sin_port = htons(port);
  if (error != std::errc() || end != digits.data() + digits.size())
    return std::nullopt;
  if (inet_pton(AF_INET, host.c_str(), &address.in.sin_addr) != 1)
    return std::nullopt;
  return address;
}

}  // namespace keelflow::net
