// The network between the stand-ins and the nodes. Each link from one place to another goes through
// a relay of the lab, which delays, loses, cuts and resets as an experiment says: faults are
// between processes, never inside them.
//
// A link that is cut is silent, as a network's is: what is open stays open and nothing passes, what
// is on its way waits, and new connections never come up. A place that is down refuses them. Of a
// handshake only its failing is modelled: where it succeeds it takes no delay. Loss costs a stream
// a retransmission, a datagram its life.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "net/connection.h"

namespace keelflow::lab {

class Network {
 public:
  using Place = std::size_t;
  struct Link {                    // one way
    Duration delay{}, jitter{};    // jitter: up to so much more, drawn for each piece; it puts
                                   // datagrams out of order
    double loss = 0, doubled = 0;  // share of pieces
    bool cut = false;
  };

  Network(net::EventLoop& loop, std::uint64_t seed);
  ~Network();

  // Before any relay. `name`: n0, a box's host, discovery, clients; those without a zone are in
  // none.
  Place add(const std::string& name, const std::string& zone, const std::string& region,
            bool box = false);
  // Where `from` connects to reach `target`, which is at `to`.
  net::Address stream(Place from, Place to, const net::Address& target);
  // Where `from` sends datagrams to reach `to`, which knows `from` by the address that the other
  // direction has; where the two receive them themselves. Both directions are made.
  net::Address datagrams(Place from, Place to, const net::Address& from_at,
                         const net::Address& to_at);

  // A word of an experiment, as docs/operators/lab.md has them. Empty: no such place.
  std::vector<Place> places(const std::string& word) const;
  // For each link from one of `from` to one of `to`; where one of the two holds the other, only to
  // what is outside it.
  void change(const std::string& from, const std::string& to,
              const std::function<void(Link&)>& how);
  // Cuts, loss and doubling end; delays are the geography's and stay until another is set.
  void heal(const std::string& from, const std::string& to);
  void heal_all();
  void reset(const std::string& from,
             const std::string& to);  // open connections, those opened by `from`
  void down(Place place, bool is);    // its processes are gone: connections are refused

  const Link& link(Place from, Place to) const { return links_[from * names_.size() + to]; }
  bool hears(Place place, Place other) const { return !link(other, place).cut; }
  const std::string& zone(Place place) const { return names_[place].zone; }
  std::uint64_t datagram_bytes() const { return datagram_bytes_; }

 private:
  struct Name {
    std::string name, zone, region;
    bool box = false, down = false;
  };
  class Stream;  // a listening relay and the connections through it
  class Mail;    // the socket through which one place's datagrams to another go
  Link& link_of(Place from, Place to) { return links_[from * names_.size() + to]; }
  void each(const std::string& from, const std::string& to,
            const std::function<void(Place, Place)>& what) const;
  // When a piece that sets out now arrives. `stream`: a lost piece is sent again and comes later.
  TimePoint due(const Link& link, bool stream);
  double draw();
  void changed();

  net::EventLoop& loop_;
  pcg32 random_;
  std::vector<Name> names_;
  std::vector<Link> links_;  // by from, then to
  std::vector<std::unique_ptr<Stream>> streams_;
  std::map<std::pair<Place, Place>, std::unique_ptr<Mail>> mail_;
  std::uint64_t datagram_bytes_ = 0;
};

}  // namespace keelflow::lab
