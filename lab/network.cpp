#include "network.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <random>
#include <stdexcept>
#include <unordered_map>

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
constexpr Duration kSentAgain = 200ms;       // least retransmission timeout of common stacks
constexpr std::size_t kWindow = 256 * 1024;  // bytes of one stream on their way at once
constexpr std::size_t kMostOnWay = 4096;     // datagrams of one direction on their way at once
constexpr std::size_t kMostDatagram = 2048;

net::Address loopback() {
  net::Address any;
  any.in.sin_family = AF_INET;
  any.in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return any;
}

int bound(int type, net::Address& address) {
  int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), on = 1;
  if (fd < 0)
    throw std::runtime_error("the lab's network has no descriptors left");
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t size = sizeof address.in;
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address.in), size) != 0)
    throw std::runtime_error("the lab's network lost the address " + address.text());
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address.in), &size);
  return fd;
}

}  // namespace

class Network::Stream final : net::EventLoop::Handler {
 public:
  Stream(Network& owner, Place from, Place to, net::Address target)
      : owner_(owner), from_(from), to_(to), target_(target), address_(loopback()) {
    fd_ = bound(SOCK_STREAM, address_);
    obey();
  }
  ~Stream() override { quit(); }

  const net::Address& address() const { return address_; }
  Place from() const { return from_; }
  Place to() const { return to_; }

  // The listening side becomes what the link and the place at its end are now.
  void obey() {
    bool silent = owner_.link(from_, to_).cut || owner_.link(to_, from_).cut;
    Mode wanted = silent ? Mode::silent : owner_.names_[to_].down ? Mode::refusing : Mode::open;
    if (wanted != mode_)
      become(wanted);
    for (auto& [pair, held] : pairs_)
      pair->flow();
  }
  void reset() {
    for (auto& [pair, held] : pairs_)
      pair->reset();
  }

 private:
  enum class Mode : std::uint8_t { none, open, silent, refusing };

  // Two connections, and what is on its way between them.
  class Pair final {
   public:
    Pair(Stream& stream)
        : stream_(stream),
          near_(*this, stream.from_, stream.to_),
          far_(*this, stream.to_, stream.from_) {}
    bool begin(int fd) {
      return near_.connection.adopt(fd) && far_.connection.connect(stream_.target_);
    }
    void flow() {
      near_.flow(far_);
      far_.flow(near_);
    }
    void reset() {
      near_.connection.reset();
      far_.connection.reset();
      over();
    }

   private:
    struct End final : net::Connection::Events {
      End(Pair& owner, Place here, Place there)
          : pair(owner),
            connection(owner.stream_.owner_.loop_, *this),
            here_(here),
            there_(there) {}
      ~End() override { pair.stream_.owner_.loop_.cancel(timer); }
      void on_connected() override { pair.flow(); }
      void on_data(std::string_view bytes) override {
        on_way.emplace_back(due(), std::string(bytes));
        size += bytes.size();
        if (size > kWindow)
          paused = true, connection.pause_reading(true);
        flow(pair.other(*this));
      }
      void on_closed(int error) override {
        ended = true;
        broken = error != 0;
        end_due = due();
        flow(pair.other(*this));
      }
      // A piece never overtakes the one before it.
      TimePoint due() {
        Network& net = pair.stream_.owner_;
        return last = std::max(last, net.due(net.link(here_, there_), true));
      }
      // What has arrived goes to the other end; the rest, and the end of it, waits.
      void flow(End& to) {
        TimePoint now = pair.stream_.owner_.loop_.now();
        for (; passes() && !on_way.empty() && on_way.front().first <= now; on_way.pop_front()) {
          size -= on_way.front().second.size();
          to.connection.write(on_way.front().second);
        }
        if (paused && size <= kWindow / 2 && connection.open())
          paused = false, connection.pause_reading(false);
        if (!passes())
          return;
        if (!on_way.empty())
          return wait(on_way.front().first);
        if (!ended || told || (to.connection.open() && !to.connection.connected()))
          return;
        if (end_due > now)
          return wait(end_due);
        told = true;
        if (to.connection.open() && !broken)
          return to.connection.close_when_flushed();
        to.connection.reset();
        pair.over();
      }
      bool passes() const { return !pair.over_ && !pair.stream_.owner_.link(here_, there_).cut; }
      void wait(TimePoint when) {
        net::EventLoop& loop = pair.stream_.owner_.loop_;
        loop.cancel(timer);
        timer = loop.at(when, [this] { flow(pair.other(*this)); });
      }

