// Who may send how much to a cold endpoint (rule 4): granted, never inferred. Pure.
//
// Each life of an endpoint orders all nodes of the configuration by a hash that all share. The
// first few own fixed parts of what all together may send it within a window; the parts add up to
// the whole whatever anyone believes or hears. An owner may grant another node some of its own part
// for a while. It counts that as sent at the grant's end, which is later by any clock that drifts
// less than kDrift than the end by which the other goes; what the other tells that it has not used,
// and will not use, comes back. A lost word wastes a little of the budget and never exceeds it.
//
// A node that starts has no part in endpoints that started before it, until all that a former life
// of it may have sent or granted is out of the window.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler/dispatcher.h"

namespace keelflow::fleet {

// What goes between nodes: 28 bytes, big-endian: mark fd, version, kind, 0; endpoint (4), its life
// (4), the asker's life (4), number (4), work and least work in ms (4 each). Of another version,
// size or kind it is none.
struct SlowStartMessage {
  enum class Kind : std::uint8_t { ask, grant, back } kind = Kind::ask;
  scheduler::EndpointId endpoint = 0;
  std::uint32_t life = 0;   // of the endpoint
  std::uint32_t asker = 0;  // life of the node that asked
  std::uint32_t number = 0;
  std::uint32_t work = 0,
                least = 0;  // ms: wanted and the least that is of use, granted, or given back
};
std::string encode(const SlowStartMessage& word);
std::optional<SlowStartMessage> decode_slow_start_message(std::string_view bytes);

// The order of all nodes at one life of an endpoint.
std::vector<int> order_at(const scheduler::EndpointEntry& endpoint, int dispatchers);
// The part of the one at that place: all add up to 1.
double share_at(int place, int dispatchers);

constexpr double kDrift = 0.1;  // clocks may run apart by so much

// Beside one Dispatcher: tells it its parts and its grants, and asks and grants for it.
class SlowStartLeases {
 public:
  struct Statistics {
    std::uint64_t asked = 0, got = 0, granted = 0, denied = 0, came_back = 0, late = 0;
    Statistics& operator+=(const Statistics& o);
  };
  struct EndpointLease {  // at one cold endpoint
    scheduler::EndpointEntry entry;
    std::vector<int> order;
    int place = 0;  // of this node
    bool own = false;
    double told_share = -1;
    std::uint32_t number = 0;  // of what was asked last, at `owner`
    int owner = -1;
    scheduler::Time asked = -1e18, until = 0;  // until: of the grant held
    bool waiting = false;
    struct Given {
      std::uint32_t asker = 0,
                    number = 0;  // the last one granted; numbers of an asker's life only rise
      double work = 0;
      scheduler::Time until = 0;
      bool back = true;
    };
    std::map<int, Given> given;  // by node: one at a time
  };

  // `started`: when this node did, on the Dispatcher's clock.
  SlowStartLeases(const scheduler::Settings& settings, scheduler::Time started);
  // For each event that the Dispatcher was given, right after it. `told`: what it is to be told
  // then.
  void after(scheduler::Time now, const scheduler::Event& event,
             const scheduler::Dispatcher& dispatcher, std::vector<scheduler::Event>& told,
             scheduler::Actions& out);

  void grants(bool on) { grants_ = on; }  // off: it asks for nothing and grants nothing from now on

  const std::map<scheduler::EndpointId, EndpointLease>& turns() const { return turns_; }
  const Statistics& figures() const { return figures_; }
  double length() const { return length_; }  // of a grant, ms

 private:
  bool take(const scheduler::EndpointList& list);
  void begin(const scheduler::EndpointEntry& entry);
  void order();
  double share(const EndpointLease& turn) const;
  bool waits(const EndpointLease& turn) const;
  void tell_shares(std::vector<scheduler::Event>& told);
  void age(const scheduler::Dispatcher& dispatcher, std::vector<scheduler::Event>& told,
           scheduler::Actions& out);
  void hear(const scheduler::PeerMessage& message, const scheduler::Dispatcher& dispatcher,
            std::vector<scheduler::Event>& told, scheduler::Actions& out);
  void grant(int asker, const SlowStartMessage& word, EndpointLease& turn,
             const scheduler::Dispatcher& dispatcher, std::vector<scheduler::Event>& told,
             scheduler::Actions& out);
  void ask(EndpointLease& turn, const scheduler::SlowStartBudget& room, scheduler::Actions& out);
  void ask_all(const scheduler::Dispatcher& dispatcher, std::vector<scheduler::Event>& told,
               scheduler::Actions& out);
  void give_back(EndpointLease& turn, double left, std::vector<scheduler::Event>& told,
                 scheduler::Actions& out);
  int next_owner(const EndpointLease& turn) const;
  bool grants() const { return grants_ && peers_ && dispatchers_ > 1 && !twin_; }

  int dispatchers_, self_;
  bool peers_, twin_ = false, grants_ = true;
  scheduler::Time now_ = 0, started_, next_ = 0;
  double cold_ms_, window_, length_;
  std::uint32_t life_, number_ = 0;
  std::map<scheduler::EndpointId, scheduler::EndpointEntry> endpoints_;
  std::map<scheduler::EndpointId, EndpointLease> turns_;
  std::vector<bool> lives_;
  std::vector<scheduler::Time> silent_;  // by node: it did not answer; it is asked last until then
  Statistics figures_;
};

}  // namespace keelflow::fleet
