#include "directory.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
constexpr Duration kBeat = 2s;
constexpr Duration kRefusedAfter = 1s;  // a discovery that is down lets its callers wait so long
constexpr std::size_t kSlowPiece = 16;
constexpr Duration kSlowPause = 10ms;

}  // namespace

std::optional<CallFault> call_fault(std::string_view word) {
  static const std::map<std::string_view, CallFault> all = {
      {"refused", CallFault::refused},  {"endless", CallFault::endless},
      {"reset", CallFault::reset},      {"silent", CallFault::silent},
      {"head", CallFault::silent_head}, {"half", CallFault::half},
      {"cut", CallFault::cut},          {"slow", CallFault::slow}};
  auto it = all.find(word);
  return it == all.end() ? std::nullopt : std::optional(it->second);
}

class Directory::Watch final : public Exchange {
 public:
  // Shared: a connection that the loop still has to delete keeps its watch beyond the desk.
  using All = std::shared_ptr<std::vector<Watch*>>;
  Watch(net::EventLoop& loop, All all, InboundConnection& connection)
      : loop_(loop), all_(std::move(all)), connection_(connection) {
    all_->push_back(this);
  }
  ~Watch() override { leave(); }
  void tell(const std::string& text) {
    if (silent_)
      return;
    if (unsent_.empty())
      connection_.stream(text);
    else
      unsent_ += text;  // what comes slowly comes first
  }
  void tell_slowly(std::string text, std::function<void()> when_written) {
    unsent_ = std::move(text);
    when_written_ = std::move(when_written);
    go_on();
  }
  void silence() { silent_ = true; }
  bool silent() const { return silent_ || !unsent_.empty(); }
  void refuse_after(Duration wait) {
    silent_ = true;
    timer_ = loop_.at(loop_.now() + wait, [this] { connection_.respond(503, ""); });
  }
  InboundConnection& connection() { return connection_; }
  void on_client_gone() override { leave(); }

 private:
  void leave() {
    loop_.cancel(timer_);
    std::erase(*all_, this);
  }
  void go_on() {
    connection_.stream(unsent_.substr(0, kSlowPiece));
    unsent_.erase(0, kSlowPiece);
    if (unsent_.empty())
      return when_written_();
    timer_ = loop_.at(loop_.now() + kSlowPause, [this] { go_on(); });
  }

  net::EventLoop& loop_;
  All all_;
  InboundConnection& connection_;
  std::string unsent_;
  std::function<void()> when_written_;
  TimerId timer_ = 0;
  bool silent_ = false;
};

class Directory::Desk final : public Front {
 public:
  Desk(Directory& owner, std::size_t node)
      : owner_(owner), node_(node), server_(owner.world_.loop, *this, 64, owner.world_.counters) {
    net::Address any;
    any.in.sin_family = AF_INET;
    any.in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server_.listen(any);
  }
  std::unique_ptr<Exchange> on_request(InboundConnection& connection,
                                       HttpRequest request) override {
    if (request.head.path() != "/discovery/hosts")
      return connection.respond(404, ""), nullptr;
    auto watch = std::make_unique<Watch>(owner_.world_.loop, watches_, connection);
    if (owner_.down_) {
      if (owner_.pushed_)
        watch->silence();
      else
        watch->refuse_after(kRefusedAfter);
      return watch;
    }
    std::string list = owner_.whole(node_) + "\n";
    if (!faults_.empty())
      return fail(std::move(watch), list);
    connection.begin_stream(200, {});
    connection.stream(list);
    owner_.told(node_);
    return watch;
  }
  void tell(const std::string& text) {
    for (Watch* watch : *watches_)
      watch->tell(text);
  }
  void silence() {
    for (Watch* watch : *watches_)
      watch->silence();
  }
  void close_watches() {
    for (Watch* watch : std::vector<Watch*>(*watches_))
      watch->connection().abandon();
  }
  void fail_next(const std::vector<CallFault>& faults) {
    faults_.insert(faults_.end(), faults.begin(), faults.end());
  }
  bool fails() const { return !faults_.empty(); }
  bool watched() const { return !watches_->empty(); }
  bool hears() const {  // some watch of the node is open and not silent
    return std::any_of(watches_->begin(), watches_->end(),
                       [](const Watch* watch) { return !watch->silent(); });
  }
  net::Address address() const { return server_.address(); }