      Pair& pair;
      net::Connection connection;
      Place here_, there_;
      std::deque<std::pair<TimePoint, std::string>> on_way;
      std::size_t size = 0;
      TimePoint last{}, end_due{};
      TimerId timer = 0;
      bool ended = false, broken = false, told = false, paused = false;
    };
    End& other(End& end) { return &end == &near_ ? far_ : near_; }
    void over() {
      if (!std::exchange(over_, true))
        stream_.owner_.loop_.defer([&stream = stream_, this] { stream.retire(this); });
    }

    Stream& stream_;
    End near_, far_;
    bool over_ = false;
    friend class Stream;
  };

  void become(Mode wanted) {
    if (mode_ != Mode::none)
      quit(), fd_ = bound(SOCK_STREAM, address_);
    mode_ = wanted;
    if (wanted == Mode::refusing)
      return;
    ::listen(fd_, wanted == Mode::open ? 128 : 0);
    if (wanted == Mode::open)
      registration_ = owner_.loop_.watch(fd_, *this);
    else
      plug();
  }
  // With its one place taken nobody else's handshake is answered, as on a line that is cut.
  void plug() {
    plug_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(plug_, reinterpret_cast<const sockaddr*>(&address_.in), sizeof address_.in);
  }
  void quit() {
    if (registration_ != 0)
      owner_.loop_.forget(std::exchange(registration_, 0));
    if (plug_ >= 0)
      ::close(std::exchange(plug_, -1));
    ::close(std::exchange(fd_, -1));
  }
  void on_ready(std::uint32_t) override {
    for (int got; (got = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      auto pair = std::make_unique<Pair>(*this);
      Pair* raw = pair.get();
      pairs_.emplace(raw, std::move(pair));
      if (!raw->begin(got))
        raw->reset();
    }
  }
  void retire(Pair* pair) {
    auto it = pairs_.find(pair);
    if (it == pairs_.end())
      return;
    owner_.loop_.dispose(std::move(it->second));
    pairs_.erase(it);
  }

  Network& owner_;
  Place from_, to_;
  net::Address target_, address_;
  Mode mode_ = Mode::none;
  int fd_ = -1, plug_ = -1;
  std::uint64_t registration_ = 0;
  std::unordered_map<Pair*, std::unique_ptr<Pair>> pairs_;
};

// What `from` sends to this socket goes on to where `to` receives, through the socket of the other
// direction, so that it comes from the address by which `to` knows `from`.
class Network::Mail final : net::EventLoop::Handler {
 public:
  Mail(Network& owner, Place from, Place to, net::Address receiver)
      : owner_(owner),
        from_(from),
        to_(to),
        receiver_(receiver),
        address_(loopback()),
        fd_(bound(SOCK_DGRAM, address_)),
        registration_(owner.loop_.watch(fd_, *this)) {}
  ~Mail() override {
    owner_.loop_.forget(registration_);
    ::close(fd_);
  }
  const net::Address& address() const { return address_; }

