// What dispatchers tell one another of a endpoint that they share, and what each keeps of it.
// Nothing here decides.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduler/containers.h"
#include "scheduler/dispatcher.h"

namespace keelflow::scheduler {

enum class LoadSignal : std::uint8_t { none, sent, served, full, late, unreached, failed };

// A note is 8 bytes, big-endian: endpoint (4), a mark of the endpoint's life (1), own slots in
// flight there (1, at most 255), sign (1), and with `served` the relative slowness x 32 of the run
// that ended, with `sent` the work that went out in units of 64 ms, rounded up (1). Messages are
// priced by size.
struct LoadUpdate {
  EndpointId endpoint = 0;
  std::uint8_t life = 0;  // notes on a former life of a endpoint tell nothing of the present one
  double load = 0;
  LoadSignal sign = LoadSignal::none;
  double service_time_ratio = 1;
  double work = 0;  // ms
};
constexpr double kWorkUnit = 64;
constexpr std::size_t kNoteSize = 8;

inline std::string encode(const LoadUpdate& n) {
  auto byte = [](double v) {
    return static_cast<char>(static_cast<std::uint8_t>(std::clamp(std::round(v), 0.0, 255.0)));
  };
  std::string out;
  for (int shift : {24, 16, 8, 0})
    out += static_cast<char>(n.endpoint >> shift & 0xff);
  return out + static_cast<char>(n.life) + byte(std::ceil(n.load)) + static_cast<char>(n.sign) +
         byte(n.sign == LoadSignal::sent ? std::ceil(n.work / kWorkUnit)
                                         : n.service_time_ratio * 32);
}

// Empty: not such a note. Peers of another release may say other things.
inline std::optional<LoadUpdate> decode_load_update(std::string_view bytes) {
  if (bytes.size() != kNoteSize)
    return std::nullopt;
  auto byte = [&](std::size_t i) {
    return static_cast<std::uint8_t>(bytes[i]);
  };
  if (byte(6) > static_cast<std::uint8_t>(LoadSignal::failed))
    return std::nullopt;
  LoadUpdate n;
  for (std::size_t i = 0; i < 4; ++i)
    n.endpoint = n.endpoint << 8 | byte(i);
  n.life = byte(4);
  n.load = byte(5);
  n.sign = static_cast<LoadSignal>(byte(6));
  if (n.sign == LoadSignal::served)
    n.service_time_ratio = byte(7) / 32.0;
  if (n.sign == LoadSignal::sent)
    n.work = byte(7) * kWorkUnit;
  return n;
}

// The slots that others hold at one endpoint, by what each told last. A peer that has died tells no
// more, and a note may be lost: what is not told anew counts for a while only.
class Told {
 public:
  void set(int peer, double load, Time until) {
    std::erase_if(held_, [&](const Held& h) { return h.peer == peer; });
    if (load > 0)
      held_.push_back({peer, load, until});
  }
  double sum(Time now) const {
    double all = 0;
    for (const Held& h : held_)
      all += h.until > now ? h.load : 0;
    return all;
  }

 private:
  struct Held {
    int peer;
    double load;
    Time until;
  };
  std::vector<Held> held_;
};

// A number for one life of a endpoint, the same at every dispatcher.
inline std::uint64_t incarnation_of(const EndpointEntry& e) {
  return mix(e.endpoint ^ mix(static_cast<std::uint64_t>(std::max(0.0, e.started_at) * 1000)));
}

inline std::uint8_t incarnation_tag(const EndpointEntry& e) {
  return static_cast<std::uint8_t>(incarnation_of(e));
}

}  // namespace keelflow::scheduler
