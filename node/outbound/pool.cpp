#include "outbound/pool.h"

#include <algorithm>
#include <utility>

namespace keelflow {
namespace {
constexpr Duration kLeastKeep = std::chrono::milliseconds(1);
}

Pool::Pool(net::EventLoop& loop, Duration keep, std::size_t most_idle, Counters& counters)
    : loop_(loop), most_keep_(keep), keep_(keep), most_idle_(most_idle), counters_(counters) {
  timer_ = loop_.at(loop_.now() + most_keep_ / 8, [this] { retire(); });
}

Pool::~Pool() {
  loop_.cancel(timer_);
}

std::unique_ptr<ClientConnection> Pool::take(EndpointId endpoint, const net::Address& dial,
                                             bool fresh_only) {
  auto& list = idle_[endpoint];
  while (!fresh_only && !list.empty()) {  // the one used last is the least likely to be closing
    Idle last = std::move(list.back());
    list.pop_back();
    --idle_count_;
    bool fresh = loop_.now() < last.since + keep_;
    // A close that has arrived but not been handled yet would make the request look as if it may
    // have run.
    if (fresh && last.connection->quiet() && last.connection->dial() == dial) {
      last.connection->stood(std::max(Duration(1), loop_.now() - last.since));
      return std::move(last.connection);
    }
    discard(std::move(last.connection));
  }
  auto connection = std::make_unique<ClientConnection>(loop_);
  if (!connection->connect(dial)) {
    // Out of descriptors, perhaps: an idle connection elsewhere is worth less than this request.
    if (!free_one() || !connection->connect(dial))
      return ++counters_.connections_failed, nullptr;
  }
  ++counters_.connections_opened;
  return connection;
}

void Pool::give_back(EndpointId endpoint, std::unique_ptr<ClientConnection> connection) {
  connection->attach(nullptr);
  if (!connection->open())
    return discard(std::move(connection));
  if (idle_count_ >= most_idle_)
    free_one();
  idle_[endpoint].push_back({std::move(connection), loop_.now()});
  ++idle_count_;
}

void Pool::discard(std::unique_ptr<ClientConnection> connection) {
  if (!connection)
    return;
  connection->close();
  loop_.dispose(std::move(connection));  // it may be in the middle of a callback
}

void Pool::forget(EndpointId endpoint) {
  auto it = idle_.find(endpoint);
  if (it == idle_.end())
    return;
  idle_count_ -= it->second.size();
  for (Idle& idle : std::exchange(it->second, {}))
    discard(std::move(idle.connection));
}

void Pool::worn(Duration stood) {
  if (stood == Duration::zero())
    return;
  ++counters_.connections_worn;
  keep_ = std::clamp(stood / 2, kLeastKeep, keep_);
}

bool Pool::free_one() {
  std::vector<Idle>* oldest = nullptr;
  for (auto& [endpoint, list] : idle_)
    if (!list.empty() && (!oldest || list.front().since < oldest->front().since))
      oldest = &list;
  if (!oldest)
    return false;
  discard(std::move(oldest->front().connection));
  oldest->erase(oldest->begin());
  --idle_count_;
  return true;
}

void Pool::close_idle() {
  while (free_one())
    continue;
}

// The endpoint's machine closes a connection that has stood idle, and a request that crosses this
// would count as one that may have run. So idle connections are closed well before, from this side.
void Pool::retire() {
  TimePoint now = loop_.now();
  for (auto& [endpoint, list] : idle_) {
    auto over = [&](const Idle& idle) {
      return now >= idle.since + keep_ || !idle.connection->open();
    };
    for (Idle& idle : list)
      if (over(idle))
        discard(std::move(idle.connection)), idle.connection = nullptr;
    idle_count_ -= static_cast<std::size_t>(
        std::erase_if(list, [](const Idle& idle) { return idle.connection == nullptr; }));
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  keep_ = std::min(most_keep_, keep_ + keep_ / 64);
  timer_ = loop_.at(now + most_keep_ / 8, [this] { retire(); });
}

}  // namespace keelflow