 private:
  std::unique_ptr<Exchange> fail(std::unique_ptr<Watch> watch, const std::string& list) {
    CallFault fault = faults_.front();
    faults_.pop_front();
    InboundConnection& connection = watch->connection();
    if (fault == CallFault::refused)
      return watch.reset(), connection.respond(503, ""), nullptr;
    if (fault == CallFault::endless)
      connection.begin_stream(503, {});
    if (fault == CallFault::silent_head || fault == CallFault::half || fault == CallFault::cut ||
        fault == CallFault::slow)
      connection.begin_stream(200, {});
    if (fault == CallFault::half || fault == CallFault::cut)
      connection.stream(list.substr(0, list.size() / 2));
    if (fault == CallFault::reset || fault == CallFault::cut) {
      owner_.world_.loop.defer([this, lost = watch.get()] {
        if (std::find(watches_->begin(), watches_->end(), lost) != watches_->end())
          lost->connection().abandon();
      });
    }
    if (fault == CallFault::slow)
      owner_.world_.drains.heard(node_);  // it is being told, though slowly
    if (fault == CallFault::slow)
      watch->tell_slowly(list, [this] { owner_.told(node_); });
    else
      watch->silence();
    return watch;
  }

  Directory& owner_;
  std::size_t node_;
  Watch::All watches_ = std::make_shared<std::vector<Watch*>>();
  std::deque<CallFault> faults_;
  Server server_;
};

Directory::Directory(World& world, const std::vector<std::unique_ptr<Box>>& boxes,
                     std::size_t nodes, bool pushed)
    : world_(world), boxes_(boxes), pushed_(pushed) {
  for (std::size_t i = 0; i < nodes; ++i)
    desks_.push_back(std::make_unique<Desk>(*this, i));
  beat();
}

Directory::~Directory() {
  world_.loop.cancel(beat_);
}

net::Address Directory::address(std::size_t node) const {
  return desks_[node]->address();
}

nlohmann::json Directory::entry(const Box& box, std::size_t node) const {
  const char* health = box.health() == Box::Health::ready      ? "ready"
                       : box.health() == Box::Health::draining ? "draining"
                                                               : "gone";
  return {{"host", box.host()}, {"dial", box.dial(node).text()}, {"site", box.group()},
          {"class", "std"},     {"block", box.block()},          {"health", health},
          {"share", 1.0},       {"born_ms", box.born_unix_ms()}};
}

std::string Directory::whole(std::size_t node) const {
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& box : boxes_)
    if (box->health() != Box::Health::gone)
      hosts.push_back(entry(*box, node));
  return nlohmann::json{{"seq", version_}, {"whole", true}, {"hosts", hosts}}.dump();
}

nlohmann::json Directory::known(std::size_t node) const {
  return nlohmann::json::parse(down_ ? before_down_.at(node) : whole(node));
}

// What is written into a link that is cut does not arrive, and counts like any other call that
// fails.
void Directory::told(std::size_t node, const Box& box) {
  bool cut =
      world_.network && !world_.network->hears(world_.node_places[node], world_.discovery_place);
  if (box.health() != Box::Health::ready && !cut)
    world_.drains.told(node, box.host(), world_.loop.now());
}

void Directory::told(std::size_t node) {
  world_.drains.heard(node);
  for (const auto& box : boxes_)
    told(node, *box);
}

void Directory::changed(const Box& box) {
  ++version_;
  if (down_)
    return;
  for (std::size_t i = 0; i < desks_.size(); ++i) {
    desks_[i]->tell(nlohmann::json{{"seq", version_},
                                   {"whole", false},
                                   {"hosts", nlohmann::json::array({entry(box, i)})}}
                        .dump() +
                    "\n");
    bool agent_has_it = pushed_ && !desks_[i]->watched() && !desks_[i]->fails();
    if (desks_[i]->hears() || agent_has_it)
      told(i, box);
  }
}

void Directory::down(bool is) {
  if (std::exchange(down_, is) == is)
    return;
  before_down_.clear();
  for (std::size_t i = 0; i < desks_.size(); ++i) {
    if (is)
      before_down_.push_back(whole(i));
    if (is && pushed_)
      desks_[i]->silence();
    if (is && !pushed_)
      desks_[i]->close_watches();
    if (!is && pushed_ && !desks_[i]->fails())
      told(i);  // what the agent gets at the return counts at once
  }
}

void Directory::fail_next(std::size_t node, const std::vector<CallFault>& faults) {
  desks_[node]->fail_next(faults);
}

void Directory::silence(std::size_t node) {
  desks_[node]->silence();
  world_.drains.silent(node, world_.loop.now());
}

void Directory::reset(std::size_t node) {
  desks_[node]->close_watches();
}

void Directory::beat() {
  for (auto& desk : desks_)
    desk->tell("\n");
  beat_ = world_.loop.at(world_.loop.now() + kBeat, [this] { beat(); });
}

}  // namespace keelflow::lab