 private:
  void on_ready(std::uint32_t) override {
    std::array<char, kMostDatagram> buffer;
    for (;;) {
      ssize_t got = ::recv(fd_, buffer.data(), buffer.size(), 0);
      if (got < 0 && (errno == EINTR || errno == ECONNREFUSED))
        continue;
      if (got < 0)
        return;
      take({buffer.data(), static_cast<std::size_t>(got)});
    }
  }
  void take(std::string_view bytes) {
    const Link& link = owner_.link(from_, to_);
    owner_.datagram_bytes_ += bytes.size();
    if (link.cut || (link.loss > 0 && owner_.draw() < link.loss))
      return;
    for (int copies = link.doubled > 0 && owner_.draw() < link.doubled ? 2 : 1; copies > 0;
         --copies) {
      if (link.delay + link.jitter <= Duration::zero()) {
        deliver(std::string(bytes));
      } else if (on_way_ < kMostOnWay) {
        ++on_way_;
        owner_.loop_.at(owner_.due(link, false),
                        [this, text = std::string(bytes)] { --on_way_, deliver(text); });
      }
    }
  }
  void deliver(const std::string& bytes) {
    int back = owner_.mail_.at({to_, from_})->fd_;
    ::sendto(back, bytes.data(), bytes.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&receiver_.in), sizeof receiver_.in);
  }

  Network& owner_;
  Place from_, to_;
  net::Address receiver_, address_;
  int fd_;
  std::uint64_t registration_;
  std::size_t on_way_ = 0;
};

Network::Network(net::EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed, 11) {}
Network::~Network() = default;

Network::Place Network::add(const std::string& name, const std::string& zone,
                            const std::string& region, bool box) {
  names_.push_back({name, zone, region, box, false});
  links_.assign(names_.size() * names_.size(), {});
  return names_.size() - 1;
}

net::Address Network::stream(Place from, Place to, const net::Address& target) {
  streams_.push_back(std::make_unique<Stream>(*this, from, to, target));
  return streams_.back()->address();
}

net::Address Network::datagrams(Place from, Place to, const net::Address& from_at,
                                const net::Address& to_at) {
  auto& way = mail_[{from, to}];
  auto& back = mail_[{to, from}];
  if (!way)
    way = std::make_unique<Mail>(*this, from, to, to_at);
  if (!back)
    back = std::make_unique<Mail>(*this, to, from, from_at);
  return way->address();
}

std::vector<Network::Place> Network::places(const std::string& word) const {
  std::vector<Place> out;
  bool boxes = word.starts_with("boxes:");
  for (Place p = 0; p < names_.size(); ++p) {
    const Name& n = names_[p];
    bool is = boxes ? n.box && n.name.starts_with(word.substr(6))
                    : n.name == word || n.zone == word || n.region == word;
    if (is || (word == "all" && n.name != "clients"))
      out.push_back(p);
  }
  return out;
}

void Network::each(const std::string& from, const std::string& to,
                   const std::function<void(Place, Place)>& what) const {
  std::vector<Place> a = places(from), b = places(to);
  auto holds = [](const std::vector<Place>& all, Place p) {
    return std::find(all.begin(), all.end(), p) != all.end();
  };
  bool same = a == b;
  for (Place x : a)
    for (Place y : b)
      if (x != y && (same || !(holds(a, y) && holds(b, x))))
        what(x, y);
}

void Network::change(const std::string& from, const std::string& to,
                     const std::function<void(Link&)>& how) {
  each(from, to, [&](Place x, Place y) { how(link_of(x, y)); });
  changed();
}

void Network::heal(const std::string& from, const std::string& to) {
  change(from, to, [](Link& l) { l.cut = false, l.loss = l.doubled = 0; });
}

void Network::heal_all() {
  for (Link& l : links_)
    l.cut = false, l.loss = l.doubled = 0;
  changed();
}

void Network::reset(const std::string& from, const std::string& to) {
  each(from, to, [&](Place x, Place y) {
    for (auto& stream : streams_)
      if (stream->from() == x && stream->to() == y)
        stream->reset();
  });
}

void Network::down(Place place, bool is) {
  names_[place].down = is;
  changed();
}

void Network::changed() {
  for (auto& stream : streams_)
    stream->obey();
}

double Network::draw() {
  return std::generate_canonical<double, 32>(random_);
}

TimePoint Network::due(const Link& link, bool stream) {
  TimePoint when = loop_.now() + link.delay;
  if (link.jitter > Duration::zero())
    when += from_ms(draw() * to_ms(link.jitter));
  if (stream && link.loss > 0 && draw() < link.loss)
    when += kSentAgain;
  return when;
}

}  // namespace keelflow::lab
