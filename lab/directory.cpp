#include "directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace keelflow::lab {
namespace {
constexpr Duration kBeat = std::chrono::seconds(2);
}

class Directory::Watch final : public Exchange {
 public:
  // Shared: a connection that the loop still has to delete keeps its watch beyond the desk.
  using All = std::shared_ptr<std::vector<Watch*>>;
  Watch(All all, InboundConnection& connection) : all_(std::move(all)), connection_(connection) { all_->push_back(this); }
  ~Watch() override { std::erase(*all_, this); }
  void tell(const std::string& line) { connection_.stream(line); }
  void on_client_gone() override { std::erase(*all_, this); }

 private:
  All all_;
  InboundConnection& connection_;
};

class Directory::Desk final : public Front {
 public:
  Desk(Directory& owner, std::size_t node) : owner_(owner), node_(node), server_(owner.world_.loop, *this, 16, owner.world_.counters) {
    net::Address any;
    any.in.sin_family = AF_INET;
    any.in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server_.listen(any);
  }
  std::unique_ptr<Exchange> on_request(InboundConnection& connection, HttpRequest request) override {
    if (request.head.path() != "/discovery/hosts") return connection.respond(404, ""), nullptr;
    std::string list = owner_.whole(node_) + "\n";
    if (request.head.target.find("follow=1") == std::string::npos) return connection.respond(200, list), nullptr;
    connection.begin_stream(200, {});
    connection.stream(list);
    return std::make_unique<Watch>(watches_, connection);
  }
  void tell(const std::string& line) {
    for (Watch* watch : *watches_) watch->tell(line);
  }
  net::Address address() const { return server_.address(); }

 private:
  Directory& owner_;
  std::size_t node_;
  Watch::All watches_ = std::make_shared<std::vector<Watch*>>();
  Server server_;
};

Directory::Directory(World& world, const std::vector<std::unique_ptr<Box>>& boxes, std::size_t nodes) : world_(world), boxes_(boxes) {
  for (std::size_t i = 0; i < nodes; ++i) desks_.push_back(std::make_unique<Desk>(*this, i));
  beat();
}

Directory::~Directory() { world_.loop.cancel(beat_); }

net::Address Directory::address(std::size_t node) const { return desks_[node]->address(); }

nlohmann::json Directory::entry(const Box& box, std::size_t node) const {
  const char* health = box.health() == Box::Health::ready ? "ready" : box.health() == Box::Health::draining ? "draining" : "gone";
  return {{"host", box.host()}, {"dial", box.dial(node).text()}, {"site", box.group()}, {"class", "std"}, {"block", box.block()},
          {"health", health}, {"share", 1.0}, {"born_ms", box.born_unix_ms()}};
}

std::string Directory::whole(std::size_t node) const {
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& box : boxes_)
    if (box->health() != Box::Health::gone) hosts.push_back(entry(*box, node));
  return nlohmann::json{{"seq", version_}, {"whole", true}, {"hosts", hosts}}.dump();
}

void Directory::changed(const Box& box) {
  ++version_;
  for (std::size_t i = 0; i < desks_.size(); ++i)
    desks_[i]->tell(nlohmann::json{{"seq", version_}, {"whole", false}, {"hosts", nlohmann::json::array({entry(box, i)})}}.dump() + "\n");
}

void Directory::beat() {
  for (auto& desk : desks_) desk->tell("\n");
  beat_ = world_.loop.at(world_.loop.now() + kBeat, [this] { beat(); });
}

}  // namespace keelflow::lab
