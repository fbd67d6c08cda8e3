// A host that does not do as it should, in the way that the plug-in's name says. Started by tests
// in place of a host.
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>
#include <string>

#include "plugins/host_main.h"
#include "plugins/wire.h"

namespace {

using namespace keelflow::plugins;

void put(const std::string& packet) {
  if (send(kHostSocket, packet.data(), packet.size(), MSG_NOSIGNAL) < 0)
    _exit(0);
}
void say(const wire::ToNode& message) {
  put(wire::encode(message));
}

void answer(const std::string& way, std::uint64_t call, std::uint64_t& first) {
  wire::Judged good{call, {}};
  if (way == "twice")
    say(good), say(good);
  else if (way == "forged")
    good.call += 1000, say(good);
  else if (way == "malformed")
    put("\x02"
        "abc");
  else if (way == "longer")
    put(wire::encode(wire::ToNode(good)) + "x");
  else if (way == "huge")
    put(std::string(wire::kMostMessage + 1, 'x'));
  else if (way == "nan")
    good.verdict.hold_ms = std::nan(""), say(good);
  else if (way == "ready-again")
    say(wire::Ready{});
  else if (way == "label")
    good.verdict.label = std::string(kMostLabel + 1, 'x'), say(good);
  else if (way == "flood")
    for (;;)
      say(wire::Count{"n", 1});
  else if (way == "leaves")
    _exit(0);
  else if (way == "late" && first == 0)
    first = call;  // answered with the next one
  else if (way == "late")
    say(wire::Judged{first, {}}), say(good), first = 0;
  else
    say(good);
}

}  // namespace

int main() {
  std::string packet(wire::kMostMessage, '\0'), way;
  std::uint64_t first = 0;
  for (ssize_t got; (got = recv(kHostSocket, packet.data(), packet.size(), 0)) > 0;) {
    auto message =
        wire::decode_to_host(std::string_view(packet).substr(0, static_cast<std::size_t>(got)));
    if (!message)
      return 1;
    if (const auto* hello = std::get_if<wire::Hello>(&*message))
      way = hello->name;
    if (std::holds_alternative<wire::Begin>(*message) && way == "early")
      say(wire::Judged{1, {}});
    if (std::holds_alternative<wire::Begin>(*message) && way != "never-ready")
      say(wire::Ready{});
    if (const auto* request = std::get_if<wire::Request>(&*message))
      answer(way, request->call, first);
  }
  return 0;
}
