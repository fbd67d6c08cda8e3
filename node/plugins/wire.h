// What a node and the host of a plug-in say to each other: one message a packet of a SOCK_SEQPACKET
// pair, so that a message is whole or not there. Numbers are little-endian, a text is its length
// (u32) and its bytes. Both ends are one program, so there are no versions; but the node believes
// nothing: `decode` checks every length, kind and number.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "plugins/manifest.h"
#include "plugins/verdict.h"

namespace keelflow::plugins::wire {

inline constexpr std::size_t kMostMessage = 96 * 1024,
                             kMostAnswer = 4096;  // to the host, to the node
inline constexpr std::size_t kMostKey = 64, kMostKept = 1024, kMostName = 40, kMostLine = 500,
                             kMostText = 1024;
inline constexpr int kMostChanges = 16;  // of its table, in one call

// ---- to the host ----

struct Hello {  // first of all
  std::string name, source;
  std::uint8_t entries = 0, nice = 0;
  double time_ms = 2;
  std::uint64_t memory = 0;
  Values values;
};
struct Kept {  // of the table that outlasts a reload; an empty value: gone. Both ways
  std::string key, value;
  double until = 0;  // Unix seconds; zero: for ever
};
struct Begin {     // the table is complete: load the source, test it, say Ready or Broken
  double now = 0;  // Unix seconds, here and below
};
struct Request {
  std::uint64_t call = 0;
  double now = 0, remaining_timeout_ms = 0, hint_ms = 0;
  bool repeat = false;
  std::string id, class_index, tenant, path, object;
};
struct Event {  // of progress
  std::uint64_t call = 0;
  double now = 0, share = 0;
  bool started = false;
  int attempt = 1;
  std::string request, class_index, tenant, label;
};
struct Answer {  // how a request ended; nothing is answered to it
  double now = 0, elapsed_ms = 0;
  std::string id, class_index, tenant, how;  // served, refused, failed, gone
};
struct Tick {
  double now = 0;
};
struct Leave {};  // say what is still to be said, and end
using ToHost = std::variant<Hello, Kept, Begin, Request, Event, Answer, Tick, Leave>;

// ---- to the node ----

struct Ready {};
struct Broken {  // it did not load, or failed its own test
  std::string why;
};
struct Judged {
  std::uint64_t call = 0;
  Verdict verdict;
};
struct Shaped {
  std::uint64_t call = 0;
  Shape shape;
};
struct Faulted {  // `call` zero: of a call that wants no answer
  std::uint64_t call = 0;
  std::string why;
};
struct Count {
  std::string name;
  double by = 1;
};
struct Line {
  std::string text;
  std::uint32_t dropped = 0;  // lines before it that went over the host's own rate
};
using ToNode = std::variant<Ready, Broken, Judged, Shaped, Faulted, Kept, Count, Line>;

Hello hello(const Package& package, std::uint8_t nice);

std::string encode(const ToHost& message);
std::string encode(const ToNode& message);
std::optional<ToHost> decode_to_host(std::string_view packet);  // nothing: malformed
std::optional<ToNode> decode_to_node(std::string_view packet);

}  // namespace keelflow::plugins::wire
